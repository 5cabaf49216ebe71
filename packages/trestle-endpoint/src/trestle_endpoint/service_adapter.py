"""The interface of a plain service, and its implementation over HTTP.

`ServiceAdapter` is a tuple of functions, so that supporting another interface
takes only another function that returns such a tuple. The outcome of a call
says whether it may have run, which decides whether it may be repeated.
"""

from collections.abc import Callable
from typing import Final, NamedTuple
from urllib.parse import quote

from trestle_core.verdict import Verdict
from trestle_links.claim_messages import Outcome
from trestle_links.http_exchange import (
    ConnectFailedError,
    ExchangeBrokenError,
    HttpRequest,
    ResolveAddress,
    fetch,
)

_PROBE_TIMEOUT_SECONDS: Final = 2
_OK: Final = 200


class ServiceCall(NamedTuple):
    """One call of an operation; the body is JSON."""

    operation: str
    key: str
    caller: str
    request_id: str
    body: bytes
    timeout_seconds: float


class ServiceAdapter(NamedTuple):
    """The operations of a plain service; none of them raises."""

    run: Callable[[ServiceCall], Outcome]
    is_up: Callable[[], bool]


def service_over_http(resolve: ResolveAddress) -> ServiceAdapter:
    """Return an adapter for the service at an address."""

    def run(call: ServiceCall) -> Outcome:
        request = _request_from(call)
        try:
            reply = fetch(resolve, request, call.timeout_seconds)
        except ConnectFailedError:
            return Outcome(Verdict.NOT_RUN, 0, b'')
        except ExchangeBrokenError:
            return Outcome(Verdict.MAY_HAVE_RUN, 0, b'')
        return Outcome(Verdict.RAN, reply.status, reply.body)

    def is_up() -> bool:
        try:
            reply = fetch(
                resolve, HttpRequest('GET', '/healthz'), _PROBE_TIMEOUT_SECONDS
            )
        except OSError:
            return False
        return reply.status == _OK

    return ServiceAdapter(run, is_up)


def _request_from(call: ServiceCall) -> HttpRequest:
    headers = (
        ('Content-Type', 'application/json'),
        ('Idempotency-Key', _header_text(call.key)),
        ('Caller', _header_text(call.caller)),
        ('Request-Id', _header_text(call.request_id)),
    )
    path = f'/operations/{quote(call.operation, safe="")}'
    return HttpRequest('POST', path, call.body, headers)


def _header_text(text: str) -> str:
    # A line break in a value must not start another header.
    return ''.join(character for character in text if character.isprintable())
