"""What engines hold of shared prompt parts, as a numbered list of changes.

Changes come from two sides: entries report what they had read, and the
followers of the engines' caches report what really came and went. An entry
asks for what came after the number that it has seen. One that has seen
nothing of this leader gets the memories of all followed engines first.

Most parts belong to one request and are of no use to another one. A part
counts as shared once an entry reported it; only changes of shared parts
travel, and the memories leave out small parts that are not shared.
"""

from collections import deque
from typing import Final, NamedTuple

from trestle_links.direct_messages import EngineMemory, Placement

_CHANGES_KEPT: Final = 4000
_CHANGES_SENT: Final = 400
_SHARED_KEPT: Final = 20_000
# Smaller parts are read in less time than a copy takes to set up.
_LEAST_TOKENS: Final = 1000
# A change that no entry reported.
_NO_HOST: Final = ''


class NumberedPlacement(NamedTuple):
    """A change, its place in the list and the entry that reported it."""

    number: int
    host: str
    placement: Placement


class PlacementLog:
    """The latest changes, and the memories of the followed engines."""

    def __init__(self) -> None:
        """Start without any change."""
        self.number = 0
        self.changes: deque[NumberedPlacement] = deque(maxlen=_CHANGES_KEPT)
        self.memories: dict[str, dict[int, int]] = {}
        # Number of the change with which an engine was listed in whole.
        self.listed: dict[str, int] = {}
        # Insertion order stands for age.
        self.shared: dict[int, None] = {}

    def note_report(self, host: str, placements: list[Placement]) -> None:
        """Note what an entry had read."""
        for placement in placements:
            self._note_shared(placement.part)
            self._add(host, placement)

    def note_changes(
        self, instance: str, changed: list[tuple[int, int]]
    ) -> None:
        """Note parts of a followed engine and what it now keeps of each."""
        memory = self.memories.setdefault(instance, {})
        for part, tokens in changed:
            if tokens:
                memory[part] = tokens
            else:
                memory.pop(part, None)
            if part in self.shared:
                self._add(_NO_HOST, Placement(part, tokens, instance))

    def note_memory(self, instance: str, held: dict[int, int]) -> None:
        """Replace what is known of an engine's memory."""
        self.number += 1
        self.memories[instance] = held
        self.listed[instance] = self.number

    def forget(self, instance: str) -> None:
        """Forget an engine that is no longer followed."""
        self.memories.pop(instance, None)
        self.listed.pop(instance, None)

    def placements_after(self, seen: int, host: str) -> list[Placement]:
        """Return the newest changes after a number, in their order."""
        after: list[Placement] = []
        for change in reversed(self.changes):
            if change.number <= seen or len(after) >= _CHANGES_SENT:
                break
            if change.host != host:
                after.append(change.placement)
        # Receivers forget first what they heard of first.
        after.reverse()
        return after

    def memories_after(self, seen: int) -> list[EngineMemory]:
        """Return the memories that were listed in whole after a number."""
        return [
            EngineMemory(instance, self._worth_telling(instance))
            for instance, number in self.listed.items()
            if number > seen
        ]

    def _worth_telling(self, instance: str) -> dict[int, int]:
        return {
            part: tokens
            for part, tokens in self.memories[instance].items()
            if tokens >= _LEAST_TOKENS or part in self.shared
        }

    def _add(self, host: str, placement: Placement) -> None:
        self.number += 1
        self.changes.append(NumberedPlacement(self.number, host, placement))

    def _note_shared(self, part: int) -> None:
        if part in self.shared:
            return
        self.shared[part] = None
        if len(self.shared) > _SHARED_KEPT:
            self.shared.pop(next(iter(self.shared)))
        for instance, memory in self.memories.items():
            if part in memory:
                self._add(_NO_HOST, Placement(part, memory[part], instance))
