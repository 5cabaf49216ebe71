"""Steps on requests that crash engines, without a network."""

from behave import given, then, when
from behave.runner import Context

from testbed.crash_entries import CrashEntries
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.request_sends import send_once


@given('{entries:d} entry that knows {engines:d} engines')
@given('{entries:d} entries that know {engines:d} engines')
def step_entries(context: Context, entries: int, engines: int) -> None:
    context.group = CrashEntries(entries, engines)


@when('requests with the parts "{parts}" crash {engines:d} engines')
def step_crash(context: Context, parts: str, engines: int) -> None:
    for _ in range(engines):
        context.group.crash(parts)


@when('a request with the parts "{parts}" crashes {engines:d} engines')
def step_crash_again(context: Context, parts: str, engines: int) -> None:
    for _ in range(engines):
        context.group.crash(parts, content='again')


@when(
    'requests with the parts "{parts}" crash an engine under each of '
    '{entries:d} entries'
)
def step_crash_each(context: Context, parts: str, entries: int) -> None:
    for entry in range(entries):
        context.group.crash(parts, entry)
    context.group.exchange()


@when(
    '{engines:d} engines crash at once under requests with the parts "{parts}"'
)
def step_crash_together(context: Context, engines: int, parts: str) -> None:
    names = list(context.group.roles)[:engines]
    for name in names:
        context.group.break_off(context.group.make_run(parts), name)
    for name in names:
        context.group.find_down(name)


@when(
    '{engines:d} engines break off requests with the parts "{parts}" and run on'
)
def step_break_off(context: Context, engines: int, parts: str) -> None:
    for name in list(context.group.roles)[:engines]:
        context.group.seconds += 1
        context.group.break_off(context.group.make_run(parts), name)
    # Much later, they are stopped.
    context.group.seconds += 10
    for name in list(context.group.roles)[:engines]:
        context.group.find_down(name)


@when('a request with the parts "{parts}" is served')
def step_serve(context: Context, parts: str) -> None:
    context.group.serve(parts)


@when('a request with the parts "{parts}" is served by another entry')
def step_serve_elsewhere(context: Context, parts: str) -> None:
    context.group.exchange()
    context.group.serve(parts, entry=1)
    context.group.exchange()


@when('the entries hear of each other')
def step_hear(context: Context) -> None:
    context.group.exchange()


@when('{seconds:d} s pass')
def step_pass(context: Context, seconds: int) -> None:
    context.group.seconds += seconds


@when('entry {number:d} starts anew')
def step_restart(context: Context, number: int) -> None:
    context.group.exchange()
    context.group.restart_entry(number - 1)
    context.group.exchange()


@when('another host leads')
def step_lead(context: Context) -> None:
    context.group.lead_anew()
    context.group.exchange()


@when('the prompt of a request with the parts "{parts}" is read')
def step_read(context: Context, parts: str) -> None:
    context.run = context.group.make_run(parts)


@when('the same plain request crashes {backends:d} back ends')
def step_crash_plain(context: Context, backends: int) -> None:
    for name in list(context.group.roles)[:backends]:
        context.group.seconds += 3
        run = context.group.make_plain_run('again')
        context.group.break_off(run, name)
        context.group.find_down(name)


@then('requests with the parts "{parts}" are refused')
def step_refused(context: Context, parts: str) -> None:
    assert context.group.is_refused(parts)


@then('requests with the parts "{parts}" are served')
def step_served(context: Context, parts: str) -> None:
    assert not context.group.is_refused(parts)


@then('requests with the parts "{parts}" are refused at every entry')
def step_refused_all(context: Context, parts: str) -> None:
    for entry in range(len(context.group.entries)):
        assert context.group.is_refused(parts, entry), entry


@then('requests with the parts "{parts}" are served at every entry')
def step_served_all(context: Context, parts: str) -> None:
    for entry in range(len(context.group.entries)):
        assert not context.group.is_refused(parts, entry), entry


@then('that request is refused')
def step_again_refused(context: Context) -> None:
    assert context.group.is_refused('a b', content='again')


@then('the request is not sent to the engine that would answer it')
def step_not_sent(context: Context) -> None:
    check_not_sent(context, context.run)


@then('it is refused before it is sent')
def step_plain_refused(context: Context) -> None:
    check_not_sent(context, context.group.make_plain_run('again'))


@then('another plain request is sent')
def step_plain_sent(context: Context) -> None:
    run = context.group.make_plain_run('another')
    with context.group.clock():
        assert send_once(run, 'engine-5', lambda: 'answer') == 'answer'


def check_not_sent(context: Context, run: RequestRun) -> None:
    """Check that a request is refused where it would be sent."""
    with context.group.clock():
        try:
            send_once(run, 'engine-5', lambda: 'answer')
        except TrestleError as error:
            assert error.verdict is Verdict.NOT_RUN, error.verdict
            assert error.code.code == 'crash-suspect', error.code
        else:
            raise AssertionError('the request was sent')
    assert not run.sends, run.sends
