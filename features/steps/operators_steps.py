"""Steps on the operators' program."""

from json import dumps, loads
from subprocess import run

from behave import given, then, when
from behave.runner import Context

from testbed.cluster import OPERATOR
from testbed.processes import ROOT

LIMIT_SECONDS = 60
MODEL = {'kind': 'model', 'pool': 'reader'}
BAD_SET = {
    'extra': {},
    'plans': {'spare': {}, 'used': {}},
    'services': {'empty': {'operations': {}}},
    'pools': {
        'reader': {
            'model': 'model',
            'version': '1',
            'plan': 'none',
            'max_context_tokens': 1000,
        },
        'other': {'model': 'model', 'version': '1', 'plan': 'used'},
    },
    'routes': {
        'desk': {'kind': 'service', 'service': 'none'},
        'grades': {'kind': 'model', 'pool': 'none'},
        'one': {**MODEL, 'max_prompt_tokens': 9, 'fallback': 'two'},
        'two': {**MODEL, 'max_prompt_tokens': 9, 'fallback': 'one'},
        'slow': {
            'kind': 'model',
            'pool': 'other',
            'deadline_ms': 10,
            'first_token_ms': 20,
        },
        'long': {**MODEL, 'max_prompt_tokens': 2000},
    },
}
BAD_SETTINGS = {
    'role': 'entry',
    'host': 'a host',
    'zone': 'kochi-a',
    'key_file': 'key',
    'control': ['127.0.0.1:1'],
    'colour': 'red',
    'max_inflight': 0,
}


def operate(context: Context, command: str) -> None:
    """Run the program without a cluster and keep what it said."""
    key = context.folder / 'key'
    key.write_text('k' * 40, encoding='utf-8')
    names = {
        'set': context.folder / 'set',
        'settings': context.folder / 'settings.json',
        'key': key,
    }
    arguments = [part.format(**names) for part in command.split()]
    context.done = run(
        [OPERATOR, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
    )


@given('a set with one error of each kind')
def step_bad_set(context: Context) -> None:
    folder = context.folder / 'set'
    folder.mkdir()
    (folder / 'set.json').write_text(dumps(BAD_SET), encoding='utf-8')


@given('a settings file with three errors')
def step_bad_settings(context: Context) -> None:
    path = context.folder / 'settings.json'
    path.write_text(dumps(BAD_SETTINGS), encoding='utf-8')


@when('the program runs "{command}"')
def step_run(context: Context, command: str) -> None:
    operate(context, command)


@then('it exits with {code:d}')
def step_exit(context: Context, code: int) -> None:
    done = context.done
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)


@then('it says each of')
def step_says(context: Context) -> None:
    said = context.done.stdout + context.done.stderr
    wanted = [context.table.headings[0], *(row[0] for row in context.table)]
    missing = [text for text in wanted if text not in said]
    assert not missing, (missing, said)


@then('these commands exit with 0 and print JSON that has')
def step_json(context: Context) -> None:
    for row in context.table:
        done = context.bookings.cluster.operate(*row['command'].split())
        assert done.returncode == 0, (row['command'], done.stderr)
        assert row['text'] in dumps(loads(done.stdout)), done.stdout


@then('"{command}" exits with {code:d}')
def step_command_exit(context: Context, command: str, code: int) -> None:
    done = context.bookings.cluster.operate(*command.split())
    assert done.returncode == code, done.stderr
