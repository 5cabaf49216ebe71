"""One HTTP request on a connection of its own.

The parser is geventhttpclient's; the socket is ours, because two questions
need an exact answer: whether a byte of the request may have left, and which
bytes of the answer are here already. No connection is used twice, so no
late answer can be taken for the answer of the next request, and nothing is
sent again behind the caller's back.

Invariant: `ConnectFailedError` means that no byte of the request left.
"""

from collections.abc import Callable
from http.client import HTTPException
from typing import Final, NamedTuple, Self

from gevent import Timeout
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, create_connection, socket
from geventhttpclient.response import HTTPResponse

from trestle_core.addresses import Address

ResolveAddress = Callable[[], Address]

_CONNECT_SECONDS: Final = 2
_READ_BYTES: Final = 65_536


class ConnectFailedError(OSError):
    """No connection was made: no byte of the request left."""


class ExchangeBrokenError(OSError):
    """The connection broke after bytes of the request may have left."""


class HttpRequest(NamedTuple):
    """A request; the body is sent with its length."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


class HttpReply(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class HttpExchange(HTTPResponse):
    """A request that was sent, and the reader of its answer."""

    def __init__(self, method: str, sock: socket) -> None:
        """Wrap a connected socket."""
        super().__init__(method)
        self.sock = sock

    @classmethod
    def connect(cls, resolve: ResolveAddress, request: HttpRequest) -> Self:
        """Connect; nothing is sent yet.

        Raises `ConnectFailedError`.
        """
        try:
            sock = create_connection(resolve(), timeout=_CONNECT_SECONDS)
        except (OSError, ValueError) as error:
            raise ConnectFailedError(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        return cls(request.method, sock)

    def send(self, request: HttpRequest) -> int:
        """Send the request and return the status of the answer.

        Raises `ExchangeBrokenError`.
        """
        try:
            self.sock.sendall(_encode_request(request))
        except OSError as error:
            raise ExchangeBrokenError(str(error)) from error
        while not self.headers_complete:
            self._receive()
        return self.status_code

    def read_some(self) -> bytes:
        """Return the body bytes that are here, or wait; empty at the end.

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
        return b''.join(iter(self.read_some, b''))

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive(self) -> None:
        try:
            received = self.sock.recv(_READ_BYTES)
            self.feed(received)
        except (OSError, HTTPException) as error:
            raise ExchangeBrokenError(str(error)) from error
        if not received and not self.message_complete:
            raise ExchangeBrokenError('the connection was closed')


def fetch(
    resolve: ResolveAddress,
    request: HttpRequest,
    timeout_seconds: float,
    may_send: Callable[[], bool] | None = None,
) -> HttpReply:
    """Send a request and return its whole answer.

    Raises `ConnectFailedError`, also when `may_send` forbids the first byte,
    or `ExchangeBrokenError`, also when the time is over.
    """
    exchange = HttpExchange.connect(resolve, request)
    timeout = Timeout(timeout_seconds)
    try:
        with timeout:
            if may_send and not may_send():
                raise ConnectFailedError('the time to send it is over')
            status = exchange.send(request)
            return HttpReply(status, exchange.read_all())
    except Timeout as error:
        if error is not timeout:
            # The caller's own deadline.
            raise
        raise ExchangeBrokenError('no answer in time') from error
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
