"""Load of the engines: this entry's requests, and the sums of the others.

Prompts whose prefill has not finished count with their predicted engine time.
The engine works on the first of them meanwhile, so its remaining time shrinks.
The waits of an engine that takes longer than predicted are scaled by the
ratio.
"""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from time import monotonic
from typing import Final

from gevent.event import Event

from trestle_entry.direct.cached_parts import CachedParts
from trestle_entry.direct.prompt_queue import PromptQueue
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import (
    LoadReport,
    LoadView,
    Placement,
)
from trestle_links.engine_slowness import SlownessTable

# Prompt tokens that an engine of average speed prefills in a millisecond; the
# deviation of each engine is estimated as its slowness.
PREFILL_TOKENS_PER_MS: Final = 50.0
# A decode engine prefills at half the speed of a prefill engine.
DECODE_PREFILL_SLOWDOWN: Final = 2.0
# Engine time of a prefill that does not depend on the tokens.
PREFILL_BASE_MS: Final = 18.0
# Weight of one call in the estimated slowness of an engine.
_SLOWNESS_WEIGHT: Final = 0.2
_MIN_SLOWNESS: Final = 0.7
_MAX_SLOWNESS: Final = 12.0
# The sums of the other entries are ignored after this time without an
# exchange.
_VIEW_VALID_MS: Final = 1000.0
_MAX_REPORTED_PLACEMENTS: Final = 300
_MS_PER_SECOND: Final = 1000


class EngineLoads:
    """Loads, slowness and cached prompt parts of all engines."""

    def __init__(self, host: str) -> None:
        """Start without load; `host` names this entry in the exchange."""
        self.host = host
        self.prompt_queues: dict[str, PromptQueue] = {}
        # Set when the exchange has something new to report.
        self.changed = Event()
        self.running: defaultdict[str, int] = defaultdict(int)
        self.prefill_slowness: dict[str, float] = {}
        # How slow KV transfers to each engine are.
        self.transfer_slowness = SlownessTable()
        self.transfer_samples: dict[str, float] = {}
        self.caches: dict[str, CachedParts] = {}
        self.placements: list[Placement] = []
        self.crash_notices: list[str] = []
        self.view = LoadView(1, {}, {}, [], [], 0, 0)
        self.view_received_at = -inf

    @property
    def entry_count(self) -> int:
        """The number of entries that share the fleet, this one included."""
        return max(1, self.view.entries)

    def wait_ms(self, instance: str) -> float:
        """Return the time until an engine could start on a new prompt.

        An engine prefills admitted prompts one after another, whatever their
        priority, so all of them count.
        """
        now = monotonic()
        own_ms = self._own_prefill_ms(instance, now)
        return (
            own_ms + self._other_entries_ms(instance, now)
        ) * self.prefill_slowness_of(instance)

    def running_at(self, instance: str) -> int:
        """Return the running requests at a back end, over all entries."""
        running = self.running[instance]
        if self._is_view_fresh():
            running += self.view.running.get(instance, 0)
        return running

    def prefill_slowness_of(self, instance: str) -> float:
        """Return the ratio of actual to predicted prefill time at an engine."""
        return self.prefill_slowness.get(instance, 1.0)

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
                self.placements.append(
                    Placement(
                        part.part_id, part.tokens, instance, arriving=True
                    )
                )
        self.changed.set()

    @contextmanager
    def track_prefill(self, instance: str, engine_ms: float) -> Iterator[None]:
        """Count a prompt in the prefill queue of an engine in the block."""
        queue = self.prompt_queues.setdefault(instance, PromptQueue())
        prompt_id = queue.add(engine_ms)
        self.changed.set()
        try:
            yield
        finally:
            queue.remove(prompt_id)
            self.changed.set()

    @contextmanager
    def track_request(self, instance: str) -> Iterator[None]:
        """Count a request as running at a back end in the block."""
        self.running[instance] += 1
        try:
            yield
        finally:
            self.running[instance] -= 1
            if not self.running[instance]:
                self.running.pop(instance)

    def note_cached(
        self, instance: str, demand: ModelDemand, kv_cache_tokens: int
    ) -> None:
        """Record that an engine now has a prompt in its KV cache."""
        cache = self.caches.setdefault(instance, CachedParts())
        cache.note_prompt(demand.parts, kv_cache_tokens)
        # The last part belongs to a single request or session.
        for part in demand.parts[:-1]:
            self.placements.append(
                Placement(part.part_id, part.tokens, instance)
            )

    def note_prefill_time(
        self, instance: str, predicted_ms: float, took_ms: float
    ) -> None:
        """Update the prefill slowness of an engine from a finished call."""
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, took_ms / predicted_ms))
        previous = self.prefill_slowness_of(instance)
        self.prefill_slowness[instance] = previous + _SLOWNESS_WEIGHT * (
            ratio - previous
        )

    def note_transfer_time(
        self, instance: str, expected_ms: float, took_ms: float
    ) -> None:
        """Update the transfer slowness of an engine from a KV transfer."""
        ratio = took_ms / expected_ms
        self.transfer_slowness.note(instance, ratio)
        self.transfer_samples[instance] = ratio

    def forget(self, instance: str) -> None:
        """Drop the cached parts and the slowness of a removed engine."""
        self.caches.pop(instance, None)
        self.prefill_slowness.pop(instance, None)
        self.transfer_slowness.forget(instance)

    def take_report(self) -> LoadReport:
        """Return the report since the last one and start a new one."""
        now = monotonic()
        prefill_ms = {
            instance: round(queue.remaining_ms(now), 1)
            for instance, queue in self.prompt_queues.items()
            if queue.prompts
        }
        report = LoadReport(
            self.host,
            prefill_ms,
            dict(self.running),
            self.placements[-_MAX_REPORTED_PLACEMENTS:],
            self.crash_notices,
            self.view.seen,
            self.view.term,
            self.transfer_samples,
        )
        self.transfer_samples = {}
        self.placements = []
        self.crash_notices = []
        return report

    def apply_view(self, view: LoadView) -> None:
        """Apply the sums of the other entries and the changes of caches."""
        self.view = view
        self.view_received_at = monotonic()
        self.transfer_slowness.take(view.move_slowness)
        for memory in view.memories:
            cache = self.caches.setdefault(memory.instance, CachedParts())
            cache.replace(memory.parts)
        for placement in view.placements:
            cache = self.caches.setdefault(placement.instance, CachedParts())
            if placement.arriving:
                cache.note_pending(placement.part, placement.tokens)
            else:
                cache.note_part(placement.part, placement.tokens)

    def _is_view_fresh(self) -> bool:
        age_ms = (monotonic() - self.view_received_at) * _MS_PER_SECOND
        return age_ms < _VIEW_VALID_MS

    def _own_prefill_ms(self, instance: str, now: float) -> float:
        queue = self.prompt_queues.get(instance)
        return queue.remaining_ms(now) if queue else 0.0

    def _other_entries_ms(self, instance: str, now: float) -> float:
        if not self._is_view_fresh():
            return 0.0
        age_ms = (now - self.view_received_at) * _MS_PER_SECOND
        reported = self.view.prefill_ms.get(instance, 0.0)
        # The engine has continued its prefill since the view was made.
        return max(0.0, reported - age_ms)


def estimate_prefill_ms(tokens: int) -> float:
    """Return the engine time to prefill tokens at average speed."""
    return PREFILL_BASE_MS + tokens / PREFILL_TOKENS_PER_MS
