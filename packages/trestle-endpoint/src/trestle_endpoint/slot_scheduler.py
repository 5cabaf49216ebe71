"""Places on the target: who may run now, and who waits, by priority.

Work enters after its permit was used and leaves when it ends. The target
gets at most `max_running` at once, the engine at most a number of long
prompts, and at most one suspect content, so that the next crash names its
cause. A prompt whose next piece is being read for another one waits for it:
an engine looks into its prefix cache only when a prompt begins, so two that
begin together read the same document twice. Work that must wait for one of
these does not hold up the work behind it.
"""

from bisect import insort
from collections.abc import Callable, Iterator
from typing import NamedTuple

from gevent import Timeout
from gevent.event import Event

from trestle_core.errorcodes import DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_endpoint.permits import WorkItem


class SlotLimits(NamedTuple):
    """What may run at the same time; asked for at each decision."""

    max_running: int
    long_prompts: Callable[[], int]
    is_suspect: Callable[[str], bool]


class Waiter:
    """Work in the queue."""

    def __init__(self, work: WorkItem) -> None:
        """Wait behind work that is as urgent."""
        self.work = work
        self.admitted = Event()


class SlotScheduler:
    """Running and waiting work."""

    def __init__(self, limits: SlotLimits) -> None:
        """Start with every place free."""
        self.limits = limits
        self.running: dict[int, WorkItem] = {}
        self.waiting: list[Waiter] = []

    def acquire(self, work: WorkItem, timeout_seconds: float) -> None:
        """Wait for a place by priority.

        Raises `TrestleError` when the time is over; the work has not run.
        """
        waiter = Waiter(work)
        insort(self.waiting, waiter, key=_schedule_order)
        self.schedule()
        try:
            with Timeout(timeout_seconds):
                waiter.admitted.wait()
        except BaseException as error:
            self._remove(waiter)
            if isinstance(error, Timeout):
                raise TrestleError(DEADLINE_PASSED) from error
            raise

    def release(self, work: WorkItem) -> None:
        """Free the place of work that ended."""
        self.running.pop(work.permit.serial, None)
        self.schedule()

    def schedule(self) -> None:
        """Start what fits, the most urgent first."""
        for waiter in list(self.waiting):
            if len(self.running) >= self.limits.max_running:
                return
            if self._may_start(waiter.work):
                self.waiting.remove(waiter)
                self.running[waiter.work.permit.serial] = waiter.work
                waiter.admitted.set()

    def work_items(self) -> Iterator[WorkItem]:
        """Return all work that entered, running first."""
        yield from self.running.values()
        for waiter in self.waiting:
            yield waiter.work

    def is_idle(self) -> bool:
        """Tell whether nothing runs and nothing waits."""
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
