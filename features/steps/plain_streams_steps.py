"""Steps on streams of services without engines."""

from behave import given, then, when
from behave.runner import Context

from testbed.stream_runs import EVENTS, Script, StreamEngines

BUSY = 10
MS_PER_SECOND = 1000


@given(
    '{begun:d} back ends of "{own}" and {others:d} idle ones of "{other}" that '
    'are no engines'
)
def step_backends(
    context: Context, begun: int, own: str, others: int, other: str
) -> None:
    """Set up back ends; those of the first version are busy."""
    counts = {f'write-{own}': begun, f'write-{other}': others}
    context.engines = StreamEngines(counts, are_engines=False)
    loads = context.engines.context.loads.own
    for number in range(begun):
        loads.add_running(f'write-{own}-{number}', BUSY)
    context.running = dict(loads.running)


@given('second sends of requests that are late by {wait_ms:d} ms')
def step_hedges(context: Context, wait_ms: int) -> None:
    """Let lookups be sent again that early."""
    hedges = context.engines.context.hedges
    hedges.wait_seconds = lambda _service: wait_ms / MS_PER_SECOND


@when('a caller reads once')
def step_reads_once(context: Context) -> None:
    """Take the first piece of a stream, and leave."""
    context.first = context.engines.first_piece()


@when('a stream takes {pause_ms:d} ms for each event')
def step_slow(context: Context, pause_ms: int) -> None:
    """Serve a stream of slow back ends."""
    slow = Script(pause_seconds=pause_ms / MS_PER_SECOND)
    engines = context.engines
    engines.scripts = dict.fromkeys(engines.context.fleet.backends, slow)
    context.relayed = engines.serve()


@then('it has the first event only')
def step_first_event(context: Context) -> None:
    """Check that nothing waited for the next event."""
    ids = [
        line for line in context.first.splitlines() if line.startswith(b'id:')
    ]
    assert ids == [b'id: 1'], context.first


@then('it was sent once and is whole')
def step_sent_once(context: Context) -> None:
    """Check that no other back end got it."""
    assert len(context.engines.sends) == 1, context.engines.sends
    assert context.relayed.whole, context.relayed
    assert context.relayed.ids == list(range(1, EVENTS + 1))


@then('nothing is counted as running')
def step_not_running(context: Context) -> None:
    """Check that the request's own load is gone."""
    running = dict(context.engines.context.loads.own.running)
    assert running == context.running, running
