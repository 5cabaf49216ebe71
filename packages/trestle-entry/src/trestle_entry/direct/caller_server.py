"""The HTTP server for callers of a direct entry.

gevent's WSGI server with the limits of the current route table: the idle time
of a connection, also of one whose caller reads nothing of its answer, the time
and size of a head, and the size of a body. Path and query are forwarded byte for
byte, so they are taken from the request line and never from the decoded
environment.
"""

from collections.abc import Iterable
from typing import Any, Final

from gevent import Timeout, get_hub, getcurrent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from gevent.socket import socket

from trestle_core.addresses import Address, resolve_address
from trestle_core.errorcodes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
)
from trestle_core.errors import TrestleError
from trestle_core.route_table import DEFAULT_LIMITS, CallerLimits
from trestle_core.turns import let_others_run
from trestle_entry.caller_watch import CallerGoneError, has_arrived
from trestle_entry.direct.arrival_limit import ArrivalLimit
from trestle_entry.direct.body_memory import BodyMemory, BodyRoom
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.dispatch import IncomingRequest, serve
from trestle_entry.direct.planned_stop import draining
from trestle_entry.direct.replies import AbortedAnswerError
from trestle_entry.http_types import status_line
from trestle_entry.socket_handler import SOCKET_KEY, SocketHandler

_MAX_CONNECTIONS: Final = 3000
_BACKLOG: Final = 1024
_MS_PER_SECOND: Final = 1000
_TARGET_KEY: Final = 'kingcuptrestle.target'
_HEADERS_KEY: Final = 'kingcuptrestle.headers'
_ROOM_KEY: Final = 'kingcuptrestle.room'
_BODY_SECONDS: Final = 10.0
# A body in chunks is read in such pieces, with a turn for others after each.
_PIECE_BYTES: Final = 8192
# Wait at a planned stop for a request that is already in transit.
_DRAIN_PEEK_SECONDS: Final = 0.02
_REQUEST_TIMEOUT_ANSWER: Final = (
    '408 Request Timeout',
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n',
)


class IdleEndedError(Exception):
    """Stops waiting for a request on an idle connection."""


class CallerHandler(SocketHandler):
    """Handles one connection of a caller."""

    server: Any
    head_limit: ArrivalLimit
    # Of the request that is handled.
    room: BodyRoom
    # The greenlet of the handler, set when it waits for a request.
    waiting_greenlet: Any

    def read_requestline(self) -> str:
        """Wait for the next request; close an idle connection silently."""
        limits = self.server.limits()
        if not self._wait_for_request(limits.idle_ms / _MS_PER_SECOND):
            return ''
        self.head_limit = ArrivalLimit(
            self.socket, limits.header_ms / _MS_PER_SECOND
        )
        try:
            return super().read_requestline()
        except Timeout as error:
            if error is not self.head_limit.passed:
                raise
            self.socket.sendall(_REQUEST_TIMEOUT_ANSWER[1])
            return ''

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head within its time limit."""
        try:
            return super().read_request(raw_requestline)
        finally:
            self.head_limit.close()

    def handle_one_request(self) -> Any:
        """Handle one request; answer 408 if its head took too long."""
        try:
            return super().handle_one_request()
        except Timeout as error:
            if error is not self.head_limit.passed:
                raise
            return _REQUEST_TIMEOUT_ANSWER

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the raw target and headers added."""
        environ = super().get_environ()
        environ[_TARGET_KEY] = self.path
        environ[_HEADERS_KEY] = list(self.headers.items())
        self.room = BodyRoom(self.server.body_memory)
        environ[_ROOM_KEY] = self.room
        if self.server.is_closing:
            self.close_connection = True
        return environ

    def handle_one_response(self) -> None:
        """Answer; the body of the request is not needed any more."""
        try:
            super().handle_one_response()
        finally:
            self.room.release()

    def unread_ms(self) -> int:
        """Return the idle time of the current table."""
        return int(self.server.limits().idle_ms)

    def is_last(self) -> bool:
        """Return whether the connection closes for a planned stop."""
        return bool(self.server.is_closing)

    def _wait_for_request(self, seconds: float) -> bool:
        if self.server.is_closing_idle:
            # Serve a request that has already arrived, but wait for no other.
            seconds = min(seconds, _DRAIN_PEEK_SECONDS)
        idle_limit = ArrivalLimit(self.socket, seconds)
        self.waiting_greenlet = getcurrent()
        self.server.idle.add(self)
        try:
            return bool(self.rfile.peek(1))
        except Timeout as error:
            if error is not idle_limit.passed:
                raise
            return False
        except IdleEndedError:
            return False
        finally:
            idle_limit.close()
            self.server.idle.discard(self)

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close the connection of an answer that cannot be completed."""
        if isinstance(error, CallerGoneError | AbortedAnswerError):
            self.reset_if_unframed()
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def log_error(self, text: str, *_args: Any) -> None:
        """Count a malformed request instead of logging it."""
        self.server.metrics.count('malformed_requests')


class CallerServer(WSGIServer):
    """Accepts callers until it is drained and stopped."""

    def __init__(
        self, context: DirectContext, listener: int | None = None
    ) -> None:
        """Set up the server.

        Unless a socket listens already, the address is bound by `start`.
        """
        listen: Any = resolve_address(context.settings.http_listen)
        if listener is not None:
            listen = socket(fileno=listener)
        super().__init__(
            listen,
            self.answer,
            backlog=_BACKLOG if listener is None else None,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
            spawn=Pool(_MAX_CONNECTIONS),
        )
        self.context = context
        self.metrics = context.metrics
        self.body_memory = BodyMemory(context.settings.body_memory_bytes)
        # Whether each answer closes its connection.
        self.is_closing = False
        # Whether idle connections are closed instead of waiting.
        self.is_closing_idle = False
        self.idle: set[CallerHandler] = set()

    def limits(self) -> CallerLimits:
        """Return the limits of the current table."""
        table = self.context.table
        return table.limits if table else DEFAULT_LIMITS

    def bound(self) -> Address:
        """Return the bound address."""
        ip, port = self.socket.getsockname()[:2]
        return Address(ip, port)

    def close_idle(self) -> None:
        """Close connections without a started request, now and from now on.

        Closing the sockets would not wake their handlers, because the file
        object that a handler reads from keeps the socket open.
        """
        self.is_closing = True
        self.is_closing_idle = True
        loop = get_hub().loop
        for handler in list(self.idle):
            loop.run_callback(_end_idle, handler)

    def stop_listening(self) -> None:
        """Refuse connections from now on, and serve those made before.

        One that is made but never accepted would wait for the end of the
        process.
        """
        self._do_read()  # type: ignore[attr-defined]
        self.close()

    def answer(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one request, as a WSGI application."""
        incoming = IncomingRequest(
            environ['REQUEST_METHOD'],
            environ[_TARGET_KEY],
            environ[_HEADERS_KEY],
            environ[SOCKET_KEY],
            lambda: self._read_body(environ),
        )
        reply = serve(self.context, incoming)
        start_response(status_line(reply.status), reply.headers)
        return reply.body

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        self._check_head(environ)
        planned_stop = self.context.planned_stop
        limit = self.limits().body_bytes
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > limit:
            raise _too_large(limit)
        try:
            with planned_stop.bounded(_BODY_SECONDS):
                body = _read_pieces(environ, length, limit)
        except (OSError, ValueError, Timeout) as error:
            if planned_stop.is_over:
                raise draining('this entry stops before the body') from error
            raise TrestleError(
                BAD_REQUEST, 'the request body is incomplete'
            ) from error
        if length and len(body) != length:
            raise TrestleError(BAD_REQUEST, 'the request body is incomplete')
        return body

    def _check_head(self, environ: dict[str, Any]) -> None:
        headers = environ[_HEADERS_KEY]
        size = sum(len(name) + len(text) for name, text in headers)
        limit = self.limits().header_bytes
        if size + len(environ[_TARGET_KEY]) > limit:
            raise TrestleError(
                HEADERS_TOO_LARGE, f'the head limit is {limit} bytes'
            )


def _read_pieces(environ: dict[str, Any], length: int, limit: int) -> bytes:
    """Read a body, with room taken before; `length` is 0 if it is not told.

    Raises `TrestleError` if there is no room or the body is above the limit.
    """
    room = environ[_ROOM_KEY]
    reader = environ['wsgi.input']
    room.grow_to(length)
    if length:
        whole: bytes = reader.read(length)
        return whole
    body = bytearray()
    while piece := reader.read(_PIECE_BYTES):
        body += piece
        if len(body) > limit:
            raise _too_large(limit)
        room.grow_to(len(body))
        let_others_run()
    return bytes(body)


def _too_large(limit: int) -> TrestleError:
    return TrestleError(BODY_TOO_LARGE, f'the body limit is {limit} bytes')


def _end_idle(handler: CallerHandler) -> None:
    """Stop a handler's wait unless a request has arrived meanwhile."""
    is_idle = handler in handler.server.idle
    if is_idle and not has_arrived(handler.socket):
        handler.waiting_greenlet.throw(IdleEndedError())
