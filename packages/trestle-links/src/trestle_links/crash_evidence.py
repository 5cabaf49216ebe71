"""Finds the trait of requests under which back ends crash.

A trait is what a request may share with others: a part of its prompt, or its
whole content if it is sent again. A back end that crashes breaks off requests,
whose traits are then the suspects of that crash. A request that is served
clears its traits of the crashes before.

A trait that is suspected in enough crashes explains them and is blocked for a
while. Of traits with which nothing was served shortly before, the most specific
one does, and a part rather than the content: requests with such a part are
rare. Another one does if it is suspected in clearly more crashes. The crashes
that a trait explains are not held against others, so that a part that only
accompanies a deadly one stays usable.

Times are monotonic seconds of the process; messages carry ages instead.
"""

from collections.abc import Iterable
from math import inf
from typing import Final, NamedTuple

from trestle_links.crash_messages import CrashNotice, ServedTrait, age_ms

CRASHES_TO_BLOCK: Final = 3
# For a proven trait, with which requests were served shortly before: more
# crashes may be coincidence, but new back ends may also crash under it.
CRASHES_TO_BLOCK_PROVEN: Final = 5
PROVEN_SECONDS: Final = 60.0
# Back ends that crash together have an outside cause; they count once against
# a proven trait.
_SAME_CAUSE_SECONDS: Final = 0.2
# Further crashes under a less likely trait that make it the explanation; one
# may be that of another cause.
_CLEAR_LEAD: Final = 2
FIRST_BLOCK_SECONDS: Final = 60.0
# A crash after the end of a block doubles the next one, up to this time.
_MAX_BLOCK_SECONDS: Final = 480.0
_KEPT_SECONDS: Final = 600.0
# Notices of one back end within this time are of one crash: it takes longer
# to start again.
_SAME_CRASH_SECONDS: Final = 2.0
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


class Crash(NamedTuple):
    """The crash of a back end.

    `ranks` has the position of each suspected part, counted from 1, larger
    for a more specific one, and 0 for each suspected content.
    """

    instance: str
    at: float
    ranks: dict[str, int]


class Candidate(NamedTuple):
    """A trait that may explain some crashes; the likelier one sorts higher."""

    is_unproven: bool
    rank: int
    crashes: int
    trait: str


class CrashEvidence:
    """Crash notices, the traits that were served, and the resulting blocks."""

    def __init__(self) -> None:
        """Start without evidence."""
        self.notices: dict[str, SeenNotice] = {}
        self.served_at: dict[str, float] = {}
        # Crashes in which a trait is suspected, over all kept notices.
        self.suspects: dict[str, int] = {}
        self.blocks: dict[str, Block] = {}
        self.last_crash_at = -inf

    def record(
        self, notices: Iterable[CrashNotice], now: float
    ) -> list[CrashNotice]:
        """Record notices; return the new ones."""
        new = [notice for notice in notices if notice.key not in self.notices]
        for notice in new:
            at = now - notice.age_seconds
            self.notices[notice.key] = SeenNotice(notice, at)
            self.last_crash_at = max(self.last_crash_at, at)
        if new:
            self._drop_old(now)
            self._evaluate()
        return new

    def note_served(
        self, served_traits: Iterable[ServedTrait], now: float
    ) -> list[ServedTrait]:
        """Record served requests; return what is new and matters."""
        new = []
        for served in served_traits:
            at = now - served.age_seconds
            is_news = at > self.served_at.get(served.trait, -inf)
            if is_news and served.trait in self.suspects:
                self.served_at[served.trait] = at
                new.append(served)
        if any(self._may_be_blamed(served.trait) for served in new):
            self._evaluate()
        for served in new:
            if now - served.age_seconds > self.last_crash_at:
                self.suspects.pop(served.trait, None)
        return new

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
            seen.notice._replace(age_ms=age_ms(now - seen.at))
            for seen in self.notices.values()
        ]

    def all_served(self, now: float) -> list[ServedTrait]:
        """Return when each trait was last served, as far as it is known."""
        return [
            ServedTrait(trait, age_ms(now - at))
            for trait, at in self.served_at.items()
        ]

    def _may_be_blamed(self, trait: str) -> bool:
        return self.suspects[trait] >= CRASHES_TO_BLOCK

    def _drop_old(self, now: float) -> None:
        surplus = len(self.notices) - _MAX_NOTICES
        for position, (key, seen) in enumerate(list(self.notices.items())):
            if position < surplus or now - seen.at > _KEPT_SECONDS:
                self.notices.pop(key)
        for trait, at in list(self.served_at.items()):
            if now - at > _KEPT_SECONDS:
                self.served_at.pop(trait)

    def _evaluate(self) -> None:
        crashes = self._crashes()
        suspected = _crashes_by_trait(crashes)
        self.suspects = {
            trait: len(under) for trait, under in suspected.items()
        }
        self.blocks = {}
        while block := self._best_explanation(crashes):
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
                crash = Crash(instance, seen.at, {})
                latest[instance] = crash
                crashes.append(crash)
            self._add_suspects(crash, seen.notice)
        return crashes

    def _add_suspects(self, crash: Crash, notice: CrashNotice) -> None:
        for rank, trait in enumerate([notice.content, *notice.parts]):
            if self.served_at.get(trait, -inf) < crash.at:
                known_rank = crash.ranks.get(trait, 0)
                crash.ranks[trait] = max(rank, known_rank)

    def _best_explanation(self, crashes: list[Crash]) -> Block | None:
        best: Candidate | None = None
        for candidate in self._candidates(crashes):
            if best is None or candidate.crashes >= best.crashes + _CLEAR_LEAD:
                best = candidate
        if best is None:
            return None
        last = [crash for crash in crashes if best.trait in crash.ranks][-1]
        until = last.at + _block_seconds(best.crashes)
        return Block(best.trait, best.crashes, last.instance, until)

    def _candidates(self, crashes: list[Crash]) -> list[Candidate]:
        """Return the traits with enough crashes, the likeliest first."""
        candidates = []
        for trait, suspected in _crashes_by_trait(crashes).items():
            is_proven = self._is_proven(trait, suspected)
            number, needed = len(suspected), CRASHES_TO_BLOCK
            if is_proven:
                number = _count_apart(suspected)
                needed = CRASHES_TO_BLOCK_PROVEN
            if number >= needed:
                rank = max(crash.ranks[trait] for crash in suspected)
                candidates.append(Candidate(not is_proven, rank, number, trait))
        return sorted(candidates, reverse=True)

    def _is_proven(self, trait: str, suspected: list[Crash]) -> bool:
        served_at = self.served_at.get(trait, -inf)
        return suspected[0].at - served_at < PROVEN_SECONDS


def _crashes_by_trait(crashes: list[Crash]) -> dict[str, list[Crash]]:
    by_trait: dict[str, list[Crash]] = {}
    for crash in crashes:
        for trait in crash.ranks:
            by_trait.setdefault(trait, []).append(crash)
    return by_trait


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
