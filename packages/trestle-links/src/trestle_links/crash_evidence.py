"""Finds the trait of requests under which back ends crash.

A trait is what a request may share with others: a part of its prompt, or its
whole content if it is sent again. A back end that crashes breaks off requests,
whose traits are then the suspects of that crash. A request that completes
clears its traits of the crashes before.

A trait that is suspected in enough crashes explains them and is blocked for a
while. The most specific one does, unless a less specific one is suspected in
clearly more crashes. The crashes that a trait explains are not held against
others, so that a part that only accompanies a deadly one stays usable.

Times are monotonic seconds of the process; notices carry ages instead.
"""

from collections.abc import Iterable
from math import inf
from typing import Final, NamedTuple

from trestle_links.crash_messages import (
    ClearedTrait,
    CrashNotice,
    aged_by,
)

CRASHES_TO_BLOCK: Final = 3
# For a trait with which requests were served shortly before: more crashes may
# be coincidence, but a new version of the back ends may also crash under it.
CRASHES_TO_BLOCK_PROVEN: Final = 5
# Further crashes under a less specific trait that make it the explanation; one
# may be that of another cause.
_CLEAR_LEAD: Final = 2
FIRST_BLOCK_SECONDS: Final = 60.0
# A crash after the end of a block doubles the next one, up to this time.
_MAX_BLOCK_SECONDS: Final = 480.0
_KEPT_SECONDS: Final = 600.0
# Notices of one back end within this time are of one crash: it takes longer
# to start again.
_SAME_CRASH_SECONDS: Final = 2.0
# Back ends that crash together have an outside cause; they count once.
_SAME_CAUSE_SECONDS: Final = 0.2
_MAX_NOTICES: Final = 1000


class SeenNotice(NamedTuple):
    """A notice and the time of its crash."""

    notice: CrashNotice
    at: float


class Block(NamedTuple):
    """A blocked trait, the crashes that it explains, and the end of the block.

    `instance` is the back end that crashed last.
    """

    trait: str
    crashes: int
    instance: str
    until: float


class Candidate(NamedTuple):
    """A trait that may explain some crashes, and its specificity."""

    rank: int
    crashes: int
    trait: str


class Crash:
    """The crash of a back end at a time, and the suspected traits.

    `ranks` has the specificity of each trait, larger for a more specific one.
    """

    def __init__(self, instance: str, at: float) -> None:
        """Start without a suspect."""
        self.instance = instance
        self.at = at
        self.ranks: dict[str, int] = {}
        self.proven: set[str] = set()

    def add(self, notice: CrashNotice) -> None:
        """Add the traits of a request that the crash broke off."""
        for rank, trait in enumerate(notice.traits):
            self.ranks[trait] = max(rank, self.ranks.get(trait, 0))
        self.proven.update(notice.proven)


class CrashEvidence:
    """Crash notices, the traits that were cleared, and the resulting blocks."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.notices: dict[str, SeenNotice] = {}
        self.cleared_at: dict[str, float] = {}
        # Traits of the kept crashes that no completed request has cleared.
        self.suspects: set[str] = set()
        self.blocks: dict[str, Block] = {}

    def record(self, notice: CrashNotice, now: float) -> bool:
        """Record a notice; return whether it was new."""
        if notice.key in self.notices:
            return False
        at = now - notice.age_seconds
        self.notices[notice.key] = SeenNotice(notice, at)
        self._drop_old(now)
        self._evaluate()
        return True

    def clear(self, cleared: ClearedTrait, now: float) -> bool:
        """Record that a request completed; return whether it clears a trait."""
        at = now - cleared.age_seconds
        is_news = at > self.cleared_at.get(cleared.trait, -inf)
        if not is_news or cleared.trait not in self.suspects:
            return False
        self.cleared_at[cleared.trait] = at
        self._evaluate()
        return True

    def block_of(self, traits: Iterable[str], now: float) -> Block | None:
        """Return the block of one of the traits, if there is any."""
        for trait in traits:
            block = self.blocks.get(trait)
            if block and block.until > now:
                return block
        return None

    def all_notices(self, now: float) -> list[CrashNotice]:
        """Return all kept notices with their present ages."""
        return [
            seen.notice._replace(age_ms=aged_by(0, now - seen.at))
            for seen in self.notices.values()
        ]

    def all_cleared(self, now: float) -> list[ClearedTrait]:
        """Return all cleared traits with their present ages."""
        return [
            ClearedTrait(trait, aged_by(0, now - at))
            for trait, at in self.cleared_at.items()
        ]

    def _drop_old(self, now: float) -> None:
        surplus = len(self.notices) - _MAX_NOTICES
        for position, (key, seen) in enumerate(list(self.notices.items())):
            if position < surplus or now - seen.at > _KEPT_SECONDS:
                self.notices.pop(key)
        for trait, at in list(self.cleared_at.items()):
            if now - at > _KEPT_SECONDS:
                self.cleared_at.pop(trait)

    def _evaluate(self) -> None:
        crashes = self._crashes()
        self.suspects = {trait for crash in crashes for trait in crash.ranks}
        self.blocks = {}
        while block := _best_explanation(crashes):
            self.blocks[block.trait] = block
            crashes = [
                crash for crash in crashes if block.trait not in crash.ranks
            ]

    def _crashes(self) -> list[Crash]:
        """Return the crashes in order, each with the traits not cleared."""
        crashes: list[Crash] = []
        latest: dict[str, Crash] = {}
        for seen in sorted(self.notices.values(), key=lambda seen: seen.at):
            instance = seen.notice.instance
            crash = latest.get(instance)
            if crash is None or seen.at - crash.at > _SAME_CRASH_SECONDS:
                crash = Crash(instance, seen.at)
                latest[instance] = crash
                crashes.append(crash)
            crash.add(seen.notice)
        for crash in crashes:
            crash.ranks = {
                trait: rank
                for trait, rank in crash.ranks.items()
                if self.cleared_at.get(trait, -inf) < crash.at
            }
        return crashes


def _best_explanation(crashes: list[Crash]) -> Block | None:
    """Return the block of the trait that explains the crashes best, if any."""
    best: Candidate | None = None
    for candidate in _candidates(crashes):
        if best is None or candidate.crashes >= best.crashes + _CLEAR_LEAD:
            best = candidate
    if best is None:
        return None
    last = [crash for crash in crashes if best.trait in crash.ranks][-1]
    until = last.at + _block_seconds(best.crashes)
    return Block(best.trait, best.crashes, last.instance, until)


def _candidates(crashes: list[Crash]) -> list[Candidate]:
    """Return the traits with enough crashes, the most specific one first."""
    candidates = []
    for trait, suspected in _crashes_by_trait(crashes).items():
        number = _count_apart(suspected)
        if number >= _crashes_to_block(trait, suspected):
            rank = max(crash.ranks[trait] for crash in suspected)
            candidates.append(Candidate(rank, number, trait))
    return sorted(candidates, reverse=True)


def _crashes_by_trait(crashes: list[Crash]) -> dict[str, list[Crash]]:
    by_trait: dict[str, list[Crash]] = {}
    for crash in crashes:
        for trait in crash.ranks:
            by_trait.setdefault(trait, []).append(crash)
    return by_trait


def _crashes_to_block(trait: str, suspected: list[Crash]) -> int:
    is_proven = any(trait in crash.proven for crash in suspected)
    return CRASHES_TO_BLOCK_PROVEN if is_proven else CRASHES_TO_BLOCK


def _count_apart(crashes: list[Crash]) -> int:
    """Count crashes; those of several back ends at the same time are one."""
    number = 0
    counted_at = -inf
    for crash in crashes:
        if crash.at - counted_at > _SAME_CAUSE_SECONDS:
            number += 1
            counted_at = crash.at
    return number


def _block_seconds(crashes: int) -> float:
    doublings = max(0, crashes - CRASHES_TO_BLOCK)
    return float(min(_MAX_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2**doublings))
