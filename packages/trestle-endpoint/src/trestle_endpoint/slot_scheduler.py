"""Assigns the slots of the target to work, by priority.

Work acquires a slot after its permit was used and releases it when it ends.
At most `max_running` work items run at the same time. An engine also runs at
most a limited number of long prompts, and at most one suspect content, so
that the next crash identifies its cause.

A prompt waits while another prompt that contains its first uncached piece is
in prefill: an engine checks its prefix cache only when a prompt starts, so
two prompts that start together would both prefill the shared prefix. Work
that waits for one of these conditions does not block the work behind it.
"""

from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

from gevent import Timeout
from gevent.event import Event

from trestle_core.errorcodes import DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_endpoint.permits import WorkItem


class SlotLimits(NamedTuple):
    """Limits on concurrent work; the callables are evaluated each time."""

    max_running: int
    long_prompts: Callable[[], int]
    is_suspect: Callable[[str], bool]


class Waiter:
    """A work item in the request queue."""

    def __init__(self, work: WorkItem) -> None:
        """Create a queue entry that has no slot yet."""
        self.work = work
        self.slot_granted = Event()


class SlotScheduler:
    """The running work of the target and its request queue."""

    def __init__(self, limits: SlotLimits) -> None:
        """Start with all slots free and an empty queue."""
        self.limits = limits
        self.running: dict[int, WorkItem] = {}
        self.waiting: list[Waiter] = []

    def acquire(self, work: WorkItem, timeout_seconds: float) -> None:
        """Wait for a slot in order of priority.

        Raises `TrestleError` on a timeout; the work has not run.
        """
        waiter = Waiter(work)
        insort(self.waiting, waiter, key=_schedule_order)
        self.schedule()
        try:
            with Timeout(timeout_seconds):
                waiter.slot_granted.wait()
        except BaseException as error:
            self._remove(waiter)
            if isinstance(error, Timeout):
                raise TrestleError(DEADLINE_PASSED) from error
            raise

    def release(self, work: WorkItem) -> None:
        """Release the slot of work that has ended."""
        self.running.pop(work.permit.serial, None)
        self.schedule()

    def schedule(self) -> None:
        """Give free slots to waiting work, the most urgent first."""
        for waiter in list(self.waiting):
            if len(self.running) >= self.limits.max_running:
                return
            if self._may_start(waiter.work):
                self.waiting.remove(waiter)
                self.running[waiter.work.permit.serial] = waiter.work
                waiter.slot_granted.set()

    def is_idle(self) -> bool:
        """Return whether no work is running or waiting."""
        return not self.running and not self.waiting

    def _may_start(self, work: WorkItem) -> bool:
        if work.demand.is_long:
            long_running = sum(
                other.demand.is_long for other in self.running.values()
            )
            if long_running >= self.limits.long_prompts():
                return False
        if self._is_being_prefilled(work.demand.first_missing_piece()):
            return False
        return not (self._is_suspect(work) and self._is_suspect_running())

    def _is_being_prefilled(self, piece: str) -> bool:
        return any(
            piece in other.demand.pieces
            for other in self.running.values()
            if not other.is_prefilled
        )

    def _is_suspect_running(self) -> bool:
        return any(map(self._is_suspect, self.running.values()))

    def _is_suspect(self, work: WorkItem) -> bool:
        return work.demand.is_suspect or self.limits.is_suspect(work.content)

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        else:
            self.release(waiter.work)


def _schedule_order(waiter: Waiter) -> tuple[int, int]:
    return waiter.work.demand.priority, waiter.work.permit.serial
