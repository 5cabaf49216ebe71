"""Handles one request: parse, route, dispatch, answer, and log one line."""

from collections.abc import Callable
from time import monotonic
from typing import Any, Final, NamedTuple

from trestle_core.customers import Customer
from trestle_core.errorcodes import (
    INTERNAL,
    OVERLOADED,
    STALE_NODE,
    UNKNOWN_ROUTE,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.route_table import Repeat, Route, RouteTable, pick_share
from trestle_core.verdict import Verdict
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.direct.customer_check import (
    find_customer,
    with_customer,
)
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.engine_answers import serve_whole
from trestle_entry.direct.newest_routes import (
    PATH,
    UnconfirmedError,
    check_confirmed,
    wait_for_newest_routes,
)
from trestle_entry.direct.plain_dispatch import serve_plain
from trestle_entry.direct.replies import (
    DirectReply,
    RefusedError,
    error_answer,
)
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.stream_relay import serve_stream
from trestle_entry.direct.take_ups import find_origin, is_take_up
from trestle_entry.direct.wire_types import CallerRequest, Headers

_MS_PER_SECOND: Final = 1000
# Logged for routes that were never confirmed.
_MAX_LOGGED_AGE_MS: Final = 1_000_000

_log = part_logger('entry')


class IncomingRequest(NamedTuple):
    """A request whose head has been read; `read_body` reads the body."""

    method: str
    target: str
    headers: Headers
    socket: Any
    read_body: Callable[[], bytes]


def serve(context: DirectContext, incoming: IncomingRequest) -> DirectReply:
    """Return the answer to a request; failures become error answers.

    Raises `CallerGoneError` if the caller has disconnected.
    """
    trace = RequestTrace('', monotonic())
    try:
        reply = _serve(context, incoming, trace)
    except CallerGoneError as error:
        context.log.write(trace, error.code.code, error.verdict.value)
        raise
    except TrestleError as error:
        trace.fields['reason'] = error.message
        context.log.write(trace, error.code.code, error.verdict.value)
        return error_answer(context.caller_wire, trace.request_id, error)
    except Exception:
        _log.exception('Request {} failed unexpectedly.', trace.request_id)
        failure = TrestleError(INTERNAL, verdict=Verdict.MAY_HAVE_RUN)
        context.log.write(trace, failure.code.code, failure.verdict.value)
        return error_answer(context.caller_wire, trace.request_id, failure)
    if not reply.logs_on_close:
        context.log.write(trace, str(reply.status), Verdict.RAN.value)
    return reply


def _serve(
    context: DirectContext, incoming: IncomingRequest, trace: RequestTrace
) -> DirectReply:
    body = incoming.read_body()
    request = context.caller_wire.read_request(
        incoming.method,
        incoming.target,
        incoming.headers,
        body,
        incoming.socket,
    )
    trace.request_id = request.request_id
    request, route_match = _match(context, request, trace)
    route_deadline = (
        request.arrived_at + route_match.route.timeout_ms / _MS_PER_SECOND
    )
    request = request._replace(deadline=min(request.deadline, route_deadline))
    context.planned_stop.check(route_match.route, request.deadline)
    context.limits_for(route_match.service.name).note_request()
    with cancel_when_gone(incoming.socket):
        return _dispatch(context, request, route_match, trace)


def _dispatch(
    context: DirectContext,
    request: CallerRequest,
    route_match: RouteMatch,
    trace: RequestTrace,
) -> DirectReply:
    serve_by_kind = _serve_by_kind(route_match)
    try:
        return serve_by_kind(context, request, route_match, trace)
    except TrestleError as error:
        if error.code == OVERLOADED and request.customer:
            _note_refused(context, request.customer)
        raise


def _serve_by_kind(
    route_match: RouteMatch,
) -> Callable[
    [DirectContext, CallerRequest, RouteMatch, RequestTrace], DirectReply
]:
    """Return what serves a request.

    The route tells what an answer is, the service what its back ends are.
    """
    if route_match.route.repeat is Repeat.STREAM:
        return serve_stream
    return serve_whole if route_match.service.engine else serve_plain


def _note_refused(context: DirectContext, customer: Customer) -> None:
    context.metrics.count('customer_refusals', customer.name)
    context.loads.usage.note_refused(customer.name)


def _match(
    context: DirectContext, request: CallerRequest, trace: RequestTrace
) -> tuple[CallerRequest, RouteMatch]:
    """Return the request with its customer, and where it goes."""
    try:
        return _match_now(context, request, trace)
    except UnconfirmedError as error:
        wait_for_newest_routes(context, request, error.what)
    return _match_now(context, request, trace)


def _match_now(
    context: DirectContext, request: CallerRequest, trace: RequestTrace
) -> tuple[CallerRequest, RouteMatch]:
    table = _table(context, request)
    age_ms = context.list_age_seconds() * _MS_PER_SECOND
    trace.fields['routes_age_ms'] = round(min(age_ms, _MAX_LOGGED_AGE_MS))
    route = _find_route(context, table, request, trace)
    if table.customers is not None:
        customer = find_customer(context, table.customers, route, request)
        if customer:
            trace.fields['customer'] = customer.name
        request = with_customer(context, request, customer)
    return request, _choose_service(context, table, route, request, trace)


def _table(context: DirectContext, request: CallerRequest) -> RouteTable:
    """Return the table in force.

    An entry that just starts waits for it, and for the loads: without them all
    entries that start together would send to the same engines.
    """
    until = min(context.starts_until, request.deadline)
    for known in (context.has_table, context.has_loads):
        known.wait(max(0.0, until - monotonic()))
    if context.table is None:
        raise RefusedError(STALE_NODE, 'no route table has been received yet')
    return context.table


def _find_route(
    context: DirectContext,
    table: RouteTable,
    request: CallerRequest,
    trace: RequestTrace,
) -> Route:
    """Return the route of a request.

    Raises `TrestleError` with `unknown-route` if its path has none, and
    `UnconfirmedError` if newer routes may have one.
    """
    path = request.target.partition('?')[0]
    route = table.find(request.host, path)
    trace.fields['version'] = table.version
    if route is None:
        check_confirmed(context, request, PATH)
        raise TrestleError(UNKNOWN_ROUTE, f'no route at {path}')
    trace.fields['route'] = route.name
    trace.fields['target_ms'] = route.target_ms
    trace.fields['gap_ms'] = route.gap_ms
    return route


def _choose_service(
    context: DirectContext,
    table: RouteTable,
    route: Route,
    request: CallerRequest,
    trace: RequestTrace,
) -> RouteMatch:
    if is_take_up(request, route):
        origin = find_origin(context, request, route, trace)
        service = table.services[origin.service]
        return RouteMatch(route, service, origin.software)
    service = table.services[pick_share(route, context.random.random())]
    return RouteMatch(route, service)
