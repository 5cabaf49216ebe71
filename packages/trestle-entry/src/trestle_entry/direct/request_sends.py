"""Sends a request to one back end at a time, as far as the limits allow.

Before each send the request is checked against what is known of its like, of
the back ends' rate limits and of the fleet's retry limits.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from time import monotonic
from typing import Final, TypeVar

from gevent import Timeout

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    CRASH_SUSPECT,
    DEADLINE_PASSED,
    DRAINING,
    NO_ENDPOINT,
    OVERLOADED,
    RETRY_BUDGET,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.replies import DEFAULT_RETRY_AFTER_SECONDS
from trestle_entry.direct.request_run import (
    MAX_SENDS,
    RequestRun,
    make_failure,
)

_MIN_TIMEOUT_SECONDS: Final = 0.001
# Longest time over which refused callers are spread.
_MAX_SPREAD_SECONDS: Final = 4.0

Sent = TypeVar('Sent')


def make_no_backend_failure(run: RequestRun, text: str) -> TrestleError:
    """Return the failure without a back end, with a true time to retry.

    Back ends that rest or have a rate limit take requests again at a known time.
    """
    context = run.context
    fleet = context.fleet
    waits = [
        max(
            fleet.resting.seconds(backend.instance),
            context.loads.rate_limits.wait_seconds(backend.instance),
        )
        for backend in fleet.by_service.get(run.service.name, [])
        if backend.instance not in fleet.leaving
    ]
    if not waits or min(waits) <= 0:
        # One that was tried in vain, or none at all.
        return make_failure(run, NO_ENDPOINT, text)
    # Refused callers do not return together.
    spread = min(min(waits), _MAX_SPREAD_SECONDS)
    seconds = min(waits) + spread * context.random.random()
    return make_failure(
        run,
        OVERLOADED,
        f'{text}: {len(waits)} take none at present',
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


def begin_arrival(run: RequestRun) -> None:
    """Count a call to a back end before it is sent.

    Raises `TrestleError` if the retry limits do not allow it.
    """
    run.arrivals.begin(partial(_take_resend, run))


def cancel_arrival(run: RequestRun) -> None:
    """Take back a call that reached no back end."""
    run.arrivals.cancel(partial(_return_resend, run))


def note_prefilled(run: RequestRun) -> None:
    """Take back the first prefill call that an engine has accepted."""
    run.arrivals.note_prefilled(partial(_return_resend, run))


def _take_resend(run: RequestRun) -> None:
    if run.sends >= MAX_SENDS:
        raise make_failure(run, RETRY_BUDGET, 'the limit of sends is reached')
    context = run.context
    service = run.service.name
    if not context.take_resend(service):
        run.trace.fields['resend_limits'] = context.describe_limits(service)
        raise make_failure(run, RETRY_BUDGET, 'the retry limits are reached')


def _return_resend(run: RequestRun) -> None:
    run.context.return_resend(run.service.name)


def send_once(
    run: RequestRun, instance: str, send: Callable[[], Sent]
) -> Sent | None:
    """Send to one back end; return None if another one should be tried.

    Raises `TrestleError` if no resend is allowed or if the request may have
    run and must not run again, and the `Timeout` of the deadline.
    """
    check_not_blocked(run)
    begin_arrival(run)
    run.sends += 1
    run.hold_place(instance)
    # From here on the request counts as sent.
    run.held_at = ''
    try:
        return send()
    except NotSentError as error:
        run.sends -= 1
        run.context.loads.rate_limits.give_back(instance)
        cancel_arrival(run)
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
    """Raise `TrestleError` in the block when the caller's deadline passes.

    Also when a planned stop of this entry ends what still runs.
    """
    planned_stop = run.context.planned_stop
    seconds = max(_MIN_TIMEOUT_SECONDS, run.request.deadline - monotonic())
    try:
        with planned_stop.bounded(seconds) as limit:
            yield
    except Timeout as error:
        if error is not limit:
            raise
        if planned_stop.is_over and run.remaining_ms > 0:
            raise _ended_by_stop(run) from error
        raise TrestleError(DEADLINE_PASSED, verdict=run.verdict) from error


def _ended_by_stop(run: RequestRun) -> TrestleError:
    run.trace.add('ended', 'this entry stops')
    run.context.metrics.count('requests_ended_by_stop', run.verdict.value)
    return make_failure(run, DRAINING, 'this entry stops before the answer')
