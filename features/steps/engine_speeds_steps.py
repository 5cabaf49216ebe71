"""Steps on what entries learn of engines from their calls."""

from collections import Counter
from itertools import cycle
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context

from testbed.load_streams import EntryStream
from testbed.placement_cases import long_prompt, plan
from trestle_control.load_table import LoadTable
from trestle_entry.direct.admission import Prediction, check_admission
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.engine_speeds import EngineSpeeds, PrefillCall
from trestle_links.linear_fit import PREFILL_GUESS

SERVICE = 'llm'
SIZES = (300, 1_400, 3_700, 9_000, 17_000)
# Callers, links and other prompts make a call longer or shorter.
NOISE = (1.0, 0.93, 1.08, 0.97, 1.12, 0.9, 1.04)
TARGET_MS = 660.0
DEADLINE_MS = 5_000.0


def loads_of(context: Context) -> EngineLoads:
    """Return the loads of the entry, made on first use."""
    if 'loads' not in context:
        context.loads = EngineLoads('entry-1')
    loads: EngineLoads = context.loads
    return loads


def true_ms(context: Context, tokens: float, prompts: float = 1) -> float:
    """Return what prompts take at an idle engine."""
    taken: float = PREFILL_GUESS.at(prompts, tokens) / context.times
    return taken


@given('engines that prefill {times:g} times as fast as the guess')
def step_engines(context: Context, times: float) -> None:
    context.times = times


@when('the engines turn {times:d} times as slow')
def step_slower(context: Context, times: int) -> None:
    context.times /= times


def note_calls(
    context: Context, count: int, sizes: tuple[int, ...], ahead: int = 0
) -> None:
    """Let prefills end that were sent behind some prompts of 2000 tokens."""
    speeds = loads_of(context).speeds
    noise = cycle(NOISE)
    size = cycle(sizes)
    for number in range(count):
        tokens = next(size)
        call = PrefillCall(
            SERVICE, f'e{number % 5}', tokens, ahead, ahead * 2000
        )
        took_ms = true_ms(context, tokens + ahead * 2000, ahead + 1)
        speeds.note_prefill(call, took_ms * next(noise))


@when('{count:d} prefills of mixed sizes have ended')
def step_calls(context: Context, count: int) -> None:
    note_calls(context, count, SIZES)


@when('{count:d} prefills of {tokens:d} tokens have ended')
def step_same_size(context: Context, count: int, tokens: int) -> None:
    note_calls(context, count, (tokens,))


@when('{count:d} prefills have ended, each with {ahead:d} prompts ahead of it')
def step_busy(context: Context, count: int, ahead: int) -> None:
    note_calls(context, count, SIZES, ahead)


@when('one prefill of {tokens:d} tokens takes {seconds:d} s')
def step_paused(context: Context, tokens: int, seconds: int) -> None:
    call = PrefillCall(SERVICE, 'e1', tokens, 0, 0)
    loads_of(context).speeds.note_prefill(call, seconds * 1000.0)


@when('{count:d} prefills at engine "{name}" took {times:d} times as long')
def step_slow_one(context: Context, count: int, name: str, times: int) -> None:
    speeds = loads_of(context).speeds
    for number in range(count):
        tokens = SIZES[number % len(SIZES)]
        call = PrefillCall(SERVICE, name, tokens, 0, 0)
        speeds.note_prefill(call, true_ms(context, tokens) * times)
        note_calls(context, 5, SIZES)


@then(
    'engine "{name}" is predicted {least:d} to {most:d} times as slow as '
    'the others'
)
def step_deviation(context: Context, name: str, least: int, most: int) -> None:
    speeds = loads_of(context).speeds
    others = speeds.prefill_slowness_of('e1')
    ratio = speeds.prefill_slowness_of(name) / others
    assert least <= ratio <= most, ratio


def check_within(
    context: Context, speeds: EngineSpeeds, sizes: tuple[int, ...], share: float
) -> None:
    """Check the predictions of an average engine."""
    for tokens in sizes:
        ratio = speeds.prefill_ms(SERVICE, tokens) / true_ms(context, tokens)
        assert 1 - share <= ratio <= 1 + share, (tokens, ratio)


@then(
    'prompts of {small:d}, {common:d} and {large:d} tokens are predicted '
    'within {percent:d} percent'
)
def step_within(
    context: Context, small: int, common: int, large: int, percent: int
) -> None:
    speeds = loads_of(context).speeds
    check_within(context, speeds, (small, common, large), percent / 100)


@given('an entry with a stream to a leader')
def step_stream(context: Context) -> None:
    replica: Any = Mock(is_leader=True, term=1)
    context.load_table = LoadTable(replica)
    context.stream = EntryStream(context.load_table, loads_of(context))


@when('another entry opens its stream')
def step_other(context: Context) -> None:
    context.stream.exchange()
    context.other = EntryStream(context.load_table, EngineLoads('entry-2'))


@then('the other entry predicts within {percent:d} percent, too')
def step_other_within(context: Context, percent: int) -> None:
    speeds = context.other.loads.speeds
    check_within(context, speeds, (500, 3000, 17_000), percent / 100)


def is_admitted(context: Context, number: int) -> bool:
    """Plan a long prompt; leave it in its queue if it is admitted."""
    planned = plan(context, context.loads, long_prompt(number))
    prediction = Prediction(
        planned.wait_ms,
        planned.first_token_ms - planned.wait_ms,
        planned.first_token_ms,
        TARGET_MS,
        DEADLINE_MS,
    )
    if check_admission(prediction, 0.5):
        return False
    assert planned.prefill_engine, planned
    tracked = context.loads.own.track_prefill(
        planned.prefill_engine.instance, planned.work.uncached_tokens
    )
    context.stack.enter_context(tracked)
    return True


@then('a first long prompt is admitted with an objective of 660 ms')
def step_first_admitted(context: Context) -> None:
    assert is_admitted(context, 0)


@then(
    'of {count:d} long prompts at one moment some are admitted and some refused'
)
def step_some(context: Context, count: int) -> None:
    admitted = sum(is_admitted(context, 1 + turn) for turn in range(count))
    # One reader has the first prompt already.
    idle = len(context.readers) - 1
    assert idle <= admitted <= count / 2, admitted


@when(
    'a burst of {count:d} different long prompts is planned at engines of any '
    'role'
)
def step_burst(context: Context, count: int) -> None:
    context.counts = Counter()
    for number in range(count):
        planned = plan(context, context.loads, long_prompt(number))
        engine = planned.prefill_engine or planned.decode_engine
        context.counts[engine.instance] += 1
        tracked = context.loads.own.track_prefill(
            engine.instance, planned.work.uncached_tokens
        )
        context.stack.enter_context(tracked)


@then('every engine that reads has prompts, and none has over twice the mean')
def step_spread(context: Context) -> None:
    counts = [context.counts[reader.instance] for reader in context.readers]
    mean = sum(counts) / len(counts)
    assert min(counts) > 0, context.counts
    assert max(context.counts.values()) <= mean * 2, context.counts
