"""Shares the event loop between greenlets that receive bytes from outside.

A receive that finds bytes does not wait, so a peer that sends without a pause
would keep its greenlet running. What a byte costs depends on what it says, so a
turn is bounded by time: a task has a credit, which grows by an equal part of a
share of the loop's time and is charged with the time that its bytes took. A task
without credit waits for its place among all others without credit. Those run one
at a time, with pauses in between, so that a short task waits for one turn of one
of them, however many there are.

Invariant: tasks without credit take at most `_PACED_SHARE` of the loop's time.
"""

from time import monotonic
from typing import Final

from gevent import sleep

# Longest turn of a task whose bytes come from processes of the system.
LONGEST_OWN_TURN_SECONDS: Final = 0.005
# A wait of no time lets callbacks run, but not always sockets and timers.
_LEAST_WAIT_SECONDS: Final = 0.0001
# Credit of a task when it begins, and the most that it can have.
_CREDIT_SECONDS: Final = 0.002
# Share of the loop's time from which credits grow, and the least number of tasks
# by which it is divided.
_CREDIT_SHARE: Final = 0.25
_FEWEST_TASKS: Final = 10
# Share of the loop's time for all tasks without credit.
_PACED_SHARE: Final = 0.4
# Time over which tasks that receive are counted.
_COUNT_SECONDS: Final = 0.1
# Part of a turn that nobody times: the receive itself, and passing the bytes on.
_UNTIMED_SECONDS: Final = 0.0001
# A receive is made smaller or larger to take about this time.
_TURN_SECONDS: Final = 0.001
_CHEAP_TURN_SECONDS: Final = _TURN_SECONDS / 4
# The clock also counts the time in which another process had the processor.
_LONGEST_COUNTED_SECONDS: Final = 0.02
_LEAST_BYTES: Final = 1024
_FIRST_BYTES: Final = 4096
_MOST_BYTES: Final = 65_536


class Turns:
    """What all tasks of one event loop share."""

    def __init__(self) -> None:
        """Start without tasks."""
        # When the next task without credit may run.
        self.free_at = 0.0
        # Tasks that received in the last complete count, and in this one.
        self.tasks = 0
        self.counted = 0
        self.count_began_at = 0.0
        # Turns of tasks without credit, since the start.
        self.paced = 0

    def count(self, task: 'Turn', now: float) -> None:
        """Count a task that receives, once in each count."""
        if now - self.count_began_at > _COUNT_SECONDS:
            self.tasks = self.counted
            self.counted = 0
            self.count_began_at = now
        if task.counted_at < self.count_began_at:
            self.counted += 1
        task.counted_at = now

    def credit_share(self) -> float:
        """Return the share of the loop's time by which a credit grows."""
        return _CREDIT_SHARE / max(self.tasks, self.counted, _FEWEST_TASKS)

    def take_place(self, now: float, seconds: float) -> float:
        """Return when a turn of so many seconds may begin."""
        self.paced += 1
        starts_at = max(now, self.free_at)
        self.free_at = starts_at + seconds / _PACED_SHARE
        return starts_at


# A process has one event loop.
LOOP_TURNS: Final = Turns()


class Turn:
    """The turns of one task that receives, such as the answer to one request."""

    def __init__(self, turns: Turns = LOOP_TURNS) -> None:
        """Begin a task."""
        self.turns = turns
        self.credit = _CREDIT_SECONDS
        self.credited_at = monotonic()
        self.counted_at = 0.0
        self.timed_seconds = 0.0
        # Waits for a place among tasks without credit.
        self.waited_seconds = 0.0
        # Whether the current turn is charged to the shared time.
        self.is_paced = False
        self.size = _FIRST_BYTES

    def begin(self) -> int:
        """Wait for the next turn; return how many bytes to receive in it."""
        now = monotonic()
        self.turns.count(self, now)
        last_seconds = self.timed_seconds + _UNTIMED_SECONDS
        self._settle(now, last_seconds)
        self._fit_size()
        self.timed_seconds = 0.0
        self.is_paced = self.credit <= 0
        if self.is_paced:
            starts_at = self.turns.take_place(now, last_seconds)
            self.waited_seconds += starts_at - now
            sleep(max(starts_at - now, _LEAST_WAIT_SECONDS))
        return self.size

    def note(self, began_at: float) -> None:
        """Count the time since `began_at`, monotonic seconds, as this turn's."""
        seconds = min(monotonic() - began_at, _LONGEST_COUNTED_SECONDS)
        self.charge(seconds)

    def charge(self, seconds: float) -> None:
        """Count so much time as this turn's."""
        self.timed_seconds += seconds

    def _settle(self, now: float, seconds: float) -> None:
        gained = (now - self.credited_at) * self.turns.credit_share()
        self.credited_at = now
        charged = 0.0 if self.is_paced else seconds
        self.credit = min(self.credit + gained, _CREDIT_SECONDS) - charged

    def _fit_size(self) -> None:
        if self.timed_seconds > _TURN_SECONDS:
            self.size = max(self.size // 2, _LEAST_BYTES)
        elif self.timed_seconds < _CHEAP_TURN_SECONDS:
            self.size = min(self.size * 2, _MOST_BYTES)


def let_others_run() -> None:
    """Let each task run that is ready, and time limits end what they must."""
    sleep(_LEAST_WAIT_SECONDS)
