"""Steps on the order of requests that wait for permits, without a network."""

from time import monotonic

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, killall, sleep, spawn

from trestle_entry.request_queue import RequestQueue

# So long that only a freed permit ends a wait.
BACKOFF_SECONDS = 600.0
LIMIT_SECONDS = 30.0
QUEUE_LIMIT = 100
# Effective deadlines, far from the time limit of any request.
USUAL = 1000.0
URGENT = 10.0


class FullEndpoint:
    """Requests that ask an endpoint without a free permit, as the entry does."""

    def __init__(self) -> None:
        """Start without requests."""
        self.queue = RequestQueue(QUEUE_LIMIT)
        self.free_permits = 0
        self.served: list[float] = []

    def request(self, urgency: float) -> None:
        """Ask until a permit is granted."""
        needed_by = monotonic() + BACKOFF_SECONDS
        while not self.ask(urgency, needed_by):
            self.queue.pause(BACKOFF_SECONDS)
        self.served.append(urgency)

    def ask(self, urgency: float, needed_by: float) -> bool:
        """Ask once, in turn; return whether a permit was there."""
        self.queue.enter(urgency, needed_by)
        try:
            sleep(0)
            is_granted = self.free_permits > 0
            self.free_permits -= is_granted
        finally:
            self.queue.leave()
        return is_granted

    def wait_refused(self, count: int) -> None:
        """Wait until so many requests have been refused and wait."""
        with Timeout(LIMIT_SECONDS):
            while self.queue.pausing != count:
                sleep(0)


@given(
    '{usual:d} requests that a full endpoint has refused, and {urgent:d} more '
    'urgent ones'
)
def step_refused(context: Context, usual: int, urgent: int) -> None:
    """Let the urgent ones come last."""
    endpoint = FullEndpoint()
    context.endpoint = endpoint
    tasks = [spawn(endpoint.request, USUAL + one) for one in range(usual)]
    endpoint.wait_refused(usual)
    tasks += [spawn(endpoint.request, URGENT) for _ in range(urgent)]
    context.add_cleanup(killall, tasks)
    context.waiting = usual + urgent
    endpoint.wait_refused(context.waiting)


@when('a permit is freed {permits:d} times')
def step_freed(context: Context, permits: int) -> None:
    """Free the next one when all that were not served wait again."""
    for served in range(1, permits + 1):
        context.endpoint.free_permits += 1
        context.endpoint.queue.notify_permit_freed()
        context.endpoint.wait_refused(context.waiting - served)


@then('the {urgent:d} urgent ones have been served')
def step_served(context: Context, urgent: int) -> None:
    """Check who got the permits."""
    assert context.endpoint.served == [URGENT] * urgent, context.endpoint.served
