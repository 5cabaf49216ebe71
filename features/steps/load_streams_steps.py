"""Steps on the streams of loads between entries and a leader's table."""

from collections import Counter
from contextlib import ExitStack
from math import nan
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from testbed.load_streams import EntryStream, run_others
from testbed.placement_cases import LIMIT_TOKENS, LONG, long_prompt, plan
from trestle_control.load_table import LoadTable
from trestle_core.errors import TrestleError
from trestle_entry.direct import shared_loads
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_links.codec import decode_message
from trestle_links.connection import CallTimeoutError
from trestle_links.load_messages import (
    BackendLoad,
    FailureNotice,
    FitSums,
    LoadPush,
)

MUCH_WAITING = 10_000_000
FAULTS: dict[str, dict[str, Any]] = {
    'a negative load': {'loads': [BackendLoad('e1', -1)]},
    'a load too large': {'loads': [BackendLoad('e1', 10**12)]},
    'sums cut short': {'fits': [FitSums('llm', 1, [1.0])]},
    'sums not a number': {'fits': [FitSums('llm', 1, [nan] * 5)]},
}


def make_table(context: Context) -> LoadTable:
    """Make the table of a leading host."""
    replica: Any = Mock(is_leader=True, term=1)
    context.replica = replica
    table = LoadTable(replica)
    context.load_table = table
    return table


def entry(context: Context, number: int) -> EntryStream:
    """Return an entry by its number, from 1."""
    stream: EntryStream = context.streams[number - 1]
    return stream


@given('{count:d} entries with streams to a leader')
def step_entries(context: Context, count: int) -> None:
    table = make_table(context)
    context.streams = [
        EntryStream(table, EngineLoads(f'entry-{number}'))
        for number in range(1, count + 1)
    ]
    context.prompts = {}


@when(
    'entry {number:d} sends a prompt of {tokens:d} tokens to engine '
    '"{instance}"'
)
def step_prompt(
    context: Context, number: int, tokens: int, instance: str
) -> None:
    tracked = entry(context, number).loads.own.track_prefill(instance, tokens)
    context.prompts[number] = ExitStack()
    context.prompts[number].enter_context(tracked)


@when('the prompt of entry {number:d} is done')
def step_done(context: Context, number: int) -> None:
    context.prompts[number].close()


@given('each entry has {count:d} requests at engine "{instance}"')
@when('each entry has {count:d} requests at engine "{instance}"')
@when('each entry has {count:d} request at engine "{instance}"')
def step_requests(context: Context, count: int, instance: str) -> None:
    for stream in context.streams:
        stream.loads.own.add_running(instance, count)
        stream.report()


@when('the leader pushes')
def step_push(context: Context) -> None:
    for stream in context.streams:
        if stream.loads.own.unreported and not stream.channel.is_closed:
            stream.report()
    context.load_table.push()
    context.pushes = [stream.channel.pushes for stream in context.streams]
    for stream in context.streams:
        stream.take_pushes()


@when('the leader pushes what entry 1 reported before it heard of entry 2')
def step_push_early(context: Context) -> None:
    entry(context, 1).report()
    # The report of entry 2 is still on its way.
    second = entry(context, 2)
    second.loads.take_change(second.number + 1)
    context.load_table.push()
    second.take_pushes()


@then(
    'entry {number:d} counts {prompts:d} prompts and {tokens:d} tokens of '
    'others at engine "{instance}"'
)
def step_others_prompts(
    context: Context, number: int, prompts: int, tokens: int, instance: str
) -> None:
    others = entry(context, number).loads.shared.at(instance)
    assert others.prompts == prompts, others
    assert others.tokens == tokens, others


@then(
    'entry {number:d} counts {count:d} requests of others at engine '
    '"{instance}"'
)
def step_others_requests(
    context: Context, number: int, count: int, instance: str
) -> None:
    others = entry(context, number).loads.shared.at(instance)
    assert others.running == count, others


@then('the last push told of {count:d} back end')
def step_told(context: Context, count: int) -> None:
    for pushes in context.pushes:
        delta: Any = decode_message(pushes[-1].packed)
        assert len(delta.loads) == count, delta.loads


@then(
    'after {seconds:f} s without a push entry {number:d} counts {count:d} '
    'requests of others'
)
def step_later(
    context: Context, seconds: float, number: int, count: int
) -> None:
    shared = entry(context, number).loads.shared
    later = shared.received_at + seconds
    with patch.object(shared_loads, 'monotonic', lambda: later):
        running = shared.at('e1').running
    assert round(running) == count, running


@when('another host leads, to which both entries open streams')
def step_other_leader(context: Context) -> None:
    table = make_table(context)
    context.streams = [
        EntryStream(table, stream.loads) for stream in context.streams
    ]


@when('the host leads no longer')
def step_replaced(context: Context) -> None:
    context.replica.is_leader = False


@then('every stream is closed and no load is summed')
def step_all_closed(context: Context) -> None:
    assert all(stream.channel.is_closed for stream in context.streams)
    assert not context.load_table.totals.all_totals()


@when('entry {number:d} ends')
def step_ends(context: Context, number: int) -> None:
    entry(context, number).end()


@when('entry {number:d} is silent for longer than the leader waits')
def step_silent(context: Context, number: int) -> None:
    entry(context, number).channel.to_leader.put(CallTimeoutError())
    run_others()


@when('entry {number:d} starts again without work')
def step_again(context: Context, number: int) -> None:
    name = entry(context, number).loads.host
    context.streams[number - 1] = EntryStream(
        context.load_table, EngineLoads(name)
    )


@when('entry {number:d} reads nothing of what is pushed')
def step_reads_nothing(context: Context, number: int) -> None:
    channel = entry(context, number).channel
    channel.connection.waiting_bytes = MUCH_WAITING


@then('the stream of entry {number:d} is closed')
def step_closed(context: Context, number: int) -> None:
    assert entry(context, number).channel.is_closed


@then('entry {number:d} has been pushed to')
def step_pushed(context: Context, number: int) -> None:
    assert context.pushes[number - 1], context.pushes


@when('entry {number:d} reports {fault}')
def step_fault(context: Context, number: int, fault: str) -> None:
    stream = entry(context, number)
    change = stream.loads.take_change(stream.number + 1)
    stream.channel.to_leader.put(change._replace(**FAULTS[fault]))
    run_others()


@then('the stream of entry {number:d} ended with the error "{code}"')
def step_ended(context: Context, number: int, code: str) -> None:
    error = entry(context, number).handler.exception
    assert isinstance(error, TrestleError), error
    assert error.code.code == code, error.code


@then('a push of foreign bytes is refused by an entry with "{code}"')
def step_foreign(context: Context, code: str) -> None:
    loads = entry(context, 1).loads
    for packed in (b'', b'\x00', b'\x93\x01\x02\x03', b'GET / HTTP/1.1'):
        try:
            loads.apply_push(LoadPush(0, packed), is_first=False)
        except TrestleError as error:
            assert error.code.code == code, error.code
        else:
            raise AssertionError(packed)


def send_planned(
    context: Context, stream: EntryStream, number: int, *, tells: bool
) -> None:
    """Plan a long prompt at an entry and leave it in front of its reader."""
    planned = plan(context, stream.loads, long_prompt(number))
    assert planned.prefill_engine, planned
    instance = planned.prefill_engine.instance
    context.counts[instance] += 1
    tracked = stream.loads.own.track_prefill(
        instance, planned.work.uncached_tokens
    )
    context.stack.enter_context(tracked)
    if tells:
        tell_all(context, stream)


def tell_all(context: Context, stream: EntryStream) -> None:
    """Report an entry's change and push it to all."""
    stream.report()
    context.load_table.push()
    for other in context.streams:
        other.take_pushes()


def start_counts(context: Context) -> None:
    """Count no prompt at each reader."""
    context.counts = Counter({reader.instance: 0 for reader in context.readers})


@when('{count:d} different long prompts are planned, two by each entry in turn')
def step_burst_of_all(context: Context, count: int) -> None:
    start_counts(context)
    for number in range(count):
        stream = context.streams[number % len(context.streams)]
        send_planned(context, stream, number, tells=True)


@when('{count:d} different long prompts are planned before the first push')
def step_cold(context: Context, count: int) -> None:
    start_counts(context)
    for number in range(count):
        stream = context.streams[number % len(context.streams)]
        send_planned(context, stream, number, tells=False)


@then('every reader has prompts and none has over {times:f} times the mean')
def step_spread(context: Context, times: float) -> None:
    counts = context.counts.values()
    mean = sum(counts) / len(counts)
    assert min(counts) > 0, context.counts
    assert max(counts) <= mean * times, context.counts


@given(
    'every entry knows that reader {number:d} holds the beginning of a long '
    'prompt'
)
def step_all_know(context: Context, number: int) -> None:
    for stream in context.streams:
        stream.loads.note_cached(f'prefill-{number}', LONG, LIMIT_TOKENS)
        stream.loads.reports.placements.clear()


@when('each entry plans the long prompt in turn')
def step_each_plans(context: Context) -> None:
    start_counts(context)
    context.order = []
    for stream in context.streams:
        planned = plan(context, stream.loads, LONG)
        assert planned.prefill_engine, planned
        instance = planned.prefill_engine.instance
        context.order.append(instance)
        context.counts[instance] += 1
        tracked = stream.loads.own.track_prefill(
            instance, planned.work.uncached_tokens
        )
        context.stack.enter_context(tracked)
        tell_all(context, stream)


@then(
    'reader {number:d} gets the first ones, and no reader over {most:d} of them'
)
def step_first_ones(context: Context, number: int, most: int) -> None:
    assert context.order[0] == f'prefill-{number}', context.order
    assert max(context.counts.values()) <= most, context.counts


@when('entry {number:d} cannot connect to engine "{instance}"')
def step_cannot_connect(context: Context, number: int, instance: str) -> None:
    loads = entry(context, number).loads
    notice = FailureNotice(instance, loads.host, 'zone', is_refused=True)
    loads.reports.note_failure(notice)
    entry(context, number).report()


@then('every entry was told of {count:d} engine that refuses connections')
def step_all_told(context: Context, count: int) -> None:
    for pushes in context.pushes:
        delta: Any = decode_message(pushes[-1].packed)
        assert len(delta.failures) == count, delta
