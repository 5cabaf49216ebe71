"""HTTP handler of service calls: `POST /services/NAME/OPERATION`.

A refusal of a keyed call is committed to the control state, because `not-run`
applies to the key and an earlier request with the key may have run. If the
register cannot be determined, as for an unknown route, the verdict is
`may-have-run`. A call without a key gets a new one, which the response
returns; no earlier request can have used it, so `not-run` holds directly.
"""

from contextlib import ExitStack
from time import monotonic
from typing import Final
from uuid import uuid4

from gevent import Timeout

from trestle_core.errorcodes import NOT_FOUND
from trestle_core.errors import TrestleError
from trestle_core.namedset import Operation, ServiceRoute
from trestle_core.texts import UNKNOWN_OPERATION
from trestle_core.verdict import Verdict
from trestle_entry.admission import admit, check_fresh
from trestle_entry.caller_requests import ServiceRequest
from trestle_entry.caller_watch import cancel_when_gone
from trestle_entry.claim_resolution import (
    ClaimedCall,
    ClaimedResult,
    build_claimed_call,
)
from trestle_entry.claimed_calls import refuse_key, run_claimed
from trestle_entry.entry_context import (
    EntryContext,
    current_named_set,
    service_route,
)
from trestle_entry.http_types import (
    IDEMPOTENCY_KEY_HEADER,
    JSON_TYPE,
    HttpRequest,
    HttpResponse,
    body_response,
    verdict_headers,
)
from trestle_entry.idempotent_calls import ServiceJob, run_idempotent
from trestle_entry.model_handlers import Handler
from trestle_entry.request_records import RequestRecord

_PATH_SEGMENTS: Final = 4
_MS_PER_SECOND: Final = 1000


def service_handler(context: EntryContext) -> Handler:
    """Return the handler of service calls."""

    def handle(http_request: HttpRequest) -> HttpResponse:
        request = _parse(http_request)
        record = context.records.begin(
            request.request_id, request.caller, request.route
        )
        try:
            response = _serve(context, http_request, request, record)
        except (TrestleError, Timeout) as error:
            record.note_failure(error)
            raise
        else:
            record.verdict = Verdict.RAN
            return response
        finally:
            context.records.finish(record)

    return handle


def _parse(http_request: HttpRequest) -> ServiceRequest:
    segments = http_request.path.split('/')
    if len(segments) != _PATH_SEGMENTS:
        raise TrestleError(
            NOT_FOUND, 'The path must be /services/NAME/OPERATION.'
        )
    return ServiceRequest(
        request_id=http_request.request_id,
        caller=http_request.caller,
        route=segments[2],
        operation=segments[3],
        key=http_request.headers.get(IDEMPOTENCY_KEY_HEADER, ''),
        body=http_request.body,
        arrived_at=monotonic(),
    )


def _serve(
    context: EntryContext,
    http_request: HttpRequest,
    request: ServiceRequest,
    record: RequestRecord,
) -> HttpResponse:
    has_key = bool(request.key)
    try:
        route = service_route(context, request.route)
        operation = _find_operation(context, route, request)
    except TrestleError as error:
        raise error.in_doubt() if has_key else error
    if not has_key:
        request = request._replace(key=uuid4().hex)
    job = _build_job(request, route, operation)
    if operation.idempotent:
        return _serve_idempotent(context, http_request, job, route, record)
    claimed = build_claimed_call(job, record)
    result = _serve_claimed(context, claimed, route, has_key=has_key)
    return _claimed_response(request, result)


def _find_operation(
    context: EntryContext,
    route: ServiceRoute,
    request: ServiceRequest,
) -> Operation:
    service = current_named_set(context).services[route.service]
    operation = service.operations.get(request.operation)
    if operation is None:
        text = UNKNOWN_OPERATION.format(
            service=route.service, operation=request.operation
        )
        raise TrestleError(NOT_FOUND, text)
    return operation


def _build_job(
    request: ServiceRequest,
    route: ServiceRoute,
    operation: Operation,
) -> ServiceJob:
    limit_ms = min(route.deadline_ms, operation.timeout_ms)
    return ServiceJob(
        request=request,
        service=route.service,
        finish_by=request.arrived_at + limit_ms / _MS_PER_SECOND,
        retry_percent=route.retry_percent,
        hedge_after_ms=route.hedge_after_ms,
    )


def _serve_idempotent(
    context: EntryContext,
    http_request: HttpRequest,
    job: ServiceJob,
    route: ServiceRoute,
    record: RequestRecord,
) -> HttpResponse:
    check_fresh(context)
    request = job.request
    admission = admit(
        context, request.caller, request.route, route.caller_concurrency
    )
    with admission, cancel_when_gone(http_request.socket):
        answer = run_idempotent(context, job, record)
    headers = verdict_headers(request.request_id, Verdict.RAN)
    return body_response(answer.status, answer.body, JSON_TYPE, *headers)


def _serve_claimed(
    context: EntryContext,
    call: ClaimedCall,
    route: ServiceRoute,
    *,
    has_key: bool,
) -> ClaimedResult:
    request = call.job.request
    admission = admit(
        context, request.caller, request.route, route.caller_concurrency
    )
    with ExitStack() as stack:
        try:
            check_fresh(context)
            stack.enter_context(admission)
        except TrestleError as error:
            if has_key:
                return refuse_key(context, call, error)
            raise
        return run_claimed(context, call)


def _claimed_response(
    request: ServiceRequest, result: ClaimedResult
) -> HttpResponse:
    headers = [
        *verdict_headers(request.request_id, Verdict.RAN),
        ('Idempotency-Key', request.key),
    ]
    if result.replayed:
        headers.append(('Idempotent-Replayed', 'true'))
    return body_response(result.status, result.body, JSON_TYPE, *headers)
