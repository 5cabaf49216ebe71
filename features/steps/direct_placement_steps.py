"""Steps on placement: plans without any network."""

from contextlib import ExitStack

from behave import given, then, when
from behave.runner import Context

from testbed.placement_cases import (
    LIMIT_TOKENS,
    LONG,
    MS_PER_TOKEN,
    SHORT,
    ZONES,
    engine,
    long_prompt,
    plan,
    report_others,
    tokens_of,
)
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.fleet_view import FleetView
from trestle_entry.direct.placement import plan_request
from trestle_entry.direct.prefill_work import PlacementRequest
from trestle_entry.direct.wire_types import ModelDemand, PromptPart


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
    context.loads.note_cached(instance, LONG, LIMIT_TOKENS)


@given('{count:d} shared beginnings are held by readers 0, 1 and 2')
def step_spread_holders(context: Context, count: int) -> None:
    """Let three readers hold the beginnings in turn."""
    for number in range(count):
        context.loads.note_cached(
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
        need = ModelDemand('m', 17_000, 13, (beginning, own))
        context.plans.append(plan(context, context.loads, need))


@when('the long prompt is planned again after a failed read')
def step_plan_without(context: Context) -> None:
    """Plan without copies."""
    asked = PlacementRequest(LONG, ZONES[0], context.ms_per_token)
    context.plan = plan_request(
        context.engines, context.loads, asked, may_copy=False
    )


@then('the idle readers copy the beginnings and read the rest')
def step_copies(context: Context) -> None:
    """Check that nothing shared is read again and nobody waits."""
    idle = {'prefill-3', 'prefill-4', 'prefill-5'}
    for planned in context.plans:
        assert planned.prefill_engine.instance in idle, planned
        assert planned.work.copied_tokens == 13_300, planned
        assert planned.work.uncached_tokens == 3_700, planned


@then("the beginning is copied from an engine in the reader's zone")
def step_zone_copy(context: Context) -> None:
    """Check where the copy comes from."""
    planned = context.plan
    assert planned.work.source, planned
    assert planned.work.source.zone == planned.prefill_engine.zone, planned


@then('nothing is copied')
def step_no_copy(context: Context) -> None:
    """Check the work of the reader."""
    assert context.plan.work.source is None, context.plan


@given('reader {number:d} holds the beginning of a long prompt')
def step_holds(context: Context, number: int) -> None:
    """Let the entry know that a reader has read the prompt."""
    context.loads.note_cached(f'prefill-{number}', LONG, LIMIT_TOKENS)


@given('reader {number:d} has {engine_ms:d} ms of prompts ahead')
def step_ahead(context: Context, number: int, engine_ms: int) -> None:
    """Put prompts in front of a reader."""
    tokens = tokens_of(context.loads, engine_ms)
    reading = context.loads.own.track_prefill(f'prefill-{number}', tokens)
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
    report_others(context.loads, loads)


@given('the others report {engine_ms:d} ms of prompts at every reader')
def step_others(context: Context, engine_ms: int) -> None:
    """Take a view in which every reader is busy."""
    loads = {reader.instance: float(engine_ms) for reader in context.readers}
    report_others(context.loads, loads)


@given('every decoder streams to {callers:d} callers')
def step_streams(context: Context, callers: int) -> None:
    """Count streams at each decoder."""
    for decoder in context.decoders:
        context.loads.own.running[decoder.instance] = callers


@when('two entries that know nothing of each other plan {count:d} long prompts')
def step_two_entries(context: Context, count: int) -> None:
    """Plan the same prompts on two entries."""
    prompts = [long_prompt(number) for number in range(count)]
    context.choices = [
        [
            plan(context, EngineLoads(name), prompt).prefill_engine
            for prompt in prompts
        ]
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
    assert context.plan.prefill_engine.instance == f'prefill-{number}', (
        context.plan
    )


@then('another reader reads it')
def step_other_reader(context: Context) -> None:
    """Check that the holder was left out."""
    assert context.plan.prefill_engine.instance != 'prefill-5', context.plan


@then('a reader reads it')
def step_some_reader(context: Context) -> None:
    """Check that the prompt is read apart."""
    assert context.plan.prefill_engine, context.plan


@then('a decoder reads it itself')
def step_decoder_reads(context: Context) -> None:
    """Check that the prompt is not read apart."""
    assert context.plan.prefill_engine is None, context.plan


@when(
    'a burst of {count:d} different long prompts is planned without an answer'
)
def step_burst(context: Context, count: int) -> None:
    """Plan a burst; each prompt stays in front of its reader."""
    context.counts = {reader.instance: 0 for reader in context.readers}
    for number in range(count):
        planned = plan(context, context.loads, long_prompt(number))
        assert planned.prefill_engine, planned
        instance = planned.prefill_engine.instance
        context.counts[instance] += 1
        reading = context.loads.own.track_prefill(
            instance, planned.work.uncached_tokens
        )
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
    context.fleet.replace_list(context.engines)
    for _ in range(calls):
        for decoder in context.decoders:
            context.fleet.note_failed(decoder.instance, 'reset')


@then('the usable engines still include {count:d} that decode')
def step_usable(context: Context, count: int) -> None:
    """Count the decoders among the usable engines."""
    usable = context.fleet.usable('llm', frozenset())
    assert sum(entry.role == 'decode' for entry in usable) == count, usable
