"""State of one request while it is dispatched, and the failures it implies.

The verdict depends on the runs: a back end that received the request and did
not decline it may have run it. Every failure of a request is created here, so
that none reports `not-run` after a run.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import monotonic
from typing import Final, TypeVar

from gevent import Timeout

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    CRASH_SUSPECT,
    DEADLINE_PASSED,
    NO_ENDPOINT,
    OVERLOADED,
    RETRY_BUDGET,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.crash_guard import content_trait
from trestle_entry.direct.crash_probe import probe_after_break
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.replies import (
    DEFAULT_RETRY_AFTER_SECONDS,
    RefusedError,
)
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import CallerRequest

# Sends of one request, including those that back ends declined.
_MAX_SENDS: Final = 4
# Back ends that one request may fail to connect to. No byte reaches them, so
# these are not sends.
_MAX_FAILED_CONNECTS: Final = 8
_MIN_TIMEOUT_SECONDS: Final = 0.001
_MS_PER_SECOND: Final = 1000

Sent = TypeVar('Sent')


class RequestRun:
    """Sends and runs of one request, and the back ends that it avoids."""

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
        self.failed_connects = 0
        self.runs = 0
        self.avoided: set[str] = set()
        # The back end at which a place is held for this request, or empty.
        self.held_at = ''

    @property
    def verdict(self) -> Verdict:
        """The verdict if the request failed now."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN

    @property
    def remaining_ms(self) -> float:
        """The time until the deadline, ms; negative after it."""
        return (self.request.deadline - monotonic()) * _MS_PER_SECOND

    @property
    def may_run_again(self) -> bool:
        """Whether one more run is allowed after an interrupted one."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts

    @property
    def may_try_another(self) -> bool:
        """Whether the request may go to another back end after a failure.

        If not, the caller gets the failed answer.
        """
        return (
            self.may_run_again
            and self.sends < _MAX_SENDS
            and self.context.allows_resend(self.service.name)
        )

    @property
    def part_traits(self) -> list[str]:
        """What the request shares with others, the least specific first."""
        return []

    def content_trait(self) -> str:
        """Return what the request shares with its repetitions."""
        request = self.request
        return content_trait(
            self.service.name, request.method, request.target, request.body
        )

    def traits(self) -> list[str]:
        """Return all under which crashes of back ends are counted."""
        return [*self.part_traits, self.content_trait()]

    def unusable(self) -> frozenset[str]:
        """Return the back ends that the request must not be sent to now."""
        full = self.context.loads.rate_limits.full() - {self.held_at}
        return frozenset(self.avoided | full)

    def hold_place(self, instance: str) -> None:
        """Count the request at a back end with a rate limit in advance.

        A place that it holds elsewhere is given back; an empty name holds none.
        """
        if instance == self.held_at:
            return
        rate_limits = self.context.loads.rate_limits
        if self.held_at:
            rate_limits.give_back(self.held_at)
        if instance:
            rate_limits.take(instance)
        self.held_at = instance

    def note_interrupted(self, instance: str, reason: str) -> None:
        """Record that a back end broke off its answer to this request."""
        context = self.context
        context.fleet.note_failed(instance, reason)
        context.crash_guard.note_interrupted(
            instance, self.content_trait(), self.part_traits
        )
        probe_after_break(context, instance)

    def note_served(self, instance: str) -> None:
        """Record a complete answer."""
        context = self.context
        context.fleet.note_served(instance)
        context.crash_guard.note_served(self.part_traits, self.content_trait)

    def note_not_sent(self, instance: str, error: NotSentError) -> None:
        """Record a back end that could not be reached.

        Raises `TrestleError` when too many could not.
        """
        self.trace.add('unreachable', f'{instance}: {error}')
        self.avoided.add(instance)
        self.context.note_unreachable(
            instance, str(error), is_refused=error.is_refused
        )
        self.context.crash_guard.note_down(instance)
        self.failed_connects += 1
        if self.failed_connects > _MAX_FAILED_CONNECTS:
            raise make_failure(
                self, NO_ENDPOINT, 'too many back ends cannot be reached'
            )


def make_failure(
    run: RequestRun,
    code: ErrorCode,
    text: str,
    retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
) -> TrestleError:
    """Return a refusal if nothing ran, else a failure of unknown outcome."""
    if run.runs:
        return TrestleError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
    return RefusedError(code, text, retry_after)


def make_no_backend_failure(run: RequestRun, text: str) -> TrestleError:
    """Return the failure without a back end, with a true time to retry.

    Back ends that have a rate limit take requests again at a known time.
    """
    context = run.context
    waits = [
        context.loads.rate_limits.wait_seconds(backend.instance)
        for backend in context.fleet.by_service.get(run.service.name, [])
    ]
    waits = [seconds for seconds in waits if seconds > 0]
    if not waits:
        return make_failure(run, NO_ENDPOINT, text)
    # Refused callers do not return together.
    seconds = min(waits) * (1 + context.random.random())
    return make_failure(
        run,
        OVERLOADED,
        f'{text}: {len(waits)} have reached their rate limits',
        max(DEFAULT_RETRY_AFTER_SECONDS, seconds),
    )


def check_not_blocked(run: RequestRun) -> None:
    """Raise `TrestleError` if back ends crash under such requests."""
    block = run.context.crash_guard.block_of(run.traits)
    if block is None:
        return
    run.trace.add('blocked', block.trait)
    raise make_failure(
        run,
        CRASH_SUSPECT,
        f'back ends crashed under requests with {block.trait}',
        block.until - monotonic(),
    )


def check_resend(run: RequestRun) -> None:
    """Count a resend; raises `TrestleError` if none is allowed."""
    if run.sends >= _MAX_SENDS:
        raise make_failure(run, RETRY_BUDGET, 'the limit of sends is reached')
    if not run.context.take_resend(run.service.name):
        raise make_failure(run, RETRY_BUDGET, 'the retry limits are reached')


def send_once(
    run: RequestRun, instance: str, send: Callable[[], Sent]
) -> Sent | None:
    """Send to one back end; return None if another one should be tried.

    Raises `TrestleError` if no resend is allowed or if the request may have
    run and must not run again, and the `Timeout` of the deadline.
    """
    check_not_blocked(run)
    is_resend = run.sends > 0
    if is_resend:
        check_resend(run)
    run.sends += 1
    run.hold_place(instance)
    # From here on the request counts as sent.
    run.held_at = ''
    try:
        return send()
    except NotSentError as error:
        run.sends -= 1
        run.context.loads.rate_limits.give_back(instance)
        if is_resend:
            run.context.return_resend(run.service.name)
        run.note_not_sent(instance, error)
    except BrokenAnswerError as error:
        run.runs += 1
        note_broken(run, instance, error)
        if not run.may_run_again:
            raise broken_answer_error(error) from error
    except Timeout:
        # The deadline passed while the back end may have run the request.
        run.runs += 1
        raise
    return None


def note_broken(
    run: RequestRun, instance: str, error: BrokenAnswerError
) -> None:
    """Record that the answer of a back end broke off."""
    run.trace.add('broken', f'{instance}: {error}')
    run.avoided.add(instance)
    run.note_interrupted(instance, str(error))


def broken_answer_error(error: BrokenAnswerError) -> TrestleError:
    """Return the failure of a request whose answer was truncated."""
    return TrestleError(ANSWER_INCOMPLETE, str(error), Verdict.MAY_HAVE_RUN)


@contextmanager
def within_deadline(run: RequestRun) -> Iterator[None]:
    """Raise `TrestleError` in the block when the caller's deadline passes."""
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
