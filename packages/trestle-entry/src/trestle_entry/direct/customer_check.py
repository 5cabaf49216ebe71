"""Finds the customer of a request by its key.

A key that this entry does not know may be newer than its routes. So it is
denied only when the routes are confirmed to have been the newest ones after
the request arrived. The confirmations come anyway, one for all that wait, so
made-up keys cost no message; how many wait is bounded.
"""

from time import monotonic
from typing import Final

from trestle_core.customers import Customer, CustomerTable
from trestle_core.errorcodes import STALE_NODE, UNKNOWN_KEY
from trestle_core.errors import TrestleError
from trestle_core.route_table import Route
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.wire_types import CallerRequest

# Twice the time between two confirmations of an entry in step.
_CONFIRM_SECONDS: Final = 1.0
_MAX_WAITING: Final = 256
_RETRY_SECONDS: Final = 0.5


class UnconfirmedKeyError(Exception):
    """A key is not known to routes that may not be the newest ones."""


def find_customer(
    context: DirectContext,
    customers: CustomerTable,
    route: Route,
    request: CallerRequest,
) -> Customer | None:
    """Return the customer of a request, None for a public route without one.

    Raises `TrestleError` with `unknown-key` if it has no key of a customer,
    and `UnconfirmedKeyError` if newer routes may know its key.
    """
    customer = customers.find(request.key)
    if customer or route.is_public:
        return customer
    has_key = bool(request.key.digest)
    if has_key and not _is_confirmed_since(context, request.arrived_at):
        raise UnconfirmedKeyError
    context.metrics.count('denied_keys', request.key.flaw)
    raise TrestleError(UNKNOWN_KEY, f'the key is {request.key.flaw}')


def wait_for_newest_routes(
    context: DirectContext, request: CallerRequest
) -> None:
    """Wait until the routes are as new as a request.

    Raises `RefusedError` if that takes too long.
    """
    until = min(monotonic() + _CONFIRM_SECONDS, request.deadline)
    if context.waiting_for_routes >= _MAX_WAITING:
        raise _unconfirmed(context, 'too many wait')
    context.waiting_for_routes += 1
    try:
        while not _is_confirmed_since(context, request.arrived_at):
            if monotonic() >= until:
                raise _unconfirmed(context, 'no confirmation in time')
            context.routes_confirmed.wait(until - monotonic())
    finally:
        context.waiting_for_routes -= 1


def with_customer(
    context: DirectContext, request: CallerRequest, customer: Customer | None
) -> CallerRequest:
    """Return the request as back ends get it: without its caller's key."""
    headers = context.caller_wire.without_credentials(request.forwarded_headers)
    return request._replace(forwarded_headers=headers, customer=customer)


def _is_confirmed_since(context: DirectContext, since: float) -> bool:
    return monotonic() - context.list_age_seconds() >= since


def _unconfirmed(context: DirectContext, reason: str) -> RefusedError:
    context.metrics.count('denied_keys', 'unconfirmed')
    return RefusedError(
        STALE_NODE,
        f'the key may be newer than the routes of this entry: {reason}',
        _RETRY_SECONDS,
    )
