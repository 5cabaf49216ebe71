"""Finds the customer of a request by its key.

A key that this entry does not know may be newer than its routes, so these are
confirmed before it is denied (see `newest_routes`).
"""

from trestle_core.customers import Customer, CustomerTable
from trestle_core.errorcodes import UNKNOWN_KEY
from trestle_core.errors import TrestleError
from trestle_core.route_table import Route
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.newest_routes import KEY, check_confirmed
from trestle_entry.direct.wire_types import CallerRequest


def find_customer(
    context: DirectContext,
    customers: CustomerTable,
    route: Route,
    request: CallerRequest,
) -> Customer | None:
    """Return the customer of a request, None for a public route without one.

    Raises `TrestleError` with `unknown-key` if it has no key of a customer,
    and `UnconfirmedError` if newer routes may know its key.
    """
    customer = customers.find(request.key)
    if customer or route.is_public:
        return customer
    if request.key.digest:
        check_confirmed(context, request, KEY)
    context.metrics.count('denied_keys', request.key.flaw)
    raise TrestleError(UNKNOWN_KEY, f'the key is {request.key.flaw}')


def with_customer(
    context: DirectContext, request: CallerRequest, customer: Customer | None
) -> CallerRequest:
    """Return the request as back ends get it: without its caller's key."""
    headers = context.caller_wire.without_credentials(request.forwarded_headers)
    return request._replace(forwarded_headers=headers, customer=customer)
