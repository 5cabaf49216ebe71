"""HTTP page of service calls: `POST /services/NAME/OPERATION`.

A keyed call that is refused before its attempt is refused through the
control state, because `not-run` is a statement about its key and an earlier
send may have run. Where its register is not known, as for a route that is not
in the set, the refusal says `may-have-run`. A call without a key gets a new one, returned in the
answer, so that a plain refusal is true of it.
"""

from contextlib import ExitStack
from time import monotonic
from typing import Final
from uuid import uuid4

from trestle_core.errorcodes import NOT_FOUND
from trestle_core.errors import TrestleError
from trestle_core.namedset import Operation, ServiceRoute
from trestle_core.texts import UNKNOWN_OPERATION
from trestle_core.verdict import Verdict
from trestle_entry.admission import admitted, check_fresh
from trestle_entry.caller_requests import ServiceRequest
from trestle_entry.caller_watch import cancel_when_gone
from trestle_entry.claim_following import (
    ClaimedCall,
    ClaimedResult,
    claimed_call,
)
from trestle_entry.claimed_calls import refuse_key, run_claimed
from trestle_entry.entry_context import (
    EntryContext,
    named_set_of,
    service_route,
)
from trestle_entry.http_types import (
    JSON_TYPE,
    KEY_HEADER,
    HttpCall,
    HttpReply,
    body_reply,
    verdict_headers,
)
from trestle_entry.idempotent_calls import ServiceJob, run_idempotent
from trestle_entry.model_pages import Page
from trestle_entry.request_records import RequestRecord

_PATH_PARTS: Final = 4
_MS_PER_SECOND: Final = 1000


def service_page(context: EntryContext) -> Page:
    """Return the page of service calls."""

    def page(call: HttpCall) -> HttpReply:
        request = _parse(call)
        record = context.records.begin(
            request.request_id, request.caller, request.route
        )
        try:
            reply = _serve(context, call, request, record)
        except TrestleError as error:
            record.code = error.code.code
            record.verdict = error.verdict
            raise
        else:
            record.verdict = Verdict.RAN
            return reply
        finally:
            context.records.finish(record)

    return page


def _parse(call: HttpCall) -> ServiceRequest:
    parts = call.path.split('/')
    if len(parts) != _PATH_PARTS:
        raise TrestleError(NOT_FOUND, 'Use /services/NAME/OPERATION.')
    return ServiceRequest(
        request_id=call.request_id,
        caller=call.caller,
        route=parts[2],
        operation=parts[3],
        key=call.headers.get(KEY_HEADER, ''),
        body=call.body,
        arrived=monotonic(),
    )


def _serve(
    context: EntryContext,
    call: HttpCall,
    request: ServiceRequest,
    record: RequestRecord,
) -> HttpReply:
    keyed = bool(request.key)
    try:
        route = service_route(context, request.route)
        operation = _operation(context, route, request)
    except TrestleError as error:
        raise error.in_doubt() if keyed else error
    if not keyed:
        request = request._replace(key=uuid4().hex)
    job = _job(request, route, operation)
    if operation.idempotent:
        return _serve_idempotent(context, call, job, route, record)
    claimed = claimed_call(job, record)
    result = _serve_claimed(context, claimed, route, keyed=keyed)
    return _claimed_reply(request, result)


def _operation(
    context: EntryContext,
    route: ServiceRoute,
    request: ServiceRequest,
) -> Operation:
    service = named_set_of(context).services[route.service]
    operation = service.operations.get(request.operation)
    if operation is None:
        text = UNKNOWN_OPERATION.format(
            service=route.service, operation=request.operation
        )
        raise TrestleError(NOT_FOUND, text)
    return operation


def _job(
    request: ServiceRequest,
    route: ServiceRoute,
    operation: Operation,
) -> ServiceJob:
    limit_ms = min(route.deadline_ms, operation.timeout_ms)
    return ServiceJob(
        request=request,
        service=route.service,
        finish_by=request.arrived + limit_ms / _MS_PER_SECOND,
        retry_percent=route.retry_percent,
        hedge_after_ms=route.hedge_after_ms,
    )


def _serve_idempotent(
    context: EntryContext,
    call: HttpCall,
    job: ServiceJob,
    route: ServiceRoute,
    record: RequestRecord,
) -> HttpReply:
    check_fresh(context)
    request = job.request
    slot = admitted(
        context, request.caller, request.route, route.caller_concurrency
    )
    with slot, cancel_when_gone(call.socket):
        answer = run_idempotent(context, job, record)
    headers = verdict_headers(request.request_id, Verdict.RAN)
    return body_reply(answer.status, answer.body, JSON_TYPE, *headers)


def _serve_claimed(
    context: EntryContext,
    call: ClaimedCall,
    route: ServiceRoute,
    *,
    keyed: bool,
) -> ClaimedResult:
    request = call.job.request
    slot = admitted(
        context, request.caller, request.route, route.caller_concurrency
    )
    with ExitStack() as stack:
        try:
            check_fresh(context)
            stack.enter_context(slot)
        except TrestleError as error:
            if keyed:
                return refuse_key(context, call, error)
            raise
        return run_claimed(context, call)


def _claimed_reply(request: ServiceRequest, result: ClaimedResult) -> HttpReply:
    headers = [
        *verdict_headers(request.request_id, Verdict.RAN),
        ('Idempotency-Key', request.key),
    ]
    if result.replayed:
        headers.append(('Idempotent-Replayed', 'true'))
    return body_reply(result.status, result.body, JSON_TYPE, *headers)
