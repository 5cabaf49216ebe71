"""Service calls that may be repeated: retries within a budget, one hedge."""

from time import monotonic
from typing import Final, NamedTuple

from gevent import spawn
from gevent.queue import Empty, SimpleQueue

from trestle_core.errorcodes import DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.caller_requests import ServiceRequest
from trestle_entry.entry_context import EntryContext
from trestle_entry.permit_asks import Place
from trestle_entry.places import PlaceNeed, obtain_place
from trestle_entry.request_records import RequestRecord
from trestle_links.answer_messages import CallAnswer, DispatchCall
from trestle_links.permit_messages import PermitAsk

_MS_PER_SECOND: Final = 1000


class ServiceJob(NamedTuple):
    """A service call with its limits; `finish_by` is monotonic seconds."""

    request: ServiceRequest
    service: str
    finish_by: float
    retry_percent: int
    hedge_after_ms: int


def service_ask(job: ServiceJob) -> PermitAsk:
    """Return the permit ask of a service call."""
    return PermitAsk(
        request_id=job.request.request_id,
        caller=job.request.caller,
        route=job.request.route,
        target=job.service,
        priority=0,
        prompt_tokens=0,
        output_tokens=0,
        pieces=[],
        left_ms=0,
        set_version=0,
    )


def dispatch_call(
    context: EntryContext,
    job: ServiceJob,
    place: Place,
    *,
    claimed: bool,
) -> CallAnswer:
    """Send the call with its permit and return its answer.

    Raises `TrestleError` with the verdict of the failure.
    """
    context.metrics.count('endpoint_calls')
    left = max(0.0, job.finish_by - monotonic())
    body = DispatchCall(
        permit=place.grant.permit,
        request_id=job.request.request_id,
        caller=job.request.caller,
        service=job.service,
        operation=job.request.operation,
        key=job.request.key,
        body=job.request.body,
        left_ms=max(1, int(left * _MS_PER_SECOND)),
        claimed=claimed,
    )
    link = context.links.link_to(place.endpoint.address)
    answer = link.call(body, CallAnswer, left)
    if answer.request_id != job.request.request_id:
        context.metrics.count('answer_mismatches')
        raise TrestleError(DEADLINE_PASSED, verdict=Verdict.MAY_HAVE_RUN)
    if answer.code:
        raise TrestleError.from_wire(answer.code, '', answer.verdict)
    return answer


def run_idempotent(
    context: EntryContext,
    job: ServiceJob,
    record: RequestRecord,
) -> CallAnswer:
    """Run a call that may be repeated.

    Raises the last failure when the budget or the deadline ends.
    """
    budget = context.budgets.of(job.request.route)
    budget.deposit(job.retry_percent)
    avoid: frozenset[str] = frozenset()
    while True:
        need = PlaceNeed(service_ask(job), job.finish_by, avoid)
        place = obtain_place(context, need, record)
        try:
            return _run_hedged(context, job, place, record)
        except TrestleError as error:
            avoid |= {place.endpoint.host}
            record.note('failed', code=error.code.code)
            _check_retry(context, job, error)


def _check_retry(
    context: EntryContext,
    job: ServiceJob,
    error: TrestleError,
) -> None:
    if monotonic() >= job.finish_by:
        raise error
    if not context.budgets.of(job.request.route).spend():
        raise error
    context.metrics.count('retries', error.code.code)


def _run_hedged(
    context: EntryContext,
    job: ServiceJob,
    place: Place,
    record: RequestRecord,
) -> CallAnswer:
    """Dispatch, and once more elsewhere when the first is slow."""
    answers: SimpleQueue[CallAnswer | TrestleError] = SimpleQueue()
    _spawn_dispatch(context, job, place, answers, record)
    pending = 1
    hedge = _hedge_seconds(job)
    while pending:
        answer = _next_answer(answers, job, hedge)
        if answer is None:
            hedge = None
            pending += _hedge(context, job, place, answers, record)
            continue
        pending -= 1
        if isinstance(answer, CallAnswer):
            return answer
    assert isinstance(answer, TrestleError)
    raise answer


def _hedge_seconds(job: ServiceJob) -> float | None:
    return job.hedge_after_ms / _MS_PER_SECOND if job.hedge_after_ms else None


def _next_answer(
    answers: SimpleQueue[CallAnswer | TrestleError],
    job: ServiceJob,
    hedge_seconds: float | None,
) -> CallAnswer | TrestleError | None:
    """Return an answer, a failure, or None when it is time to hedge."""
    left = max(0.0, job.finish_by - monotonic())
    try:
        return answers.get(timeout=min(left, hedge_seconds or left))
    except Empty:
        if hedge_seconds and monotonic() < job.finish_by:
            return None
        return TrestleError(DEADLINE_PASSED, verdict=Verdict.MAY_HAVE_RUN)


def _hedge(
    context: EntryContext,
    job: ServiceJob,
    first: Place,
    answers: SimpleQueue[CallAnswer | TrestleError],
    record: RequestRecord,
) -> int:
    if not context.budgets.of(job.request.route).spend():
        return 0
    avoid = frozenset((first.endpoint.host,))
    need = PlaceNeed(service_ask(job), job.finish_by, avoid)
    place = obtain_place(context, need, record)
    context.metrics.count('retries', 'hedge')
    _spawn_dispatch(context, job, place, answers, record)
    return 1


def _spawn_dispatch(
    context: EntryContext,
    job: ServiceJob,
    place: Place,
    answers: SimpleQueue[CallAnswer | TrestleError],
    record: RequestRecord,
) -> None:
    record.note('dispatch', endpoint=place.endpoint.host)
    record.dispatches += 1

    def run() -> None:
        try:
            answers.put(dispatch_call(context, job, place, claimed=False))
        except TrestleError as error:
            answers.put(error)

    spawn(run)
