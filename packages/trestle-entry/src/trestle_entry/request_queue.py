"""Queue of the requests that wait for a permit of one target.

The order is earliest deadline first. The deadlines of a caller that uses more
than its share are postponed by the excess: start-time fair queueing, measured
in seconds of engine work. Only `MAX_REQUESTING` requests contact endpoints at
a time, so the load on a busy fleet does not grow with the queue. Requests that
endpoints refused wake together when a permit is freed; turns are given when all
of them have queued again, in their order and not in that of their waking.

Invariants: the queue is bounded. A request leaves it when its turn comes, at
its deadline, or when its caller disconnects; a turn that it held or was given
passes to the next request.
"""

from heapq import heappop, heappush
from itertools import count
from time import monotonic
from typing import Final, NamedTuple

from gevent import get_hub
from gevent.event import Event

from trestle_core.errorcodes import DEADLINE_UNREACHABLE, OVERLOADED
from trestle_core.errors import TrestleError

MAX_REQUESTING: Final = 4
_INTERVAL_SMOOTHING: Final = 0.2
_MAX_TRACKED_CALLERS: Final = 1000


class QueuedRequest(NamedTuple):
    """A waiting request, ordered by effective deadline, then arrival."""

    effective_deadline: float
    arrival_number: int
    turn_given: Event


class FairShares:
    """Start tags of callers, in seconds of engine work."""

    def __init__(self) -> None:
        """Start with no work charged to any caller."""
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}

    def charge(self, caller: str, cost_seconds: float) -> float:
        """Charge a request and return its start tag."""
        start_tag = max(self.virtual_time, self.finish_tags.get(caller, 0.0))
        self.finish_tags[caller] = start_tag + cost_seconds
        if len(self.finish_tags) > _MAX_TRACKED_CALLERS:
            self._prune()
        return start_tag

    def excess(self, start_tag: float) -> float:
        """Return how far a start tag is ahead of virtual time."""
        return max(0.0, start_tag - self.virtual_time)

    def advance(self, start_tag: float) -> None:
        """Move virtual time to the start tag of a request with a permit."""
        self.virtual_time = max(self.virtual_time, start_tag)

    def _prune(self) -> None:
        self.finish_tags = {
            caller: tag
            for caller, tag in self.finish_tags.items()
            if tag > self.virtual_time
        }


class RequestQueue:
    """The waiting requests of one target."""

    def __init__(self, limit: int) -> None:
        """Hold at most `limit` waiting requests."""
        self.limit = limit
        self.shares = FairShares()
        self.waiting: list[QueuedRequest] = []
        self.requesting = 0
        # Requests that endpoints refused and that wait to ask again.
        self.pausing = 0
        self.gives_turns_soon = False
        self.arrival_numbers = count()
        self.permit_freed = Event()
        self.grant_interval_seconds = 0.0
        self.last_grant_at = monotonic()

    def has_free_turn(self) -> bool:
        """Return whether a turn is free and nobody waits for one."""
        return not self.waiting and self.requesting < MAX_REQUESTING

    def enter(self, effective_deadline: float, deadline: float) -> None:
        """Wait for a turn to contact endpoints.

        Raises `overloaded` when the queue is full, and
        `deadline-unreachable` when the deadline passes or would pass first.
        """
        is_free = self.has_free_turn()
        if is_free and not self.pausing:
            self.requesting += 1
            return
        if not is_free:
            self._check_limits(effective_deadline, deadline)
        if not self.waiting:
            # Idle time before the queue forms must not count as an interval.
            self.last_grant_at = monotonic()
        queued = QueuedRequest(
            effective_deadline, next(self.arrival_numbers), Event()
        )
        heappush(self.waiting, queued)
        self._give_turns_soon()
        has_turn = False
        try:
            has_turn = bool(
                queued.turn_given.wait(max(0.0, deadline - monotonic()))
            )
        finally:
            if not has_turn:
                self._remove(queued)
        if not has_turn:
            raise TrestleError(DEADLINE_UNREACHABLE)

    def leave(self) -> None:
        """End a turn and give it to the next request."""
        self.requesting -= 1
        self._give_turns()

    def _give_turns_soon(self) -> None:
        """Give turns once all requests that wake now have queued."""
        if not self.gives_turns_soon:
            self.gives_turns_soon = True
            get_hub().loop.run_callback(self._give_turns)

    def _give_turns(self) -> None:
        self.gives_turns_soon = False
        while self.waiting and self.requesting < MAX_REQUESTING:
            queued = heappop(self.waiting)
            self.requesting += 1
            queued.turn_given.set()

    def record_grant(self, start_tag: float) -> None:
        """Update virtual time and the grant interval after a grant."""
        now = monotonic()
        interval_seconds = now - self.last_grant_at
        self.last_grant_at = now
        self.shares.advance(start_tag)
        if not self.waiting:
            self.grant_interval_seconds = 0.0
            return
        change = (
            interval_seconds - self.grant_interval_seconds
        ) * _INTERVAL_SMOOTHING
        self.grant_interval_seconds += change

    def notify_permit_freed(self) -> None:
        """Wake the requests that wait to retry."""
        self.permit_freed.set()

    def pause(self, seconds: float) -> None:
        """Wait until a permit is freed, at most `seconds`."""
        self.pausing += 1
        try:
            self.permit_freed.clear()
            self.permit_freed.wait(seconds)
        finally:
            self.pausing -= 1

    def _check_limits(self, effective_deadline: float, deadline: float) -> None:
        if len(self.waiting) >= self.limit:
            raise TrestleError(OVERLOADED)
        ahead = sum(
            1
            for queued in self.waiting
            if queued.effective_deadline <= effective_deadline
        )
        if monotonic() + ahead * self.grant_interval_seconds > deadline:
            raise TrestleError(DEADLINE_UNREACHABLE)

    def _remove(self, queued: QueuedRequest) -> None:
        if queued in self.waiting:
            # Rare compared to grants: a linear removal is fast enough.
            self.waiting.remove(queued)
            self.waiting.sort()
            return
        # The turn was given just as its request stopped waiting.
        self.leave()
