"""Steps on what an entry believes of engines: their memories, links and queues."""

from time import monotonic
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from testbed.load_streams import EntryStream
from testbed.placement_cases import (
    LONG,
    SHORT,
    delta,
    long_prompt,
    plan,
)
from trestle_control.load_table import LoadTable
from trestle_entry.direct import cached_parts
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.wire_types import ModelDemand, PromptPart
from trestle_links import engine_slowness
from trestle_links.direct_messages import Placement

# A transfer that keeps its link busy for a time, and what it takes in all.
LINK_MS = 5.0
USUAL_MS = 30.0


@when("another entry's placement says that reader {number:d} holds a beginning")
def step_placement(context: Context, number: int) -> None:
    """Take a placement of a part that this entry never saw."""
    placement = Placement(7, 13_300, f'prefill-{number}')
    context.loads.apply_delta(delta([placement]))


@then('the beginning counts as held by reader {number:d}')
def step_held(context: Context, number: int) -> None:
    """Check what the reader would still have to read."""
    held = context.loads.cached_tokens(f'prefill-{number}', LONG)
    assert held == LONG.parts[0].tokens, held


@then('an engine with a role answers it')
def step_with_role(context: Context) -> None:
    """Check who decodes."""
    assert context.plan.decode_engine.role == 'decode', context.plan


@then('an engine without a role reads and answers it')
def step_without_role(context: Context) -> None:
    """Check that the only engines are used."""
    assert context.plan.prefill_engine is None
    assert context.plan.decode_engine.role == '', context.plan


@given(
    'this entry read one prompt at reader {number:d}, whose memory is '
    '{tokens:d} tokens'
)
def step_small_memory(context: Context, number: int, tokens: int) -> None:
    """Learn the size of an engine's memory."""
    context.loads.note_cached(f'prefill-{number}', SHORT, tokens)


@when(
    'other entries place {count:d} beginnings of {tokens:d} tokens at reader '
    '{number:d}'
)
def step_place_many(
    context: Context, count: int, tokens: int, number: int
) -> None:
    """Take the placements in several views."""
    context.placed = [
        Placement(500 + part, tokens, f'prefill-{number}')
        for part in range(count)
    ]
    for first in range(0, count, 8):
        part = context.placed[first : first + 8]
        context.loads.apply_delta(delta(part))


def held_parts(context: Context, instance: str) -> list[int]:
    """Return the placed parts that count as held."""
    return [
        placement.part
        for placement in context.placed
        if context.loads.cached_tokens(
            instance, ModelDemand('m', 1, 1, (PromptPart(placement.part, 1),))
        )
    ]


@then('at most {tokens:d} tokens count as held by reader {number:d}')
def step_bounded(context: Context, tokens: int, number: int) -> None:
    """Add up what counts as held."""
    context.held = held_parts(context, f'prefill-{number}')
    sizes = {one.part: one.tokens for one in context.placed}
    total = sum(sizes[part] for part in context.held)
    assert 0 < total <= tokens, (total, context.held)


@then('the beginnings that were placed last are among them')
def step_latest(context: Context) -> None:
    """Check which ones were forgotten."""
    latest = [one.part for one in context.placed][-len(context.held) :]
    assert context.held == latest, context.held


@given('a leader that sums the loads of entries')
def step_leader(context: Context) -> None:
    """Make the table of a leading control host."""
    replica: Any = Mock(is_leader=True, term=1)
    context.load_table = LoadTable(replica)


@when('one entry reports {count:d} placements in {reports:d} reports')
def step_report(context: Context, count: int, reports: int) -> None:
    """Send the placements in equal parts."""
    context.placed = [
        Placement(part, 100, 'prefill-1') for part in range(count)
    ]
    context.other = EntryStream(context.load_table, EngineLoads('entry-2'))
    reporting = EntryStream(context.load_table, EngineLoads('entry-1'))
    size = count // reports
    for first in range(0, count, size):
        reporting.loads.reports.placements = context.placed[
            first : first + size
        ]
        reporting.report()


@then('another entry gets them in the same order')
def step_same_order(context: Context) -> None:
    """Compare with what was reported."""
    (got,) = context.other.exchange()
    assert got.placements == context.placed, got.placements


@when(
    '{count:d} prompts took {times:d} times as long to reach decoders 0 and 1'
)
def step_slow_moves(context: Context, count: int, times: int) -> None:
    """Let an entry see slow moves, and fast ones at the third decoder."""
    speeds = context.loads.speeds
    for _ in range(count):
        for number in (0, 1):
            instance = f'decode-{number}'
            speeds.note_transfer('llm', instance, LINK_MS, USUAL_MS * times)
        speeds.note_transfer('llm', 'decode-2', LINK_MS, USUAL_MS)


def decoders_of(context: Context, count: int) -> set[str]:
    """Plan long prompts with new beginnings; return who would answer."""
    return {
        plan(context, context.loads, long_prompt(number)).decode_engine.instance
        for number in range(count)
    }


@then('{count:d} long prompts in a row go on at decoder 2')
def step_third_decoder(context: Context, count: int) -> None:
    """Check who takes over."""
    assert decoders_of(context, count) == {'decode-2'}


@then('after {seconds:d} s without a move the slow decoders are tried again')
def step_tried_again(context: Context, seconds: int) -> None:
    """Check that after a while the choice is that of a new entry."""
    later = monotonic() + seconds
    with patch.object(engine_slowness, 'monotonic', lambda: later):
        chosen = decoders_of(context, 40)
    context.loads = EngineLoads('entry-2')
    assert chosen == decoders_of(context, 40) != {'decode-2'}, chosen


@then('after {seconds:d} s without a move the leader tells of none')
def step_none_told(context: Context, seconds: int) -> None:
    """Check what a table tells when nothing was heard for long."""
    assert len(context.loads.speeds.transfer_slowness.figures()) == 3
    later = monotonic() + seconds
    with patch.object(engine_slowness, 'monotonic', lambda: later):
        assert context.loads.speeds.transfer_slowness.figures() == {}


@when(
    '{count:d} prompts with one new beginning are planned while the first is '
    'read'
)
def step_same_moment(context: Context, count: int) -> None:
    """Plan prompts that share a beginning, none of which is read yet."""
    beginning = PromptPart(900, 13_300)
    context.plans = []
    for number in range(count):
        own = PromptPart(5000 + number, 1_700)
        need = ModelDemand('m', 15_000, 13, (beginning, own))
        planned = plan(context, context.loads, need)
        assert planned.prefill_engine, planned
        instance = planned.prefill_engine.instance
        context.loads.note_pending(instance, need)
        context.plans.append(planned)
        reading = context.loads.own.track_prefill(
            instance, planned.work.uncached_tokens
        )
        context.stack.enter_context(reading)


@then('one reader reads them all, and the beginning is read once')
def step_read_once(context: Context) -> None:
    """Check who reads, and how much."""
    readers = {planned.prefill_engine.instance for planned in context.plans}
    assert len(readers) == 1, readers
    uncached = [planned.work.uncached_tokens for planned in context.plans]
    assert uncached == [15_000, 1_700, 1_700, 1_700], uncached


@given('reader {number:d} was asked to read the beginning of a long prompt')
def step_asked(context: Context, number: int) -> None:
    """Note a read that has begun."""
    context.loads.note_pending(f'prefill-{number}', LONG)


@when('{seconds:d} s pass without an answer')
def step_pass(context: Context, seconds: int) -> None:
    """Set what the clock says from now on."""
    context.later = monotonic() + seconds


@then('the beginning does not count as held by reader {number:d}')
def step_not_held(context: Context, number: int) -> None:
    """Check what an entry believes then."""
    with patch.object(cached_parts, 'monotonic', lambda: context.later):
        held = context.loads.cached_tokens(f'prefill-{number}', LONG)
    assert held == 0, held
