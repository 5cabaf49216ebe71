"""State of one request while it is dispatched, and what follows from it.

The verdict rests on the runs: a back end that took the request and did not
decline it may have run it. Every failure of a request is made here, so that
none says `not-run` after a run.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import monotonic
from typing import Final, TypeVar

from gevent import Timeout

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    DEADLINE_PASSED,
    RETRY_BUDGET,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import CallerRequest

# Sends of one request, those that back ends declined included.
_MAX_SENDS: Final = 4
_MIN_TIMEOUT_SECONDS: Final = 0.001
_MS_PER_SECOND: Final = 1000

Sent = TypeVar('Sent')


class RequestRun:
    """Sends and runs of one request, and the back ends it keeps away from."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        route_match: RouteMatch,
        trace: RequestTrace,
    ) -> None:
        """Start with no send."""
        self.context = context
        self.request = request
        self.route = route_match.route
        self.service = route_match.service
        self.trace = trace
        self.sends = 0
        self.runs = 0
        self.avoided: set[str] = set()

    @property
    def verdict(self) -> Verdict:
        """Whether any send may have run."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN

    @property
    def remaining_ms(self) -> float:
        """Time until the deadline, ms."""
        return (self.request.deadline - monotonic()) * _MS_PER_SECOND

    @property
    def may_run_again(self) -> bool:
        """Tell whether one more run is allowed after one that broke off."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts

    @property
    def may_try_another(self) -> bool:
        """Tell whether a failed answer may be tried for elsewhere.

        Where not, the caller gets the answer that there is.
        """
        return (
            self.may_run_again
            and self.sends < _MAX_SENDS
            and self.context.allows_resend(self.service.name)
        )

    def note_interrupted(self, instance: str, reason: str) -> None:
        """Note that a back end broke off under this request."""
        self.context.fleet.note_failed(instance, reason)


def make_failure(run: RequestRun, code: ErrorCode, text: str) -> TrestleError:
    """Return a refusal if nothing ran, or else a failure in doubt."""
    if run.runs:
        return TrestleError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
    return RefusedError(code, text)


def check_resend(run: RequestRun) -> None:
    """Count a further send; raises `TrestleError` when none is allowed."""
    if run.sends >= _MAX_SENDS:
        raise make_failure(run, RETRY_BUDGET, 'no send is left')
    if not run.context.take_resend(run.service.name):
        raise make_failure(run, RETRY_BUDGET, 'the retry limits are reached')


def send_once(
    run: RequestRun, instance: str, send: Callable[[], Sent]
) -> Sent | None:
    """Send to one back end; None when another one is to be tried.

    Raises `TrestleError` when no send is left or what may have run must not
    run again, and the `Timeout` of the deadline.
    """
    if run.sends:
        check_resend(run)
    run.sends += 1
    try:
        return send()
    except NotSentError as error:
        run.trace.add('unreachable', f'{instance}: {error}')
        run.avoided.add(instance)
        run.context.fleet.note_unreachable(instance, str(error))
    except BrokenAnswerError as error:
        run.runs += 1
        note_broken(run, instance, error)
        if not run.may_run_again:
            raise broken_answer_error(error) from error
    except Timeout:
        # The deadline: the back end had the request and may have run it.
        run.runs += 1
        raise
    return None


def note_broken(
    run: RequestRun, instance: str, error: BrokenAnswerError
) -> None:
    """Note that the answer of a back end broke off."""
    run.trace.add('broken', f'{instance}: {error}')
    run.avoided.add(instance)
    run.note_interrupted(instance, str(error))


def broken_answer_error(error: BrokenAnswerError) -> TrestleError:
    """Return the failure of a request whose only answer broke off."""
    return TrestleError(ANSWER_INCOMPLETE, str(error), Verdict.MAY_HAVE_RUN)


@contextmanager
def within_deadline(run: RequestRun) -> Iterator[None]:
    """Raise `TrestleError` in the block when the caller's time is over."""
    limit = Timeout(
        max(_MIN_TIMEOUT_SECONDS, run.request.deadline - monotonic())
    )
    try:
        with limit:
            yield
    except Timeout as error:
        if error is not limit:
            raise
        raise TrestleError(DEADLINE_PASSED, verdict=run.verdict) from error
