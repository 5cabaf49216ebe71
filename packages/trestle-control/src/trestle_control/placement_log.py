"""The shared prompt parts that engines have cached, as a log of changes.

Changes have two sources: entries report the parts of prompts that they had
prefilled, and the cache tracker receives what the engines stored and
evicted. An entry requests the changes after the last number that it has
received. An entry that has received nothing from this leader first gets the
caches of all tracked engines.

Most parts belong to a single request and are of no use to others. A part
counts as shared once an entry has reported it. Only changes of shared parts
are sent, and the caches are sent without small parts that are not shared.
"""

from collections import deque
from typing import Final, NamedTuple

from trestle_links.direct_messages import EngineMemory, Placement

_MAX_CHANGES: Final = 4000
_MAX_CHANGES_SENT: Final = 400
_MAX_SHARED_PARTS: Final = 20_000
# Prefill of a smaller part takes less time than setting up a KV transfer.
_MIN_TOKENS: Final = 1000
# Host of a change that no entry reported.
_NO_HOST: Final = ''


class NumberedPlacement(NamedTuple):
    """A change, its number and the entry that reported it."""

    number: int
    host: str
    placement: Placement


class PlacementLog:
    """The latest changes, and the caches of the tracked engines."""

    def __init__(self) -> None:
        """Start without changes."""
        self.last_number = 0
        self.changes: deque[NumberedPlacement] = deque(maxlen=_MAX_CHANGES)
        self.caches: dict[str, dict[int, int]] = {}
        # Number of the last complete listing by engine.
        self.listing_numbers: dict[str, int] = {}
        # The oldest part is first.
        self.shared_parts: dict[int, None] = {}

    def record_report(self, host: str, placements: list[Placement]) -> None:
        """Record the parts that an entry had prefilled."""
        for placement in placements:
            self._record_shared(placement.part)
            self._append(host, placement)

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
                self._append(_NO_HOST, Placement(part, tokens, instance))

    def record_listing(self, instance: str, cached: dict[int, int]) -> None:
        """Replace the cache of an engine by a complete listing."""
        self.last_number += 1
        self.caches[instance] = cached
        self.listing_numbers[instance] = self.last_number

    def forget(self, instance: str) -> None:
        """Remove an engine that is no longer tracked."""
        self.caches.pop(instance, None)
        self.listing_numbers.pop(instance, None)

    def placements_after(self, seen: int, host: str) -> list[Placement]:
        """Return the latest changes after a number, oldest first."""
        after: list[Placement] = []
        for change in reversed(self.changes):
            if change.number <= seen or len(after) >= _MAX_CHANGES_SENT:
                break
            if change.host != host:
                after.append(change.placement)
        # Receivers evict the parts first that they received first.
        after.reverse()
        return after

    def caches_after(self, seen: int) -> list[EngineMemory]:
        """Return the caches that were listed completely after a number."""
        return [
            EngineMemory(instance, self._parts_to_send(instance))
            for instance, number in self.listing_numbers.items()
            if number > seen
        ]

    def _parts_to_send(self, instance: str) -> dict[int, int]:
        return {
            part: tokens
            for part, tokens in self.caches[instance].items()
            if tokens >= _MIN_TOKENS or part in self.shared_parts
        }

    def _append(self, host: str, placement: Placement) -> None:
        self.last_number += 1
        self.changes.append(
            NumberedPlacement(self.last_number, host, placement)
        )

    def _record_shared(self, part: int) -> None:
        if part in self.shared_parts:
            return
        self.shared_parts[part] = None
        if len(self.shared_parts) > _MAX_SHARED_PARTS:
            self.shared_parts.pop(next(iter(self.shared_parts)))
        for instance, cache in self.caches.items():
            if part in cache:
                self._append(_NO_HOST, Placement(part, cache[part], instance))
