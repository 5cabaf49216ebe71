"""The engine interface over HTTP, see docs/design/outside-interfaces.md.

`engine_events` reads the tokens of a stream.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final

from msgspec import DecodeError, Struct
from msgspec.json import decode, encode

from trestle_core.errorcodes import ENGINE_CRASHED, ENGINE_REFUSED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_endpoint.engine_events import token_batches
from trestle_endpoint.engine_interface import (
    CacheEvents,
    EngineAdapter,
    EngineCompletion,
    EngineLoad,
    EngineOrder,
    EngineState,
    EngineStream,
    EngineToken,
)
from trestle_links.http_exchange import (
    ConnectFailedError,
    ExchangeBrokenError,
    HttpExchange,
    HttpReply,
    HttpRequest,
    ResolveAddress,
    fetch,
)

_ADMIN_TIMEOUT_SECONDS: Final = 2
_KV_IMPORT_TIMEOUT_SECONDS: Final = 10
_OK: Final = 200
_ACCEPTED: Final = 202
_SERVER_ERROR: Final = 500
_UNAVAILABLE: Final = 503


class _Refusal(Struct):
    code: str = 'refused'


class _Ticket(Struct):
    ticket: str


def engine_over_http(resolve: ResolveAddress) -> EngineAdapter:
    """Return an adapter for the engine at an address."""

    def call(
        path: str, body: Any, timeout_seconds: float = _ADMIN_TIMEOUT_SECONDS
    ) -> HttpReply:
        request = HttpRequest('POST', path, encode(body))
        return fetch(resolve, request, timeout_seconds)

    def read(path: str, expected: type[Any]) -> Any:
        reply = fetch(resolve, HttpRequest('GET', path), _ADMIN_TIMEOUT_SECONDS)
        return _decode_reply(reply, expected)

    def send_order(order: EngineOrder, may_send: Callable[[], bool]) -> str:
        body = encode(order._asdict())
        request = HttpRequest('POST', '/admin/orders', body)
        reply = fetch(resolve, request, _ADMIN_TIMEOUT_SECONDS, may_send)
        if reply.status == _ACCEPTED:
            return ''
        return _refusal_code(reply.body)

    def cancel(request_id: str) -> None:
        call('/admin/cancel', {'request_id': request_id})

    def export_kv(request_id: str) -> str:
        reply = call('/admin/kv/export', {'request_id': request_id})
        ticket: _Ticket = _decode_reply(reply, _Ticket)
        return ticket.ticket

    def import_kv(ticket: str) -> bool:
        reply = call(
            '/admin/kv/import', {'ticket': ticket}, _KV_IMPORT_TIMEOUT_SECONDS
        )
        return reply.status == _OK

    return EngineAdapter(
        complete=lambda completion: _complete(resolve, completion),
        cancel=cancel,
        read_load=lambda: read('/admin/load', EngineLoad),
        read_state=lambda: read('/admin/state', EngineState),
        send_order=send_order,
        read_cache_events=lambda after: read(
            f'/admin/cache-events?after={after}', CacheEvents
        ),
        export_kv=export_kv,
        import_kv=import_kv,
    )


def _complete(
    resolve: ResolveAddress, completion: EngineCompletion
) -> EngineStream:
    body = completion._asdict() | {'stream': True}
    request = HttpRequest('POST', '/v1/completions', encode(body))
    try:
        exchange = HttpExchange.connect(resolve, request)
    except ConnectFailedError as error:
        raise TrestleError(ENGINE_CRASHED, str(error)) from error
    try:
        status = exchange.send(request)
    except BaseException as error:
        exchange.close()
        if isinstance(error, ExchangeBrokenError):
            raise _crash_error(error) from error
        raise
    if status != _OK:
        exchange.close()
        raise _refusal_error(status)
    return EngineStream(_read_batches(exchange), exchange.close)


def _read_batches(exchange: HttpExchange) -> Iterator[list[EngineToken]]:
    try:
        yield from token_batches(exchange.read_some, exchange.turn)
    except (ExchangeBrokenError, DecodeError) as error:
        raise _crash_error(error) from error


def _crash_error(error: Exception) -> TrestleError:
    return TrestleError(ENGINE_CRASHED, str(error), Verdict.MAY_HAVE_RUN)


def _refusal_error(status: int) -> TrestleError:
    # A refusal proves that nothing ran; any other server error does not.
    started = status >= _SERVER_ERROR and status != _UNAVAILABLE
    verdict = Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN
    return TrestleError(
        ENGINE_REFUSED, f'The engine returned status {status}.', verdict
    )


def _decode_reply(reply: HttpReply, expected: type[Any]) -> Any:
    if reply.status != _OK:
        raise ExchangeBrokenError(f'the engine returned status {reply.status}')
    try:
        return decode(reply.body, type=expected)
    except DecodeError as error:
        raise ExchangeBrokenError(str(error)) from error


def _refusal_code(body: bytes) -> str:
    try:
        return decode(body, type=_Refusal).code
    except DecodeError:
        return 'refused'
