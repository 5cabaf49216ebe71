"""Sends one HTTP request on its own connection.

The parser is geventhttpclient's, but this module manages the socket, because
callers need to know exactly whether a byte of the request may have been sent
and which bytes of the response have arrived. No connection is reused, so a
late response cannot be mistaken for the response to the next request, and no
request is retried implicitly.

Invariant: `ConnectFailedError` means that no byte of the request was sent.
"""

from collections.abc import Callable
from http.client import HTTPException
from time import monotonic
from typing import Final, NamedTuple, Self

from gevent import Timeout
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, create_connection, socket

from trestle_core.addresses import Address
from trestle_core.http_answers import MAX_BODY_BYTES, HttpAnswer, ended_plainly
from trestle_core.turns import Turn

ResolveAddress = Callable[[], Address]

_CONNECT_TIMEOUT_SECONDS: Final = 2


class ConnectFailedError(OSError):
    """The connection failed and no byte of the request was sent."""


class ExchangeBrokenError(OSError):
    """The exchange failed after bytes of the request may have been sent."""


class HttpRequest(NamedTuple):
    """An HTTP request; its body is sent with a Content-Length header."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class HttpReply(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class HttpExchange(HttpAnswer):
    """One request on a connection, and the parser of its response."""

    def __init__(self, method: str, sock: socket) -> None:
        """Wrap a connected socket."""
        super().__init__(method)
        self.sock = sock
        self.turn = Turn()
        self.has_body = False
        # Why not all of the request could be sent.
        self.send_error: OSError | None = None

    @classmethod
    def connect(cls, resolve: ResolveAddress, request: HttpRequest) -> Self:
        """Connect without sending anything.

        Raises `ConnectFailedError`.
        """
        try:
            sock = create_connection(
                resolve(), timeout=_CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, ValueError) as error:
            raise ConnectFailedError(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        return cls(request.method, sock)

    def send(self, request: HttpRequest) -> int:
        """Send the request and return the status of the response.

        Raises `ExchangeBrokenError`.
        """
        self.has_body = bool(request.body)
        try:
            self.sock.sendall(_encode_request(request))
        except ConnectionError as error:
            # The target may have answered before it closed.
            self.send_error = error
        except OSError as error:
            raise ExchangeBrokenError(str(error)) from error
        while not self.has_final_head:
            self._receive()
        return self.status

    def read_some(self) -> bytes:
        """Return the available body bytes, waiting for some; empty at the end.

        Raises `ExchangeBrokenError`.
        """
        while not self._body_buffer and not self.message_complete:
            self._receive()
        received = bytes(self._body_buffer)
        self._body_buffer.clear()
        return received

    def read_all(self) -> bytes:
        """Return the rest of the body.

        Raises `ExchangeBrokenError`.
        """
        pieces = []
        for piece in iter(self.read_some, b''):
            pieces.append(piece)
            if self.body_bytes > MAX_BODY_BYTES:
                raise ExchangeBrokenError('the response does not end')
        return b''.join(pieces)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive(self) -> None:
        size = self.turn.begin()
        try:
            received = self.sock.recv(size)
        except OSError as error:
            raise ExchangeBrokenError(str(error)) from error
        began_at = monotonic()
        try:
            self.feed(received)
        except HTTPException as error:
            raise ExchangeBrokenError(str(error)) from error
        self.turn.note(began_at)
        if not received:
            self._check_end()

    def _check_end(self) -> None:
        """Raise `ExchangeBrokenError` unless the answer ends with its connection."""
        if not self.is_whole:
            reason = self.send_error or 'the connection was closed'
            raise ExchangeBrokenError(str(reason))
        if not ended_plainly(self.sock, has_body=self.has_body):
            raise ExchangeBrokenError('the response ended before its request')
        if self.is_empty_success:
            raise ExchangeBrokenError(
                'the connection was closed behind the head'
            )


def fetch(
    resolve: ResolveAddress,
    request: HttpRequest,
    timeout_seconds: float,
    may_send: Callable[[], bool] | None = None,
) -> HttpReply:
    """Send a request and return its complete response.

    Raises `ConnectFailedError`, also when `may_send` returns false, or
    `ExchangeBrokenError`, also on a timeout.
    """
    exchange = HttpExchange.connect(resolve, request)
    timeout = Timeout(timeout_seconds)
    try:
        with timeout:
            if may_send and not may_send():
                raise ConnectFailedError('the time limit for sending passed')
            status = exchange.send(request)
            return HttpReply(status, exchange.read_all())
    except Timeout as error:
        if error is not timeout:
            # A timeout that the caller has set.
            raise
        raise ExchangeBrokenError('the target timed out') from error
    finally:
        exchange.close()


def _encode_request(request: HttpRequest) -> bytes:
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        'Host: target',
        'Connection: close',
        f'Content-Length: {len(request.body)}',
        *(f'{name}: {text}' for name, text in request.headers),
    ]
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode(errors='replace') + request.body
