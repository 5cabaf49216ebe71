"""The shared prompt parts that engines have cached, and what changed of them.

Changes have two sources: entries report the parts of prompts that they had
prefilled, and the cache tracker receives what the engines stored and evicted.
Every push to the entries takes the changes since the push before it. An entry
whose stream begins gets the caches of all tracked engines.

Most parts belong to a single request and are of no use to others. A part
counts as shared once an entry has reported it. Only changes of shared parts
are sent, and the caches are sent without small parts that are not shared.
"""

from collections import deque
from typing import Final

from trestle_links.direct_messages import EngineMemory, Placement

_MAX_CHANGES: Final = 4000
_MAX_SHARED_PARTS: Final = 20_000
# Prefill of a smaller part takes less time than setting up a KV transfer.
_MIN_TOKENS: Final = 1000


class PlacementLog:
    """The changes since the last push, and the caches of tracked engines."""

    def __init__(self) -> None:
        """Start without changes."""
        self.changes: deque[Placement] = deque(maxlen=_MAX_CHANGES)
        self.caches: dict[str, dict[int, int]] = {}
        # Engines that were listed completely since the last push.
        self.new_listings: set[str] = set()
        # The oldest part is first.
        self.shared_parts: dict[int, None] = {}

    def record_report(self, placements: list[Placement]) -> None:
        """Record the parts that an entry had prefilled."""
        for placement in placements:
            self._record_shared(placement.part)
            self.changes.append(placement)

    def record_changes(
        self, instance: str, changed: list[tuple[int, int]]
    ) -> None:
        """Record changed parts of an engine with the tokens now cached."""
        cache = self.caches.setdefault(instance, {})
        for part, tokens in changed:
            if tokens:
                cache[part] = tokens
            else:
                cache.pop(part, None)
            if part in self.shared_parts:
                self.changes.append(Placement(part, tokens, instance))

    def record_listing(self, instance: str, cached: dict[int, int]) -> None:
        """Replace the cache of an engine by a complete listing."""
        self.caches[instance] = cached
        self.new_listings.add(instance)

    def forget(self, instance: str) -> None:
        """Remove an engine that is no longer tracked."""
        self.caches.pop(instance, None)
        self.new_listings.discard(instance)

    def take_changes(self) -> list[Placement]:
        """Return the changes since the last call, oldest first.

        Receivers evict the parts first that they received first.
        """
        taken = list(self.changes)
        self.changes.clear()
        return taken

    def take_memories(self) -> list[EngineMemory]:
        """Return the caches that were listed since the last call."""
        taken = [self._memory(instance) for instance in self.new_listings]
        self.new_listings.clear()
        return taken

    def all_memories(self) -> list[EngineMemory]:
        """Return the caches of all tracked engines."""
        return [self._memory(instance) for instance in self.caches]

    def _memory(self, instance: str) -> EngineMemory:
        parts = {
            part: tokens
            for part, tokens in self.caches[instance].items()
            if tokens >= _MIN_TOKENS or part in self.shared_parts
        }
        return EngineMemory(instance, parts)

    def _record_shared(self, part: int) -> None:
        if part in self.shared_parts:
            return
        self.shared_parts[part] = None
        if len(self.shared_parts) > _MAX_SHARED_PARTS:
            self.shared_parts.pop(next(iter(self.shared_parts)))
        for instance, cache in self.caches.items():
            if part in cache:
                self.changes.append(Placement(part, cache[part], instance))
