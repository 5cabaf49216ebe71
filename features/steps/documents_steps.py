"""Steps on the documents."""

from behave import then
from behave.runner import Context

from testbed.metrics_page import documented_names, series_names
from testbed.processes import ROOT
from testbed.settings_page import PAGE, page_text
from trestle_core.errorcodes import ERROR_CODES

# Headers, fields and paths of the platform.
PLATFORM_NAMES = (
    'Kingcuptrestle-',
    'KINGCUPTRESTLE_NODE_FILE',
    'Not-Executed',
    'Server-Seal',
    'Last-Event-Id',
    'kvHandle',
    'kv-handle',
    'pathPrefix',
    'trafficSplit',
    'portRange',
    'pageToken',
    '/instances',
    '/report',
)
PAGES = ROOT / 'docs' / 'operators' / 'errors'


@then('each code of the registry has a page with its status and verdicts')
def step_pages(context: Context) -> None:
    for code, entry in ERROR_CODES.items():
        text = (PAGES / f'{code}.md').read_text(encoding='utf-8')
        assert f'HTTP status: {entry.status}\n' in text, code
        told = text.partition('Verdict: ')[2].partition('\n')[0]
        verdicts = {f'`{one.value}`' for one in entry.verdicts}
        assert set(told.split(' or ')) == verdicts, (code, told)
        for heading in ('## Meaning', '## What to do'):
            assert text.partition(f'{heading}\n')[2].strip(), (code, heading)


@then('no page is for a code that is not in the registry')
def step_no_more(context: Context) -> None:
    assert {page.stem for page in PAGES.iterdir()} == set(ERROR_CODES)


@then('the page of the settings is what the code makes')
def step_settings(context: Context) -> None:
    assert PAGE.read_text(encoding='utf-8') == page_text()


@then('each series that the code counts or times is on its page')
def step_series(context: Context) -> None:
    assert series_names() <= documented_names(), (
        series_names() - documented_names()
    )


@then('no row is for a series that the code does not have')
def step_no_series(context: Context) -> None:
    assert documented_names() <= series_names(), (
        documented_names() - series_names()
    )


@then("no module of the packages has a name of the platform's wire")
def step_names(context: Context) -> None:
    for path in (ROOT / 'packages').glob('*/src/**/*.py'):
        text = path.read_text(encoding='utf-8')
        found = [name for name in PLATFORM_NAMES if name in text]
        assert not found, (path, found)
