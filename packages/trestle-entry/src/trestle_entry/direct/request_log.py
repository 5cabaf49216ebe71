"""Writes one log line per request, with every dispatch decision.

Lines go through a bounded queue to one writer greenlet, so that a log consumer
that stops reading never blocks a request. Lines that do not fit are counted,
and the count is reported in one line.
"""

from collections import deque
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import spawn
from gevent.event import Event
from msgspec.json import encode

from trestle_core.logs import time_of_day, write_line
from trestle_core.metrics import Metrics

_QUEUE_LINES: Final = 2000
_MS_PER_SECOND: Final = 1000


class Step(NamedTuple):
    """A decision on a request, `at_ms` after its arrival."""

    at_ms: float
    kind: str
    detail: str


class RequestTrace:
    """The decisions on one request, in order, and fields of its log line."""

    def __init__(self, request_id: str, arrived_at: float) -> None:
        """Start without a decision."""
        self.request_id = request_id
        self.arrived_at = arrived_at
        self.steps: list[Step] = []
        self.fields: dict[str, Any] = {}

    def add(self, kind: str, detail: str = '') -> None:
        """Append a decision."""
        at_ms = (monotonic() - self.arrived_at) * _MS_PER_SECOND
        self.steps.append(Step(round(at_ms, 1), kind, detail))


class RequestLog:
    """The queue of request lines and its writer."""

    def __init__(self, metrics: Metrics, host: str) -> None:
        """Start without a writer; `host` names this entry in each line."""
        self.metrics = metrics
        self.host = host
        self.lines: deque[bytes] = deque()
        self.wake = Event()
        self.dropped = 0
        self.started = False

    def write(self, trace: RequestTrace, outcome: str, verdict: str) -> None:
        """Queue the line of a finished request."""
        self.metrics.count('request_outcomes', outcome)
        seconds = monotonic() - trace.arrived_at
        self.metrics.observe_seconds('request_total', seconds)
        total_ms = round(seconds * _MS_PER_SECOND, 1)
        self._put(
            {
                'part': 'request',
                'host': self.host,
                'time': time_of_day(),
                'request': trace.request_id,
                'outcome': outcome,
                'verdict': verdict,
                'ms': total_ms,
                **trace.fields,
                'steps': trace.steps,
            }
        )

    def _put(self, line: dict[str, Any]) -> None:
        if not self.started:
            self.started = True
            spawn(self._run)
        if len(self.lines) >= _QUEUE_LINES:
            self.dropped += 1
            self.metrics.count('log_lines_dropped')
            return
        self.lines.append(encode(line))
        self.wake.set()

    def _dropped_line(self) -> dict[str, Any]:
        dropped = self.dropped
        self.dropped = 0
        return {'part': 'request', 'lines_dropped': dropped}

    def _run(self) -> None:
        while True:
            self.wake.wait()
            self.wake.clear()
            while self.lines:
                write_line(self.lines.popleft())
            if self.dropped:
                write_line(encode(self._dropped_line()))
