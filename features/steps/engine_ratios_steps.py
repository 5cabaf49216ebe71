"""Steps on the lasting speeds of engines, and on roles by speed."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.steps.direct_roles_steps import StandInReplica
from testbed.load_streams import EntryStream
from trestle_control.load_table import LoadTable
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.engine_speeds import PrefillCall
from trestle_links.engine_ratios import EngineRatios, RatioSample

TOKENS = 3000
POOL_MS = 60.0
MANY_CALLS = 10


@given('{count:d} entries that tell a leader of their calls')
def step_entries(context: Context, count: int) -> None:
    """Open the streams."""
    replica: Any = StandInReplica(is_leader=True)
    context.leader = LoadTable(replica)
    context.streams = [
        EntryStream(context.leader, EngineLoads(f'entry{number}'))
        for number in range(count)
    ]


@when(
    'each has made {calls:d} prefills, and engine "{slow}" took {times:f} '
    'times as long as the others'
)
def step_calls(context: Context, calls: int, slow: str, times: float) -> None:
    """Let each entry call four engines, and tell the leader."""
    for _ in range(calls):
        for stream in context.streams:
            for name in (slow, 'e1', 'e2', 'e3'):
                took_ms = POOL_MS * (times if name == slow else 1.0)
                call = PrefillCall('llm', name, TOKENS, 0, 0)
                stream.loads.speeds.note_prefill(call, took_ms)
            stream.report()
        context.leader.push()
        for following in context.streams:
            following.take_pushes()


@then(
    'each entry predicts engine "{slow}" {least:f} to {most:f} times as slow '
    'as the others'
)
def step_told(context: Context, slow: str, least: float, most: float) -> None:
    """Check every entry."""
    context.bounds = (slow, least, most)
    for stream in context.streams:
        check_ratio(stream.loads, *context.bounds)


@then('an entry that starts anew knows it, too')
def step_new_entry(context: Context) -> None:
    """Open one more stream."""
    loads = EngineLoads('new')
    stream = EntryStream(context.leader, loads)
    assert stream.first, 'nothing was pushed'
    check_ratio(loads, *context.bounds)


def check_ratio(
    loads: EngineLoads, slow: str, least: float, most: float
) -> None:
    """Compare two engines."""
    speeds = loads.speeds
    ratio = speeds.prefill_slowness_of(slow) / speeds.prefill_slowness_of('e1')
    assert least <= ratio <= most, ratio


@given(
    'an engine whose calls take {usual:d} times as long, and one in seven '
    '{odd:f} times'
)
def step_engine(context: Context, usual: int, odd: float) -> None:
    """Prepare its calls."""
    context.ratios = EngineRatios()
    context.cycle = [float(usual)] * 6 + [odd]


@when('{count:d} of its calls have ended')
def step_ended(context: Context, count: int) -> None:
    """Note them in turn."""
    for number in range(count):
        ratio = context.cycle[number % len(context.cycle)]
        context.ratios.note(RatioSample('e', ratio, 1.0))


@when('one call takes {times:d} times as long')
def step_odd_call(context: Context, times: int) -> None:
    """Note it."""
    context.ratios.note(RatioSample('e', float(times), 1.0))


@then('its ratio is from {least:f} to {most:f}')
def step_ratio(context: Context, least: float, most: float) -> None:
    """Check the estimate."""
    ratio = context.ratios.ratio_of('e')
    assert least <= ratio <= most, ratio


@given('its engines "e3" to "e5" are {times:d} times as slow as the others')
def step_slow_engines(context: Context, times: int) -> None:
    """Let the leader have heard of it."""
    context.slow = {'e3', 'e4', 'e5'}
    ratios = context.roles.loads.prefill_ratios.ratios
    for instance in context.slow:
        for _ in range(MANY_CALLS):
            ratios.note(RatioSample(instance, float(times), 1.0))


@then('none of the slow ones is among them')
def step_not_slow(context: Context) -> None:
    """Check who was ordered."""
    ordered = {order.backend.instance for order in context.orders}
    assert not ordered & context.slow, ordered
