"""Sends a request to a second back end while the first one is late.

The first complete answer is the caller's, and the other send is cancelled by
closing its connection. A second send is a resend: it draws on the fleet's retry
limits and counts as one of the runs that the route allows. It is made only for
requests that may run twice.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from gevent import Greenlet, Timeout, killall, spawn
from gevent.queue import Empty, SimpleQueue

from trestle_core.errors import TrestleError
from trestle_entry.direct.backend_calls import CompleteAnswer
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.request_sends import send_once
from trestle_entry.direct.wire_types import SERVER_ERROR
from trestle_links.direct_messages import Backend

Send = Callable[[RequestRun, Backend], CompleteAnswer]
# Raises `TrestleError` without another back end.
ChooseOther = Callable[[RequestRun], Backend]


class SendResult(NamedTuple):
    """What became of one send; without an answer another one may be made."""

    backend: Backend
    answer: CompleteAnswer | None
    error: TrestleError | Timeout | None = None

    @property
    def is_good(self) -> bool:
        """Whether the answer is worth more than waiting for another one."""
        head = self.answer.head if self.answer else None
        return bool(
            head and not head.is_declined and head.status < SERVER_ERROR
        )


class HedgedSend:
    """The sends of one request that are under way."""

    def __init__(self, run: RequestRun, send: Send) -> None:
        """Start without a send."""
        self.run = run
        self.send = send
        self.results: SimpleQueue[SendResult] = SimpleQueue()
        self.tasks: dict[str, Greenlet[..., None]] = {}

    def start(self, backend: Backend) -> None:
        """Send to one more back end."""
        self.tasks[backend.instance] = spawn(self._send_to, backend)

    def first_good(
        self, wait_seconds: float, choose: ChooseOther
    ) -> SendResult:
        """Return the first good result, or the last one."""
        try:
            return self._wait(wait_seconds, choose)
        finally:
            # What is cancelled may have run.
            self.run.runs += len(self.tasks)
            killall(list(self.tasks.values()), block=False)

    def _wait(self, wait_seconds: float, choose: ChooseOther) -> SendResult:
        result = self._next(wait_seconds)
        if result is None:
            self._start_second(choose)
            result = self._next(None)
        while self.tasks and result and not result.is_good:
            self._note_bad(result)
            result = self._next(None)
        assert result, 'each send has a result'
        return result

    def _note_bad(self, result: SendResult) -> None:
        """Count a run whose answer is not used."""
        head = result.answer.head if result.answer else None
        if head and not head.is_declined:
            self.run.runs += 1

    def _next(self, seconds: float | None) -> SendResult | None:
        try:
            result = self.results.get(timeout=seconds)
        except Empty:
            return None
        self.tasks.pop(result.backend.instance)
        return result

    def _start_second(self, choose: ChooseOther) -> None:
        run = self.run
        if run.runs + len(self.tasks) >= run.route.max_attempts:
            return
        if not run.context.allows_resend(run.service.name):
            run.context.metrics.count('hedges', 'over-limits')
            return
        run.avoided.update(self.tasks)
        try:
            backend = choose(run)
        except TrestleError:
            run.context.metrics.count('hedges', 'no-other')
            return
        if backend.instance in self.tasks:
            run.context.metrics.count('hedges', 'no-other')
        elif run.context.hedges.take(run.service.name):
            run.context.metrics.count('hedges', 'sent')
            run.trace.add('hedge', backend.instance)
            self.start(backend)

    def _send_to(self, backend: Backend) -> None:
        error: TrestleError | Timeout | None = None
        answer = None
        try:
            answer = send_once(
                self.run,
                backend.instance,
                partial(self.send, self.run, backend),
            )
        except (TrestleError, Timeout) as failure:
            error = failure
        self.results.put(SendResult(backend, answer, error))


def send_hedged(
    run: RequestRun, first: Backend, send: Send, choose: ChooseOther
) -> SendResult:
    """Send to a back end, and once more to another one if it is late.

    Raises what `send_once` raises.
    """
    wait_seconds = None
    if run.route.is_idempotent:
        if not run.sends:
            run.context.hedges.note_request(run.service.name)
        wait_seconds = run.context.hedges.wait_seconds(run.service.name)
    if wait_seconds is None:
        answer = send_once(run, first.instance, partial(send, run, first))
        return SendResult(first, answer)
    hedged = HedgedSend(run, send)
    hedged.start(first)
    result = hedged.first_good(wait_seconds, choose)
    if result.error:
        raise result.error
    return result
