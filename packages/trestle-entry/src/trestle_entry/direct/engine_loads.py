"""Load, speed and caches of the engines, as this entry knows them.

The time until an engine can start on a new prompt follows from the prompts
that all entries have in its queue, and from the learned times of its pool.
The engine works on the first of them meanwhile, so the time shrinks.
"""

from time import monotonic
from typing import Final

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_entry.direct.cached_parts import CachedParts
from trestle_entry.direct.customer_shares import CustomerShares
from trestle_entry.direct.engine_speeds import EngineSpeeds, PrefillCall
from trestle_entry.direct.entry_counts import EntryCounts
from trestle_entry.direct.entry_reports import EntryReports
from trestle_entry.direct.own_loads import OwnLoads
from trestle_entry.direct.own_streams import OwnStreams
from trestle_entry.direct.rate_limits import RateLimits
from trestle_entry.direct.shared_loads import SharedLoads
from trestle_entry.direct.usage_counts import UsageCounts
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.agreed_clock import wall_clock_ms
from trestle_links.codec import decode_message
from trestle_links.direct_messages import Backend, EngineMemory, Placement
from trestle_links.load_messages import (
    BackendLoad,
    LoadChange,
    LoadDelta,
    LoadPush,
)

# A decode engine prefills at half the speed of a prefill engine.
DECODE_PREFILL_SLOWDOWN: Final = 2.0
# An entry that a leader counts no more may still send for some time, cut off.
_ENTRY_MEMORY_SECONDS: Final = 60.0
_MS_PER_SECOND: Final = 1000


class EngineLoads:
    """Loads, speeds and cached prompt parts of all engines."""

    def __init__(self, host: str) -> None:
        """Start without load; `host` names this entry in reports."""
        self.host = host
        self.own = OwnLoads()
        self.shared = SharedLoads()
        self.speeds = EngineSpeeds()
        self.caches: dict[str, CachedParts] = {}
        self.reports = EntryReports(self.own.changed)
        self.rate_limits = RateLimits(self.own.changed)
        self.streams = OwnStreams(self.own.changed)
        self.usage = UsageCounts()
        self.shares = CustomerShares()
        self.entry_counts = EntryCounts(_ENTRY_MEMORY_SECONDS)

    @property
    def entry_count(self) -> int:
        """The entries that share the fleet, this one included; 0 if unknown."""
        return self.entry_counts.most()

    def wait_ms(self, engine: Backend) -> float:
        """Return the time until an engine could start on a new prompt.

        An engine prefills admitted prompts one after another, whatever their
        priority, so all of them count.
        """
        instance = engine.instance
        own = self.own.queues.get(instance)
        others = self.shared.at(instance)
        prompts = others.prompts + (len(own.prompts) if own else 0)
        if not prompts:
            return 0.0
        tokens = others.tokens + (own.tokens if own else 0)
        line = self.speeds.prefill_line(engine.service)
        total_ms = line.at(prompts, tokens)
        total_ms *= self.speeds.prefill_slowness_of(instance)
        began_at = max(
            own.began_at if own else 0.0,
            self.shared.began_at.get(instance, 0.0),
        )
        done_ms = (monotonic() - began_at) * _MS_PER_SECOND
        # The engine works on one prompt; the others have not begun.
        return total_ms - min(done_ms, total_ms / max(prompts, 1.0))

    def prompts_at(self, instance: str) -> float:
        """Return the prompts in the prefill queue of an engine."""
        own = self.own.queues.get(instance)
        others = self.shared.at(instance)
        return others.prompts + (len(own.prompts) if own else 0)

    def running_at(self, instance: str) -> float:
        """Return the running requests at a back end, over all entries."""
        own = self.own.running.get(instance, 0)
        return own + self.shared.at(instance).running

    def kv_tokens_at(self, instance: str) -> float:
        """Return the KV cache tokens of the running requests at an engine."""
        own = self.own.kv_tokens.get(instance, 0)
        return own + self.shared.at(instance).kv_tokens

    def prefill_call(self, engine: Backend, tokens: int) -> PrefillCall:
        """Return a prefill that is about to be sent, with what is ahead."""
        own = self.own.load_of(engine.instance)
        others = self.shared.at(engine.instance)
        return PrefillCall(
            engine.service,
            engine.instance,
            tokens,
            own.prompts + others.prompts,
            own.tokens + others.tokens,
        )

    def cached_tokens(self, instance: str, demand: ModelDemand) -> int:
        """Return the leading tokens that an engine has cached or prefills."""
        cache = self.caches.get(instance)
        return cache.cached_tokens(demand.parts) if cache else 0

    def copyable_tokens(self, instance: str, demand: ModelDemand) -> int:
        """Return the leading tokens that an engine has already cached."""
        cache = self.caches.get(instance)
        return cache.copyable_tokens(demand.parts) if cache else 0

    def note_pending(self, instance: str, demand: ModelDemand) -> None:
        """Record that an engine is about to prefill a prompt."""
        cache = self.caches.setdefault(instance, CachedParts())
        for part in demand.parts[:-1]:
            if cache.note_pending(part.part_id, part.tokens):
                self.reports.note_placement(
                    Placement(
                        part.part_id, part.tokens, instance, arriving=True
                    )
                )

    def note_cached(
        self, instance: str, demand: ModelDemand, kv_cache_tokens: int
    ) -> None:
        """Record that an engine now has a prompt in its KV cache."""
        cache = self.caches.setdefault(instance, CachedParts())
        # The last part belongs to a single request or session.
        for part in demand.parts[:-1]:
            if cache.is_news(part.part_id, part.tokens):
                self.reports.note_placement(
                    Placement(part.part_id, part.tokens, instance)
                )
        cache.note_prompt(demand.parts, kv_cache_tokens)

    def keep_only(self, instances: set[str]) -> None:
        """Drop what is known of all other engines."""
        for instance in set(self.caches) - instances:
            self.caches.pop(instance)
        self.own.keep_only(instances)
        self.shared.keep_only(instances)
        self.speeds.keep_only(instances)
        self.rate_limits.keep_only(instances)

    def open_stream(self) -> list[BackendLoad]:
        """Return all loads of this entry, which open a stream."""
        loads = self.own.all_loads()
        self.own.unreported.clear()
        self.shared.start_stream(loads)
        self.rate_limits.start_stream()
        self.streams.report_all()
        self.usage.report_all()
        return loads

    def take_change(self, number: int) -> LoadChange:
        """Return what has changed since the last call."""
        change = LoadChange(
            number,
            self.own.take_unreported(),
            self.reports.take_placements(),
            self.reports.take_crashes(),
            self.reports.take_served(),
            self.speeds.take_transfer_samples(),
            self.speeds.take_fit_sums(),
            self.reports.take_failures(),
            self.rate_limits.take_limits(),
            self.rate_limits.take_sends(number),
            self.streams.take_unreported(),
            self.reports.take_leaving(),
            self.usage.take_unreported(),
            wall_clock_ms(),
            self.reports.take_calls(),
        )
        self.shared.note_sent(number, change.loads)
        return change

    def apply_push(self, push: LoadPush, *, is_first: bool) -> LoadDelta:
        """Apply a push and return its content; raises `TrestleError`."""
        delta = decode_message(push.packed)
        if not isinstance(delta, LoadDelta):
            raise TrestleError(BAD_FRAME, 'the leader pushed no loads')
        self.shared.apply(push.applied, delta.loads, is_first=is_first)
        self.apply_delta(delta)
        self.rate_limits.apply(
            delta.limits, delta.sends, push.applied, self.entry_count
        )
        return delta

    def apply_delta(self, delta: LoadDelta) -> None:
        """Apply what changed at engines; `shared` has the sums already."""
        self.entry_counts.note(delta.entries)
        self.speeds.transfer_slowness.take(delta.transfer_slowness)
        self.speeds.follow(delta.speeds)
        if delta.unix_ms:
            self.usage.clock.follow(delta.unix_ms)
        self.usage.forget_through(delta.usage_recorded)
        if delta.shares is not None:
            self.shares.follow(delta.shares)
        self._apply_memories(delta.memories)
        for placement in delta.placements:
            cache = self.caches.setdefault(placement.instance, CachedParts())
            if placement.arriving:
                cache.note_pending(placement.part, placement.tokens)
            else:
                cache.note_part(placement.part, placement.tokens)

    def _apply_memories(self, memories: list[EngineMemory]) -> None:
        for memory in memories:
            cache = self.caches.setdefault(memory.instance, CachedParts())
            cache.replace(memory.parts)
