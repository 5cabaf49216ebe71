"""Work in progress at engines: this entry's, and the sums of the others.

Prompts that are not read yet count in predicted engine time; the engine goes
on reading while they wait, so what is left of the first one shrinks. An
engine that takes longer than predicted is counted slower by the ratio.
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
from trestle_entry.direct.wire_types import ModelNeed
from trestle_links.direct_messages import (
    LoadReport,
    LoadView,
    Placement,
)
from trestle_links.engine_slowness import SlownessTable

# Prompt tokens that an engine reads in a millisecond; how far one differs
# from it is learned as its slowness.
OPENING_SPEED: Final = 50.0
# A decode engine reads at half the speed of a prefill engine.
DECODE_SLOWDOWN: Final = 2.0
# Engine time of a request besides its tokens, ms.
BASE_MS: Final = 18.0
# Weight of one call in the learned slowness of an engine.
_SLOWNESS_WEIGHT: Final = 0.2
_LEAST_SLOWNESS: Final = 0.7
_MOST_SLOWNESS: Final = 12.0
# Sums of the others say nothing after this time without an exchange.
_VIEW_MS: Final = 1000.0
_PLACEMENTS_KEPT: Final = 300
_MS_PER_SECOND: Final = 1000


class EngineLoads:
    """Loads, speeds and cached parts of all engines."""

    def __init__(self, host: str) -> None:
        """Know no work; `host` names this entry in the exchange."""
        self.host = host
        self.prompts: dict[str, PromptQueue] = {}
        # Set when the exchange has something new to report.
        self.changed = Event()
        self.running: defaultdict[str, int] = defaultdict(int)
        self.slowness: dict[str, float] = {}
        # How slowly engines take over memory.
        self.moving = SlownessTable()
        self.move_samples: dict[str, float] = {}
        self.cached: dict[str, CachedParts] = {}
        self.placements: list[Placement] = []
        self.suspects: list[str] = []
        self.view = LoadView(1, {}, {}, [], [], 0, 0)
        self.viewed_at = -inf

    @property
    def entries(self) -> int:
        """How many entries share the fleet, this one included."""
        return max(1, self.view.entries)

    def wait_ms(self, instance: str) -> float:
        """Return the engine time of prompts ahead of a new one.

        An engine reads admitted prompts one after another, whatever their
        priority, so all of them count.
        """
        now = monotonic()
        own_ms = self._own_ms(instance, now)
        return (own_ms + self._others_ms(instance, now)) * self.slow(instance)

    def running_at(self, instance: str) -> int:
        """Return the requests in work at a back end, over all entries."""
        own = self.running[instance]
        if self._is_fresh():
            own += self.view.running.get(instance, 0)
        return own

    def slow(self, instance: str) -> float:
        """Return how many times slower than predicted an engine is."""
        return self.slowness.get(instance, 1.0)

    def held_tokens(self, instance: str, need: ModelNeed) -> int:
        """Return the leading tokens of a prompt that an engine holds."""
        cached = self.cached.get(instance)
        return cached.cached_tokens(need.parts) if cached else 0

    def copyable_tokens(self, instance: str, need: ModelNeed) -> int:
        """Return the leading tokens that an engine has read already."""
        cached = self.cached.get(instance)
        return cached.read_tokens(need.parts) if cached else 0

    def note_arriving(self, instance: str, need: ModelNeed) -> None:
        """Note that an engine is asked to read a prompt."""
        cached = self.cached.setdefault(instance, CachedParts())
        for part in need.parts[:-1]:
            if cached.note_arriving(part.part, part.tokens):
                self.placements.append(
                    Placement(part.part, part.tokens, instance, arriving=True)
                )
        self.changed.set()

    @contextmanager
    def reading(self, instance: str, engine_ms: float) -> Iterator[None]:
        """Count a prompt as being read during the block."""
        queue = self.prompts.setdefault(instance, PromptQueue())
        number = queue.add(engine_ms)
        self.changed.set()
        try:
            yield
        finally:
            queue.remove(number)
            self.changed.set()

    @contextmanager
    def counted(self, instance: str) -> Iterator[None]:
        """Count a request as in work at a back end during the block."""
        self.running[instance] += 1
        try:
            yield
        finally:
            self.running[instance] -= 1
            if not self.running[instance]:
                self.running.pop(instance)

    def note_read(
        self, instance: str, need: ModelNeed, memory_tokens: int
    ) -> None:
        """Note that an engine of so much memory holds a prompt now."""
        cached = self.cached.setdefault(instance, CachedParts())
        cached.note_used(need.parts, memory_tokens)
        # The last part belongs to one request or session.
        for part in need.parts[:-1]:
            self.placements.append(Placement(part.part, part.tokens, instance))

    def note_speed(
        self, instance: str, predicted_ms: float, took_ms: float
    ) -> None:
        """Learn from a call how slow an engine is."""
        ratio = min(
            _MOST_SLOWNESS, max(_LEAST_SLOWNESS, took_ms / predicted_ms)
        )
        known = self.slow(instance)
        self.slowness[instance] = known + _SLOWNESS_WEIGHT * (ratio - known)

    def note_move_time(
        self, instance: str, expected_ms: float, took_ms: float
    ) -> None:
        """Learn from memory that an engine took over."""
        ratio = took_ms / expected_ms
        self.moving.note(instance, ratio)
        self.move_samples[instance] = ratio

    def forget(self, instance: str) -> None:
        """Forget what an engine that ended had cached."""
        self.cached.pop(instance, None)
        self.slowness.pop(instance, None)
        self.moving.forget(instance)

    def take_report(self) -> LoadReport:
        """Return the report of this entry and start the next one."""
        now = monotonic()
        prefill_ms = {
            instance: round(queue.remaining_ms(now), 1)
            for instance, queue in self.prompts.items()
            if queue.waiting
        }
        report = LoadReport(
            self.host,
            prefill_ms,
            dict(self.running),
            self.placements[-_PLACEMENTS_KEPT:],
            self.suspects,
            self.view.seen,
            self.view.term,
            self.move_samples,
        )
        self.move_samples = {}
        self.placements = []
        self.suspects = []
        return report

    def take_view(self, view: LoadView) -> None:
        """Take the sums of the others and what their engines hold."""
        self.view = view
        self.viewed_at = monotonic()
        self.moving.take(view.move_slowness)
        for memory in view.memories:
            cached = self.cached.setdefault(memory.instance, CachedParts())
            cached.replace(memory.parts)
        for placement in view.placements:
            cached = self.cached.setdefault(placement.instance, CachedParts())
            if placement.arriving:
                cached.note_arriving(placement.part, placement.tokens)
            else:
                cached.note_part(placement.part, placement.tokens)

    def _is_fresh(self) -> bool:
        age_ms = (monotonic() - self.viewed_at) * _MS_PER_SECOND
        return age_ms < _VIEW_MS

    def _own_ms(self, instance: str, now: float) -> float:
        queue = self.prompts.get(instance)
        return queue.remaining_ms(now) if queue else 0.0

    def _others_ms(self, instance: str, now: float) -> float:
        if not self._is_fresh():
            return 0.0
        age_ms = (now - self.viewed_at) * _MS_PER_SECOND
        reported = self.view.prefill_ms.get(instance, 0.0)
        # The engine went on reading since the view was made.
        return max(0.0, reported - age_ms)


def read_ms(tokens: int) -> float:
    """Return the engine time that reading tokens takes."""
    return BASE_MS + tokens / OPENING_SPEED
