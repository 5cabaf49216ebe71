"""Steps on the order of requests that wait for permits, without a network."""

from random import Random
from time import monotonic

from behave import given, then, when
from behave.runner import Context
from gevent import joinall, killall, sleep, spawn

from trestle_entry.request_queue import RequestQueue

ASK_SECONDS = 0.002
FIRST_BACKOFF_SECONDS = 0.01
LONGEST_BACKOFF_SECONDS = 0.2
PERMIT_SECONDS = 0.03
LIMIT_SECONDS = 30.0
QUEUE_LIMIT = 100
# Effective deadlines, far from the time limit of any request.
USUAL = 1000.0
URGENT = 10.0


class Round:
    """Requests that ask one full endpoint, as the entry does."""

    def __init__(self, seed: int) -> None:
        """Start with a full endpoint."""
        self.random = Random(seed)
        self.queue = RequestQueue(QUEUE_LIMIT)
        self.free_permits = 0
        self.served: list[float] = []

    def request(self, urgency: float) -> None:
        """Ask until a permit is granted."""
        backoff = FIRST_BACKOFF_SECONDS
        needed_by = monotonic() + LIMIT_SECONDS
        while not self.ask(urgency, needed_by):
            self.queue.pause(backoff)
            backoff *= self.random.uniform(1, 2)
            backoff = min(LONGEST_BACKOFF_SECONDS, backoff)
        self.served.append(urgency)

    def ask(self, urgency: float, needed_by: float) -> bool:
        """Ask once, in turn; return whether a permit was there."""
        self.queue.enter(urgency, needed_by)
        try:
            sleep(ASK_SECONDS)
            is_granted = self.free_permits > 0
            self.free_permits -= is_granted
        finally:
            self.queue.leave()
        return is_granted

    def play(self, usual: int, urgent: int, permits: int) -> list[float]:
        """Let requests wait, free permits, and return who got them in order."""
        tasks = [spawn(self.request, USUAL + one) for one in range(usual)]
        sleep(LONGEST_BACKOFF_SECONDS)
        tasks += [spawn(self.request, URGENT) for _ in range(urgent)]
        sleep(PERMIT_SECONDS)
        for _ in range(permits):
            self.free_permits += 1
            self.queue.notify_permit_freed()
            sleep(PERMIT_SECONDS)
        joinall(tasks, timeout=1)
        killall(tasks)
        return self.served


@given(
    '{usual:d} requests that a full endpoint has refused, and {urgent:d} more '
    'urgent ones'
)
def step_counts(context: Context, usual: int, urgent: int) -> None:
    """Keep how many there are."""
    context.counts = (usual, urgent)


@when(
    'a permit is freed {permits:d} times, in {rounds:d} rounds of such requests'
)
def step_play(context: Context, permits: int, rounds: int) -> None:
    """Play each round with waits of its own."""
    usual, urgent = context.counts
    context.rounds = [
        Round(seed).play(usual, urgent, permits) for seed in range(rounds)
    ]


@then('the urgent ones are served before {others:d} others, in every round')
def step_order(context: Context, others: int) -> None:
    """Count those that came before the last urgent one."""
    _, urgent = context.counts
    for served in context.rounds:
        assert served.count(URGENT) == urgent, served
        last = max(at for at, one in enumerate(served) if one == URGENT)
        assert last - urgent + 1 < others, served
