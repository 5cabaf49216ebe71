"""Steps on streams at engines of several software versions."""

from behave import given, then, when
from behave.runner import Context

from testbed.stream_runs import EVENTS, Script, StreamEngines

# Running requests that make an engine dear.
BUSY = 40


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
    """Serve a stream whose first engine breaks off.

    Until it has begun, the engines of other versions decline connections.
    """
    engines = context.engines
    first = f'write-{software}-0'
    engines.scripts[first] = Script(breaks_after=event)
    everything = engines.context.fleet.backends
    others = set(everything) - {first}
    engines.context.fleet.changing_role = others
    serve_first = engines.open

    def open_first(*call: object, **options: object) -> object:
        opened = serve_first(*call, **options)
        engines.context.fleet.changing_role = set()
        return opened

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
