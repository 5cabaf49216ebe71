"""Steps on placement: plans without any network."""

from contextlib import ExitStack
from time import monotonic
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from trestle_control.load_table import LoadTable
from trestle_entry.direct import cached_parts
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.fleet_view import FleetView
from trestle_entry.direct.placement import Plan, plan_request
from trestle_entry.direct.prompt_work import PlanNeed
from trestle_entry.direct.wire_types import ModelNeed, PromptPart
from trestle_links import engine_slowness
from trestle_links.direct_messages import (
    Backend,
    LoadReport,
    LoadView,
    Placement,
)

ZONES = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')
LIMIT_TOKENS = 500_000
# 18 KB a token at 200 Gbit/s.
MS_PER_TOKEN = 0.0007
LONG = ModelNeed('m', 17_000, 13, (PromptPart(7, 13_300), PromptPart(8, 3_700)))
SHORT = ModelNeed('m', 1_000, 19, (PromptPart(21, 350), PromptPart(22, 650)))


def engine(role: str, number: int) -> Backend:
    """Return an engine of a role."""
    address = f'10.0.0.{number}:80'
    zone = ZONES[number % len(ZONES)]
    return Backend(f'{role}-{number}', 'llm', address, zone, False, role, 64)


def plan(context: Context, loads: EngineLoads, need: ModelNeed) -> Plan:
    """Plan a request of an entry in the first zone."""
    asked = PlanNeed(need, ZONES[0], context.ms_per_token)
    planned = plan_request(context.engines, loads, asked)
    assert planned
    return planned


def long_prompt(number: int) -> ModelNeed:
    """Return a long prompt with a beginning of its own."""
    parts = (PromptPart(number, 13_300), PromptPart(number + 1000, 3_700))
    return ModelNeed('m', 17_000, 13, parts)


def view(context: Context, prefill_ms: dict[str, float]) -> LoadView:
    """Return a view of the others' prompts."""
    return LoadView(4, prefill_ms, {}, [], [], 0, 0)


@given('{readers:d} engines that read and {decoders:d} that decode')
def step_engines(context: Context, readers: int, decoders: int) -> None:
    """Make the engines and an entry without load."""
    context.readers = [engine('prefill', number) for number in range(readers)]
    context.decoders = [engine('decode', number) for number in range(decoders)]
    context.engines = [*context.readers, *context.decoders]
    context.loads = EngineLoads('entry-1')
    context.ms_per_token = MS_PER_TOKEN
    context.stack = ExitStack()


@given('{count:d} engines whose role the list does not tell')
def step_no_role(context: Context, count: int) -> None:
    """Add engines as a list shows them after a crash."""
    context.engines += [engine('', number) for number in range(count)]


@given('links between engines that move a token in {ms:f} ms')
def step_slow_links(context: Context, ms: float) -> None:
    """Set what the document says of the engines."""
    context.ms_per_token = ms


@given('the engine without a role holds the beginning of a long prompt')
def step_crashed_holds(context: Context) -> None:
    """Let the entry believe in memory that is gone."""
    instance = context.engines[-1].instance
    context.loads.note_read(instance, LONG, LIMIT_TOKENS)


@given('{count:d} shared beginnings are held by readers 0, 1 and 2')
def step_spread_holders(context: Context, count: int) -> None:
    """Let three readers hold the beginnings in turn."""
    for number in range(count):
        context.loads.note_read(
            f'prefill-{number % 3}', long_prompt(number), LIMIT_TOKENS
        )


@given(
    'readers {one:d}, {two:d} and {three:d} have {engine_ms:d} ms of prompts '
    'ahead'
)
def step_readers_ahead(
    context: Context, one: int, two: int, three: int, engine_ms: int
) -> None:
    """Put prompts in front of some readers."""
    for number in {one, two, three}:
        step_ahead(context, number, engine_ms)


@when('{count:d} prompts with those beginnings are planned')
def step_plan_copies(context: Context, count: int) -> None:
    """Plan prompts of which only the beginnings are known."""
    context.plans = []
    for number in range(count):
        beginning = long_prompt(number).parts[0]
        own = PromptPart(number + 5000, 3_700)
        need = ModelNeed('m', 17_000, 13, (beginning, own))
        context.plans.append(plan(context, context.loads, need))


@when('the long prompt is planned again after a failed read')
def step_plan_without(context: Context) -> None:
    """Plan without copies."""
    asked = PlanNeed(LONG, ZONES[0], context.ms_per_token)
    context.plan = plan_request(
        context.engines, context.loads, asked, may_copy=False
    )


@then('the idle readers copy the beginnings and read the rest')
def step_copies(context: Context) -> None:
    """Check that nothing shared is read again and nobody waits."""
    idle = {'prefill-3', 'prefill-4', 'prefill-5'}
    for planned in context.plans:
        assert planned.reader.instance in idle, planned
        assert planned.work.copied == 13_300, planned
        assert planned.work.uncached == 3_700, planned


@then("the beginning is copied from an engine in the reader's zone")
def step_zone_copy(context: Context) -> None:
    """Check where the copy comes from."""
    planned = context.plan
    assert planned.work.source, planned
    assert planned.work.source.zone == planned.reader.zone, planned


@then('nothing is copied')
def step_no_copy(context: Context) -> None:
    """Check the work of the reader."""
    assert context.plan.work.source is None, context.plan


@given('reader {number:d} holds the beginning of a long prompt')
def step_holds(context: Context, number: int) -> None:
    """Let the entry know that a reader has read the prompt."""
    context.loads.note_read(f'prefill-{number}', LONG, LIMIT_TOKENS)


@given('reader {number:d} has {engine_ms:d} ms of prompts ahead')
def step_ahead(context: Context, number: int, engine_ms: int) -> None:
    """Put prompts in front of a reader."""
    reading = context.loads.reading(f'prefill-{number}', engine_ms)
    context.stack.enter_context(reading)


@given(
    'the others report {engine_ms:d} ms of prompts at every reader but '
    'reader {number:d}'
)
def step_others_but(context: Context, engine_ms: int, number: int) -> None:
    """Take a view in which one reader is idle."""
    loads = {
        reader.instance: float(engine_ms)
        for reader in context.readers
        if reader.instance != f'prefill-{number}'
    }
    context.loads.take_view(view(context, loads))


@given('the others report {engine_ms:d} ms of prompts at every reader')
def step_others(context: Context, engine_ms: int) -> None:
    """Take a view in which every reader is busy."""
    loads = {reader.instance: float(engine_ms) for reader in context.readers}
    context.loads.take_view(view(context, loads))


@given('every decoder streams to {callers:d} callers')
def step_streams(context: Context, callers: int) -> None:
    """Count streams at each decoder."""
    for decoder in context.decoders:
        context.loads.running[decoder.instance] = callers


@when('two entries that know nothing of each other plan {count:d} long prompts')
def step_two_entries(context: Context, count: int) -> None:
    """Plan the same prompts on two entries."""
    prompts = [long_prompt(number) for number in range(count)]
    context.choices = [
        [plan(context, EngineLoads(name), prompt).reader for prompt in prompts]
        for name in ('entry-1', 'entry-2')
    ]


@then('both send each shared beginning to the same reader')
def step_same_reader(context: Context) -> None:
    """Compare the choices; more than one reader is used."""
    assert context.choices[0] == context.choices[1]
    assert len(set(context.choices[0])) > 1


@when('the long prompt is planned')
def step_plan_long(context: Context) -> None:
    """Plan the prompt whose beginning may be held."""
    context.plan = plan(context, context.loads, LONG)


@when('a short prompt is planned')
def step_plan_short(context: Context) -> None:
    """Plan a short prompt."""
    context.plan = plan(context, context.loads, SHORT)


@then('reader {number:d} reads it')
def step_reader_is(context: Context, number: int) -> None:
    """Check the reader of the plan."""
    assert context.plan.reader.instance == f'prefill-{number}', context.plan


@then('another reader reads it')
def step_other_reader(context: Context) -> None:
    """Check that the holder was left out."""
    assert context.plan.reader.instance != 'prefill-5', context.plan


@then('a reader reads it')
def step_some_reader(context: Context) -> None:
    """Check that the prompt is read apart."""
    assert context.plan.reader, context.plan


@then('a decoder reads it itself')
def step_decoder_reads(context: Context) -> None:
    """Check that the prompt is not read apart."""
    assert context.plan.reader is None, context.plan


@when(
    'a burst of {count:d} different long prompts is planned without an answer'
)
def step_burst(context: Context, count: int) -> None:
    """Plan a burst; each prompt stays in front of its reader."""
    context.counts = {reader.instance: 0 for reader in context.readers}
    for number in range(count):
        planned = plan(context, context.loads, long_prompt(number))
        assert planned.reader, planned
        instance = planned.reader.instance
        context.counts[instance] += 1
        reading = context.loads.reading(instance, planned.read_ms)
        context.stack.enter_context(reading)


@then('every reader has prompts and none has over twice the mean')
def step_spread(context: Context) -> None:
    """Check the spread of the burst."""
    counts = context.counts.values()
    mean = sum(counts) / len(counts)
    assert min(counts) > 0 and max(counts) <= mean * 2, context.counts


@when('every decoder fails {calls:d} calls')
def step_grey(context: Context, calls: int) -> None:
    """Let every decoder fail while the readers serve."""
    context.fleet = FleetView()
    context.fleet.take_list(context.engines)
    for _ in range(calls):
        for decoder in context.decoders:
            context.fleet.note_failed(decoder.instance, 'reset')


@then('the usable engines still include {count:d} that decode')
def step_usable(context: Context, count: int) -> None:
    """Count the decoders among the usable engines."""
    usable = context.fleet.usable('llm', frozenset())
    assert sum(entry.role == 'decode' for entry in usable) == count, usable


@when("another entry's placement says that reader {number:d} holds a beginning")
def step_placement(context: Context, number: int) -> None:
    """Take a placement of a part that this entry never saw."""
    placement = Placement(7, 13_300, f'prefill-{number}')
    taken = view(context, {})._replace(placements=[placement])
    context.loads.take_view(taken)


@then('the beginning counts as held by reader {number:d}')
def step_held(context: Context, number: int) -> None:
    """Check what the reader would still have to read."""
    held = context.loads.held_tokens(f'prefill-{number}', LONG)
    assert held == LONG.parts[0].tokens, held


@then('an engine with a role answers it')
def step_with_role(context: Context) -> None:
    """Check who decodes."""
    assert context.plan.decoder.role == 'decode', context.plan


@then('an engine without a role reads and answers it')
def step_without_role(context: Context) -> None:
    """Check that the only engines are used."""
    assert context.plan.reader is None
    assert context.plan.decoder.role == '', context.plan


@given(
    'this entry read one prompt at reader {number:d}, whose memory is '
    '{tokens:d} tokens'
)
def step_small_memory(context: Context, number: int, tokens: int) -> None:
    """Learn the size of an engine's memory."""
    context.loads.note_read(f'prefill-{number}', SHORT, tokens)


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
        taken = view(context, {})._replace(placements=part)
        context.loads.take_view(taken)


def held_parts(context: Context, instance: str) -> list[int]:
    """Return the placed parts that count as held."""
    return [
        placement.part
        for placement in context.placed
        if context.loads.held_tokens(
            instance, ModelNeed('m', 1, 1, (PromptPart(placement.part, 1),))
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


def report(host: str, placements: list[Placement]) -> LoadReport:
    """Return a report without loads, from an entry that has seen nothing."""
    return LoadReport(host, {}, {}, placements, [], 0)


@when('one entry reports {count:d} placements in {reports:d} reports')
def step_report(context: Context, count: int, reports: int) -> None:
    """Send the placements in equal parts."""
    channel: Any = None
    context.placed = [
        Placement(part, 100, 'prefill-1') for part in range(count)
    ]
    size = count // reports
    for first in range(0, count, size):
        part = context.placed[first : first + size]
        context.load_table.exchange(report('entry-1', part), channel)


@then('another entry gets them in the same order')
def step_same_order(context: Context) -> None:
    """Compare with what was reported."""
    channel: Any = None
    got = context.load_table.exchange(report('entry-2', []), channel)
    assert got.placements == context.placed, got.placements


@when(
    '{count:d} prompts took {times:d} times as long to reach decoders 0 and 1'
)
def step_slow_moves(context: Context, count: int, times: int) -> None:
    """Let an entry see slow moves, and fast ones at the third decoder."""
    for _ in range(count):
        for number in (0, 1):
            context.loads.note_move_time(f'decode-{number}', 30, 30 * times)
        context.loads.note_move_time('decode-2', 30, 30)


def decoders_of(context: Context, count: int) -> set[str]:
    """Plan long prompts with new beginnings; return who would answer."""
    return {
        plan(context, context.loads, long_prompt(number)).decoder.instance
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
        need = ModelNeed('m', 15_000, 13, (beginning, own))
        planned = plan(context, context.loads, need)
        assert planned.reader, planned
        instance = planned.reader.instance
        context.loads.note_arriving(instance, need)
        context.plans.append(planned)
        reading = context.loads.reading(instance, planned.read_ms)
        context.stack.enter_context(reading)


@then('one reader reads them all, and the beginning is read once')
def step_read_once(context: Context) -> None:
    """Check who reads, and how much."""
    readers = {planned.reader.instance for planned in context.plans}
    assert len(readers) == 1, readers
    uncached = [planned.work.uncached for planned in context.plans]
    assert uncached == [15_000, 1_700, 1_700, 1_700], uncached


@given('reader {number:d} was asked to read the beginning of a long prompt')
def step_asked(context: Context, number: int) -> None:
    """Note a read that has begun."""
    context.loads.note_arriving(f'prefill-{number}', LONG)


@when('{seconds:d} s pass without an answer')
def step_pass(context: Context, seconds: int) -> None:
    """Set what the clock says from now on."""
    context.later = monotonic() + seconds


@then('the beginning does not count as held by reader {number:d}')
def step_not_held(context: Context, number: int) -> None:
    """Check what an entry believes then."""
    with patch.object(cached_parts, 'monotonic', lambda: context.later):
        held = context.loads.held_tokens(f'prefill-{number}', LONG)
    assert held == 0, held
