"""Callers that go on asking while a test stops and changes the system.

They reach the entries through a balancer like the platform's: it sends new
requests only to entries whose readiness page passed at its last look.
"""

from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from gevent import Greenlet, sleep, spawn

from testbed.callers import (
    Answer,
    Completion,
    ServiceCall,
    call_service,
    complete,
)
from testbed.cluster import Cluster

BALANCER_SECONDS: Final = 0.2
CALL_SECONDS: Final = 30.0
PAUSE_SECONDS: Final = 0.05
MODEL_CALLERS: Final = 6
DESK_CALLERS: Final = 2
ANSWER_TOKENS: Final = 60


class Balancer:
    """The ready entries, looked at again after each interval."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.ready = list(cluster.entry_hosts)
        self.turns = count()

    def pick(self) -> str:
        """Return the address of the next ready entry."""
        while not self.ready:
            sleep(BALANCER_SECONDS)
        host = self.ready[next(self.turns) % len(self.ready)]
        return self.cluster.http_address(host)

    def watch(self) -> None:
        """Look at every readiness page for ever."""
        while True:
            hosts = self.cluster.entry_hosts
            self.ready = [host for host in hosts if self.is_ready(host)]
            sleep(BALANCER_SECONDS)

    def is_ready(self, host: str) -> bool:
        """Tell whether an entry runs and its readiness page passes."""
        process = self.cluster.process(host)
        started = process.running() and process.address_file.exists()
        return started and self.cluster.ready(host)


class Sent(NamedTuple):
    """A request that was answered, and whether it was right."""

    request: Completion | ServiceCall
    answer: Answer
    correct: bool


Kind = Callable[[int], Sent]


class SteadyCallers:
    """Callers of one model route and of one service."""

    def __init__(self, cluster: Cluster, model: str, service: str) -> None:
        self.balancer = Balancer(cluster)
        self.model = model
        self.service = service
        self.numbers = count()
        self.sent: list[Sent] = []
        self.stopping = False
        self.watch: Greenlet[..., None] | None = None
        self.tasks: list[Greenlet[..., None]] = []

    def start(self) -> None:
        """Start the balancer and every caller."""
        self.watch = spawn(self.balancer.watch)
        kinds: list[Kind] = [self.read] * MODEL_CALLERS
        if self.service:
            kinds += [self.book] * DESK_CALLERS
        self.tasks = [spawn(self.run, kind) for kind in kinds]

    def finish(self) -> list[Sent]:
        """Let every started request end; return all that were sent."""
        self.stopping = True
        for task in self.tasks:
            task.get(timeout=CALL_SECONDS)
        self.stop()
        return self.sent

    def stop(self) -> None:
        """End every task."""
        tasks = [*self.tasks, self.watch]
        for task in tasks:
            if task:
                task.kill()

    def run(self, kind: Kind) -> None:
        """Send one request after another."""
        while not self.stopping:
            self.sent.append(kind(next(self.numbers)))
            sleep(PAUSE_SECONDS)

    def read(self, number: int) -> Sent:
        """Read a certificate of its own."""
        request = Completion(
            'reader', self.model, f'certificate {number}', ANSWER_TOKENS
        )
        answer = complete(self.balancer.pick(), request, CALL_SECONDS)
        return Sent(request, answer, request.correct(answer))

    def book(self, number: int) -> Sent:
        """Reserve a lot of its own."""
        request = ServiceCall(
            'desk', self.service, 'reserve', f'lot-{number}', {'lot': number}
        )
        answer = call_service(self.balancer.pick(), request, CALL_SECONDS)
        return Sent(request, answer, request.correct(answer))
