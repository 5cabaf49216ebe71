"""Steps on what is known of engines' memories, without a network."""

from collections.abc import Callable
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context
from gevent import sleep

from testbed.load_streams import EntryStream
from testbed.placement_cases import delta
from trestle_control import cache_tracker
from trestle_control.cache_tracker import (
    CacheChanges,
    CacheListing,
    CacheTracker,
)
from trestle_control.load_table import LoadTable
from trestle_core.metrics import Metrics
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.wire_types import ModelDemand, PromptPart
from trestle_links.direct_messages import (
    Backend,
    EngineMemory,
    Placement,
)
from trestle_links.load_messages import LoadDelta

LIMIT_SECONDS = 2.0


def lead(context: Context, term: int) -> None:
    """Make the load table of a leader."""
    replica: Any = Mock(is_leader=True, term=term)
    context.leader = LoadTable(replica)


def entry_of(context: Context, name: str) -> EngineLoads:
    """Return an entry's loads."""
    loads: EngineLoads = context.entries.setdefault(name, EngineLoads(name))
    return loads


def stream_of(context: Context, name: str) -> EntryStream:
    """Return an entry's stream to the present leader."""
    stream: EntryStream | None = context.streams.get(name)
    if stream is None or stream.table is not context.leader:
        stream = EntryStream(context.leader, entry_of(context, name))
        context.streams[name] = stream
    return stream


def ask(context: Context, name: str) -> list[LoadDelta]:
    """Let an entry report; return what it has been pushed."""
    stream = stream_of(context, name)
    pushed = [*stream.first, *stream.exchange()]
    stream.first = []
    return pushed


@given('a leader that follows engine "{instance}"')
def step_leader(context: Context, instance: str) -> None:
    """Make a leader that knows an empty memory."""
    context.entries = {}
    context.streams = {}
    lead(context, 1)
    context.leader.placements.record_listing(instance, {})


@given(
    'entry "{name}" has reported part {part:d} with {tokens:d} tokens at '
    'engine "{instance}"'
)
@when(
    'entry "{name}" has reported part {part:d} with {tokens:d} tokens at '
    'engine "{instance}"'
)
def step_report(
    context: Context, name: str, part: int, tokens: int, instance: str
) -> None:
    """Report a placement, and let another entry hear of it."""
    stream = stream_of(context, name)
    stream.loads.reports.placements.append(Placement(part, tokens, instance))
    stream.report()
    ask(context, 'b')


@given('engine "{instance}" tells that part {part:d} keeps {tokens:d} tokens')
@when('engine "{instance}" tells that part {part:d} keeps {tokens:d} tokens')
def step_change(
    context: Context, instance: str, part: int, tokens: int
) -> None:
    """Note an event of an engine."""
    context.leader.placements.record_changes(instance, [(part, tokens)])


@given('entry "{name}" has asked once')
def step_ask(context: Context, name: str) -> None:
    """Exchange once."""
    ask(context, name)


@given(
    'engine "{instance}" is listed with part {part:d} of {tokens:d} tokens and '
    'part {small:d} of {few:d} tokens'
)
def step_listed(
    context: Context,
    instance: str,
    part: int,
    tokens: int,
    small: int,
    few: int,
) -> None:
    """List a memory in whole."""
    held = {part: tokens, small: few}
    context.leader.placements.record_listing(instance, held)


@when('entry "{name}" starts again')
def step_restart(context: Context, name: str) -> None:
    """Forget all that an entry knew."""
    context.entries[name] = EngineLoads(name)
    context.streams.pop(name, None)


@when(
    'another host leads, and lists engine "{instance}" with part {part:d} of '
    '{tokens:d} tokens'
)
def step_other_leader(
    context: Context, instance: str, part: int, tokens: int
) -> None:
    """Replace the leader."""
    lead(context, 2)
    context.leader.placements.record_listing(instance, {part: tokens})


@then(
    'entry "{name}" believes {tokens:d} tokens of part {part:d} at engine '
    '"{instance}"'
)
def step_believes(
    context: Context, name: str, tokens: int, part: int, instance: str
) -> None:
    """Check what an entry believes after one more exchange."""
    ask(context, name)
    need = ModelDemand('m', 13_000, 1, (PromptPart(part, 13_000),))
    held = entry_of(context, name).cached_tokens(instance, need)
    assert held == tokens, held


@then('entry "{name}" is told nothing')
def step_nothing(context: Context, name: str) -> None:
    """Check the placements of an exchange."""
    pushed = ask(context, name)
    assert not sum((delta.placements for delta in pushed), []), pushed
    memories = sum((delta.memories for delta in pushed), [])
    assert all(memory.parts == {} for memory in memories), pushed


@given('an entry that is told of no memory')
def step_untold(context: Context) -> None:
    """Make an entry."""
    context.loads = EngineLoads('a')


@given('an entry that was told the memory of engine "{instance}"')
def step_told(context: Context, instance: str) -> None:
    """Make an entry that knows an empty memory."""
    context.loads = EngineLoads('a')
    memories = [EngineMemory(instance, {})]
    context.loads.apply_delta(delta()._replace(memories=memories))


@when(
    'it reads {count:d} prompts of {tokens:d} tokens at engine "{instance}" of '
    '{memory:d} tokens'
)
def step_reads(
    context: Context, count: int, tokens: int, instance: str, memory: int
) -> None:
    """Read prompts that share one beginning, of which the first is told."""
    beginning = PromptPart(1, tokens // 2)
    for number in range(count):
        own = PromptPart(100 + number, tokens - beginning.tokens)
        first = beginning if number < 1 else PromptPart(2, beginning.tokens)
        need = ModelDemand('m', tokens, 1, (first, own))
        context.loads.note_cached(instance, need, memory)


@then('it believes at most {tokens:d} tokens at engine "{instance}"')
def step_at_most(context: Context, tokens: int, instance: str) -> None:
    """Check the sum of what is believed."""
    assert 0 < context.loads.caches[instance].tokens <= tokens


@then('the one beginning that they share still counts as held')
def step_shared_held(context: Context) -> None:
    """Check a part that was used least lately."""
    need = ModelDemand('m', 5_000, 1, (PromptPart(1, 5_000),))
    assert context.loads.cached_tokens('e1', need) == 5_000


class StandInFeed:
    """An engine's cache that tells what a scenario wants."""

    def __init__(self) -> None:
        """Tell nothing yet."""
        self.listings = 0
        self.calls = 0
        self.closed = 0
        self.second: Callable[[], CacheChanges] | None = None

    def listing(self) -> CacheListing:
        """List one part for each listing."""
        self.listings += 1
        return CacheListing('start 1', 10, {self.listings: 1000})

    def changes(self, since: int) -> CacheChanges:
        """Tell nothing, but for the second page."""
        self.calls += 1
        if self.calls == 2 and self.second:
            return self.second()
        return CacheChanges('start 1', since, False, [])

    def close(self) -> None:
        """Count it."""
        self.closed += 1


@given('an engine "{instance}" whose cache can be followed')
def step_followed(context: Context, instance: str) -> None:
    """Make a follower with one engine."""
    context.feed = StandInFeed()
    backend = Backend(instance, 'llm', '10.0.0.1:80', 'z', False, 'decode', 64)
    machine: Any = Mock()
    machine.state.backends = [backend]
    context.replica = Mock(is_leader=True, term=1)
    table = LoadTable(context.replica)
    context.placements = table.placements
    context.follower = CacheTracker(
        lambda _backend: context.feed,
        machine,
        context.replica,
        table.placements,
        Metrics(),
        table.notices,
    )


def follow(context: Context) -> None:
    """Follow without pauses until the engine is listed twice."""
    with (
        patch.object(cache_tracker, '_CALL_PAUSE_SECONDS', 0.001),
        patch.object(cache_tracker, '_MIN_RETRY_SECONDS', 0.001),
    ):
        context.follower.poll()
        waited = 0.0
        while context.feed.calls < 5 and waited < LIMIT_SECONDS:
            sleep(0.005)
            waited += 0.005
    context.listed = context.feed.listings
    context.known = dict(context.placements.caches)


def end(context: Context) -> None:
    """Stop following."""
    context.replica.is_leader = False
    context.follower.poll()


@when('the leader follows it, and the second page tells that events are lost')
def step_lost(context: Context) -> None:
    """Lose events."""
    page = CacheChanges('start 1', 20, True, [])
    context.feed.second = lambda: page
    follow(context)
    end(context)


@when('the leader follows it, and the second page is of another start')
def step_other_start(context: Context) -> None:
    """Change the epoch."""
    page = CacheChanges('start 2', 0, False, [(5, 100)])
    context.feed.second = lambda: page
    follow(context)
    end(context)


@when('the leader follows it, and the second page does not come')
def step_no_page(context: Context) -> None:
    """Break the connection."""

    def fail() -> CacheChanges:
        raise OSError('reset')

    context.feed.second = fail
    follow(context)
    end(context)


@when('the leader follows it, and then another host leads')
def step_not_leader(context: Context) -> None:
    """End the leadership."""
    follow(context)
    end(context)


@then('the engine was listed twice')
def step_listed_twice(context: Context) -> None:
    """Count the listings, and connections that were closed."""
    assert context.listed == 2, context.listed
    assert context.feed.closed, context.feed.closed


@then('what the second list holds is what counts')
def step_second(context: Context) -> None:
    """Check what the leader knew at the end."""
    assert context.known == {'e1': {2: 1000}}, context.known


@then('nothing is followed or known')
def step_not_followed(context: Context) -> None:
    """Check what a follower keeps."""
    assert not context.follower.tracked
    assert not context.placements.caches
    assert context.feed.closed == 1, context.feed.closed
