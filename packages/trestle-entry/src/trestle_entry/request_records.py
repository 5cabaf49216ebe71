"""Traces of requests, for the log and `explain`.

One log line is written per request, when it ends. The last `MAX_RECORDS`
records can be read over HTTP.
"""

from collections import OrderedDict
from time import monotonic
from typing import Any, Final

from gevent import Timeout

from trestle_core.errorcodes import ANSWER_INCOMPLETE
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.verdict import Verdict

MAX_RECORDS: Final = 2000
_MS_PER_SECOND: Final = 1000

_log = part_logger('request')


def ended_by_stop() -> TrestleError:
    """Return the failure of a request that a planned stop has ended."""
    return TrestleError(
        ANSWER_INCOMPLETE,
        'This entry stops before the answer.',
        Verdict.MAY_HAVE_RUN,
    )


class RequestRecord:
    """The trace of one request: its steps, verdict and token count."""

    def __init__(self, request_id: str, caller: str, route: str) -> None:
        """Start the trace when the request arrives."""
        self.request_id = request_id
        self.caller = caller
        self.route = route
        self.started = monotonic()
        self.first_token: float | None = None
        self.steps: list[dict[str, Any]] = []
        self.dispatches = 0
        self.verdict = Verdict.NOT_RUN
        self.code = ''
        self.tokens = 0

    def note(self, step: str, **details: Any) -> None:
        """Add a step with the milliseconds since arrival."""
        self.steps.append({'at_ms': self.age_ms(), 'step': step, **details})

    def note_failure(self, error: BaseException) -> None:
        """Record why the request got no whole answer.

        A `Timeout` is the end of a planned stop of this process.
        """
        if isinstance(error, Timeout):
            error = ended_by_stop()
        if isinstance(error, TrestleError):
            self.code = error.code.code
            self.verdict = error.verdict

    def age_ms(self) -> int:
        """Return the milliseconds since arrival."""
        return round((monotonic() - self.started) * _MS_PER_SECOND)

    def summary(self) -> dict[str, Any]:
        """Return the record as plain data."""
        first = self.first_token
        return {
            'request_id': self.request_id,
            'caller': self.caller,
            'route': self.route,
            'verdict': self.verdict.value,
            'code': self.code,
            'dispatches': self.dispatches,
            'tokens': self.tokens,
            'first_token_ms': None
            if first is None
            else round((first - self.started) * _MS_PER_SECOND),
            'steps': self.steps,
        }


class RequestRecords:
    """The most recent records of this process."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with no records."""
        self.metrics = metrics
        self.recent: OrderedDict[str, RequestRecord] = OrderedDict()

    def begin(self, request_id: str, caller: str, route: str) -> RequestRecord:
        """Open the record of a request that has arrived."""
        record = RequestRecord(request_id, caller, route)
        self.recent[request_id] = record
        if len(self.recent) > MAX_RECORDS:
            self.recent.popitem(last=False)
        return record

    def finish(self, record: RequestRecord) -> None:
        """Write the log line and the metrics of a request that has ended."""
        self.metrics.count('requests', record.verdict.value)
        if record.code:
            self.metrics.count('refusals', record.code)
        self.metrics.observe_seconds('request', monotonic() - record.started)
        if record.first_token is not None:
            first = record.first_token - record.started
            self.metrics.observe_seconds('first_token', first)
        _log.bind(request=record.summary()).info(
            'Request {} of {} on {}: {} {} after {} ms, {} dispatches.',
            record.request_id,
            record.caller,
            record.route,
            record.verdict.value,
            record.code or 'ok',
            record.age_ms(),
            record.dispatches,
        )
