"""Steps on streams at engines of several software versions."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from testbed.stream_runs import EVENTS, Script, StreamEngines

# Running requests that make an engine dear.
BUSY = 40
# The age of the list at an entry that was cut off.
OLD_SECONDS = 2.0
# How an engine fails without an event.
FAILURES = {
    'breaks off': Script(breaks_after=0),
    'writes a comment and breaks off': Script(
        opening=(b': still here\n\n',), breaks_after=0
    ),
    'declines': Script(status=503, is_declined=True),
    'answers with a failure': Script(status=500),
    'cannot be connected to': Script(is_unreachable=True),
}


@given(
    '{begun:d} engines of "{own}" and {others:d} idle engines of "{other}" that '
    'decode'
)
def step_engines(
    context: Context, begun: int, own: str, others: int, other: str
) -> None:
    """Set up engines; those of the first version are busy."""
    engines = StreamEngines({f'write-{own}': begun, f'write-{other}': others})
    for number in range(begun):
        engines.context.loads.own.add_running(f'write-{own}-{number}', BUSY)
    context.engines = engines


@when('a stream begins at "{software}" and breaks off after event {event:d}')
def step_breaks(context: Context, software: str, event: int) -> None:
    """Serve a stream whose first engine breaks off."""
    serve_from(context, software, Script(breaks_after=event))


def serve_from(context: Context, software: str, script: Script) -> None:
    """Serve a stream; its first engine, of a version, follows a script.

    Until that one was asked, no other engine is usable.
    """
    engines = context.engines
    first = f'write-{software}-0'
    engines.scripts[first] = script
    others = set(engines.context.fleet.backends) - {first}
    engines.context.fleet.changing_role = others
    serve_first = engines.open

    def open_first(*call: object, **options: object) -> object:
        engines.context.fleet.changing_role = set()
        return serve_first(*call, **options)

    engines.open = open_first
    context.relayed = engines.serve()


@then('it went on at another engine of "{software}" and is whole')
def step_went_on(context: Context, software: str) -> None:
    """Check where the stream went, and that nothing is missing."""
    sends = context.engines.sends
    assert [send.software for send in sends] == [software] * 2, sends
    assert len({send.instance for send in sends}) == 2, sends
    check_whole(context)


@then('it went on nowhere and its answer is visibly broken')
def step_nowhere(context: Context) -> None:
    """Check that no other engine got the stream."""
    assert len(context.engines.sends) == 1, context.engines.sends
    assert not context.relayed.whole


@then('it began anew at "{software}" and is whole')
def step_anew(context: Context, software: str) -> None:
    """Check that a stream without an event is not kept from going on."""
    assert context.engines.sends[-1].software == software
    check_whole(context)


def check_whole(context: Context) -> None:
    """Check that every event came once, in order."""
    relayed = context.relayed
    assert relayed.whole, relayed
    assert relayed.ids == list(range(1, EVENTS + 1)), relayed


@given('a leader that hears only the first report')
def step_first_report(context: Context) -> None:
    """Keep what the entry first reports of its streams, and nothing later."""
    streams = context.engines.context.loads.streams
    context.told = []
    note = streams.note

    def report_first(*noted: Any) -> None:
        note(*noted)
        if not context.told:
            context.told = streams.take_unreported()

    streams.note = report_first


@when('a stream is sent to "{software}", which {fails} before any event')
def step_fails_first(context: Context, software: str, fails: str) -> None:
    """Serve a stream whose first engine brings nothing."""
    serve_from(context, software, FAILURES[fails])


@then('"{software}" brought its events and is the one that the leader knows')
def step_record_is_true(context: Context, software: str) -> None:
    """Compare the events with the record."""
    check_whole(context)
    body = context.relayed.body
    assert body.count(b'data: ') == body.count(software.encode()), body
    known = [begun.origin.software for begun in context.told]
    assert known == [software], context.told


@given('a list that gets old in the middle of the stream')
def step_gets_old(context: Context) -> None:
    """Let the list be current until the origin of the stream is noted."""
    entry = context.engines.context
    entry.list_age_seconds = lambda: (
        OLD_SECONDS if entry.loads.streams.unreported else 0
    )


@when('a stream begins at "{software}" while the list is old')
def step_begins_old(context: Context, software: str) -> None:
    """Serve a stream at an entry that is out of step."""
    context.engines.context.list_age_seconds = lambda: OLD_SECONDS
    serve_from(context, software, Script())


@when(
    'a stream begins at "{software}" while its engine is listed anew with other '
    'software'
)
def step_begins_other(context: Context, software: str) -> None:
    """Change the list between the send and the first event."""
    fleet = context.engines.context.fleet
    send = context.engines.open

    def list_anew(*call: Any, **options: Any) -> Any:
        opened = send(*call, **options)
        other = opened.backend._replace(software='v9')
        fleet.replace_list([other])
        return opened

    context.engines.open = list_anew
    serve_from(context, software, Script())


@then('it is whole and the leader is told nothing of it')
def step_told_nothing(context: Context) -> None:
    """Check what the caller got, and the next report."""
    check_whole(context)
    told = context.engines.context.loads.streams.take_unreported()
    assert not told, told
