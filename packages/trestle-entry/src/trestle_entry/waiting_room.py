"""Where requests wait for a place at an endpoint of one target.

Order is earliest deadline first. A caller that uses more than its share has
its deadlines taken as later by its excess: start-time fair queueing in
seconds of engine work. Only `WIDTH` requests ask endpoints at a time, so a
full fleet is not asked more often the more requests wait.

Invariants: the room is bounded; a request leaves it by a place, by its own
deadline, or by its caller's leaving, and then its slot passes to the next.
"""

from heapq import heappop, heappush
from itertools import count
from time import monotonic
from typing import Final, NamedTuple

from gevent.event import Event

from trestle_core.errorcodes import DEADLINE_UNREACHABLE, OVERLOADED
from trestle_core.errors import TrestleError

WIDTH: Final = 4
_INTERVAL_WEIGHT: Final = 0.2
_CALLERS_KEPT: Final = 1000


class Turn(NamedTuple):
    """A place in the order; compares by effective deadline, then arrival."""

    effective_deadline: float
    number: int
    called: Event


class FairShares:
    """Start tags of callers, in seconds of engine work."""

    def __init__(self) -> None:
        """All callers start equal."""
        self.virtual_now = 0.0
        self.finish: dict[str, float] = {}

    def charge(self, caller: str, cost_seconds: float) -> float:
        """Charge a request and return its start tag."""
        start = max(self.virtual_now, self.finish.get(caller, 0.0))
        self.finish[caller] = start + cost_seconds
        if len(self.finish) > _CALLERS_KEPT:
            self._prune()
        return start

    def excess(self, start: float) -> float:
        """Return how far a start tag is ahead of virtual time."""
        return max(0.0, start - self.virtual_now)

    def advance(self, start: float) -> None:
        """Move virtual time to the start tag of a request with a place."""
        self.virtual_now = max(self.virtual_now, start)

    def _prune(self) -> None:
        self.finish = {
            caller: tag
            for caller, tag in self.finish.items()
            if tag > self.virtual_now
        }


class WaitingRoom:
    """The waiting requests of one target."""

    def __init__(self, limit: int) -> None:
        """Hold at most `limit` waiting requests."""
        self.limit = limit
        self.shares = FairShares()
        self.waiting: list[Turn] = []
        self.asking = 0
        self.numbers = count()
        self.capacity = Event()
        self.grant_interval = 0.0
        self.granted_at = monotonic()

    def is_idle(self) -> bool:
        """Tell whether a request may ask at once."""
        return not self.waiting and self.asking < WIDTH

    def enter(self, effective_deadline: float, deadline: float) -> None:
        """Wait for a turn to ask.

        Raises `TrestleError` with `overloaded` when the room is full and
        `deadline-unreachable` when the deadline comes or will come first.
        """
        if self.is_idle():
            self.asking += 1
            return
        self._check_room(effective_deadline, deadline)
        if not self.waiting:
            # Idle time before a queue forms says nothing of its pace.
            self.granted_at = monotonic()
        turn = Turn(effective_deadline, next(self.numbers), Event())
        heappush(self.waiting, turn)
        called = False
        try:
            called = bool(turn.called.wait(max(0.0, deadline - monotonic())))
        finally:
            if not called:
                self._abandon(turn)
        if not called:
            raise TrestleError(DEADLINE_UNREACHABLE)

    def leave(self) -> None:
        """Pass the turn to the next request."""
        self.asking -= 1
        while self.waiting and self.asking < WIDTH:
            turn = heappop(self.waiting)
            self.asking += 1
            turn.called.set()

    def granted(self, start: float) -> None:
        """Take note of a place that was given."""
        now = monotonic()
        interval = now - self.granted_at
        self.granted_at = now
        self.shares.advance(start)
        if not self.waiting:
            self.grant_interval = 0.0
            return
        change = (interval - self.grant_interval) * _INTERVAL_WEIGHT
        self.grant_interval += change

    def place_freed(self) -> None:
        """Wake the requests that wait before they ask again."""
        self.capacity.set()

    def pause(self, seconds: float) -> None:
        """Wait for a freed place, at most for some seconds."""
        self.capacity.clear()
        self.capacity.wait(seconds)

    def _check_room(self, effective_deadline: float, deadline: float) -> None:
        if len(self.waiting) >= self.limit:
            raise TrestleError(OVERLOADED)
        ahead = sum(
            1
            for turn in self.waiting
            if turn.effective_deadline <= effective_deadline
        )
        if monotonic() + ahead * self.grant_interval > deadline:
            raise TrestleError(DEADLINE_UNREACHABLE)

    def _abandon(self, turn: Turn) -> None:
        if turn in self.waiting:
            # Rare beside the grants: a linear removal is good enough.
            self.waiting.remove(turn)
            self.waiting.sort()
            return
        # The turn was called in the moment in which its request gave up.
        self.leave()
