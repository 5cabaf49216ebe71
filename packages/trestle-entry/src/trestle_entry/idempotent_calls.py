"""Runs idempotent service calls: retries within a budget, one hedge."""

from time import monotonic
from typing import Final, NamedTuple

from gevent import spawn
from gevent.queue import Empty, SimpleQueue

from trestle_core.errorcodes import DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.caller_requests import ServiceRequest
from trestle_entry.entry_context import EntryContext
from trestle_entry.permit_acquisition import PermitRequirements, acquire_permit
from trestle_entry.permit_requests import GrantedPermit
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


def service_permit_ask(job: ServiceJob) -> PermitAsk:
    """Return the permit request of a service call."""
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
    permit: GrantedPermit,
    *,
    claimed: bool,
) -> CallAnswer:
    """Send the call with its permit and return its answer.

    Raises `TrestleError` with the verdict of the failure.
    """
    context.metrics.count('endpoint_calls')
    remaining_seconds = max(0.0, job.finish_by - monotonic())
    body = DispatchCall(
        permit=permit.grant.permit,
        request_id=job.request.request_id,
        caller=job.request.caller,
        service=job.service,
        operation=job.request.operation,
        key=job.request.key,
        body=job.request.body,
        left_ms=max(1, int(remaining_seconds * _MS_PER_SECOND)),
        claimed=claimed,
    )
    link = context.links.link_to(permit.endpoint.address)
    answer = link.call(body, CallAnswer, remaining_seconds)
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
    """Run a call, with retries on other endpoints.

    Raises the last failure when the budget or the deadline is exhausted.
    """
    budget = context.budgets.for_route(job.request.route)
    budget.deposit(job.retry_percent)
    excluded_hosts: frozenset[str] = frozenset()
    while True:
        requirements = PermitRequirements(
            service_permit_ask(job), job.finish_by, excluded_hosts
        )
        permit = acquire_permit(context, requirements, record)
        try:
            return _run_hedged(context, job, permit, record)
        except TrestleError as error:
            excluded_hosts |= {permit.endpoint.host}
            record.note('failed', code=error.code.code)
            _spend_retry(context, job, error)


def _spend_retry(
    context: EntryContext,
    job: ServiceJob,
    error: TrestleError,
) -> None:
    """Take a retry from the budget; raise `error` if none is possible."""
    if monotonic() >= job.finish_by:
        raise error
    if not context.budgets.for_route(job.request.route).spend():
        raise error
    context.metrics.count('retries', error.code.code)


def _run_hedged(
    context: EntryContext,
    job: ServiceJob,
    permit: GrantedPermit,
    record: RequestRecord,
) -> CallAnswer:
    """Dispatch, and once more to another endpoint if the first is slow."""
    answers: SimpleQueue[CallAnswer | TrestleError] = SimpleQueue()
    _spawn_dispatch(context, job, permit, answers, record)
    pending = 1
    hedge_seconds = _hedge_seconds(job)
    while pending:
        answer = _next_answer(answers, job, hedge_seconds)
        if answer is None:
            hedge_seconds = None
            pending += _dispatch_hedge(context, job, permit, answers, record)
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
    """Return an answer or a failure; None when a hedge is due."""
    remaining_seconds = max(0.0, job.finish_by - monotonic())
    try:
        return answers.get(
            timeout=min(remaining_seconds, hedge_seconds or remaining_seconds)
        )
    except Empty:
        if hedge_seconds and monotonic() < job.finish_by:
            return None
        return TrestleError(DEADLINE_PASSED, verdict=Verdict.MAY_HAVE_RUN)


def _dispatch_hedge(
    context: EntryContext,
    job: ServiceJob,
    first: GrantedPermit,
    answers: SimpleQueue[CallAnswer | TrestleError],
    record: RequestRecord,
) -> int:
    if not context.budgets.for_route(job.request.route).spend():
        return 0
    excluded_hosts = frozenset((first.endpoint.host,))
    requirements = PermitRequirements(
        service_permit_ask(job), job.finish_by, excluded_hosts
    )
    permit = acquire_permit(context, requirements, record)
    context.metrics.count('retries', 'hedge')
    _spawn_dispatch(context, job, permit, answers, record)
    return 1


def _spawn_dispatch(
    context: EntryContext,
    job: ServiceJob,
    permit: GrantedPermit,
    answers: SimpleQueue[CallAnswer | TrestleError],
    record: RequestRecord,
) -> None:
    record.note('dispatch', endpoint=permit.endpoint.host)
    record.dispatches += 1

    def run() -> None:
        try:
            answers.put(dispatch_call(context, job, permit, claimed=False))
        except TrestleError as error:
            answers.put(error)

    spawn(run)
