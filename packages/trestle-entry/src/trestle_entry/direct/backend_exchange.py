"""One request on a connection to a back end, and the parser of its answer.

The parser is geventhttpclient's. The socket is handled here, because three
things must be exact: whether a byte of the request may have been sent, whether
the answer is complete, and whether bytes arrived that belong to no request.

Invariant: `NotSentError` means that no byte of the request was sent.
"""

from http.client import HTTPException
from typing import Final

from gevent.socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    create_connection,
    socket,
)
from geventhttpclient.response import HTTPProtocolViolationError, HTTPResponse

from trestle_core.addresses import Address
from trestle_entry.direct.wire_types import Headers

# A back end in another zone accepts a connection within a few milliseconds; a
# lost SYN packet is retransmitted only after a second.
CONNECT_SECONDS: Final = 0.3
# A connection is closed when sent bytes stay unacknowledged for this time,
# which leaves room for two retransmissions on a link that loses packets.
UNACKNOWLEDGED_MS: Final = 700
# Time between keep-alive probes of an idle connection.
_PROBE_SECONDS: Final = 1
# Not exported by gevent's socket module.
_TCP_USER_TIMEOUT: Final = 18
_BODILESS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_READ_BYTES: Final = 65_536
_FIRST_FINAL_STATUS: Final = 200


class NotSentError(OSError):
    """No byte of the request was sent."""

    @property
    def is_refused(self) -> bool:
        """Whether the host answered that no process listens there."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class BrokenAnswerError(OSError):
    """The answer is incomplete; the back end may have run the request."""


class BackendAnswer(HTTPResponse):
    """The parsed answer; bytes after it make the connection unusable."""

    def __init__(self, method: str) -> None:
        """Expect one answer to a request with the given method."""
        super().__init__(method)
        self.status = 0
        self.has_trailing_bytes = False

    def feed_bytes(self, received: bytes) -> None:
        """Parse received bytes; raises `BrokenAnswerError` if malformed."""
        try:
            self.feed(received)
        except HTTPException as error:
            if not self.has_trailing_bytes:
                raise BrokenAnswerError(str(error)) from error

    def drain_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken

    def header_list(self) -> Headers:
        """Return every header in order."""
        return [(name, str(text)) for name, text in self.items()]

    def _on_headers_complete(self) -> int | bool | None:
        skips_body = super()._on_headers_complete()
        self.status = self.get_code()
        return skips_body

    def _on_message_begin(self) -> None:
        if self.message_complete and self.status >= _FIRST_FINAL_STATUS:
            self.has_trailing_bytes = True
            raise HTTPProtocolViolationError(
                'bytes after the end of the answer'
            )
        super()._on_message_begin()


class BackendConnection:
    """A connection that serves one request after another."""

    def __init__(self, sock: socket, address: str, instance: str) -> None:
        """Wrap a connected socket."""
        self.sock = sock
        self.address = address
        self.instance = instance
        self.idle_since = 0.0
        self.idle_seconds = 0.0

    @classmethod
    def open(
        cls, address: Address, instance: str, timeout_seconds: float
    ) -> 'BackendConnection':
        """Connect; raises `NotSentError`."""
        try:
            sock = create_connection(
                address, timeout=min(timeout_seconds, CONNECT_SECONDS)
            )
        except OSError as error:
            raise NotSentError(str(error)) from error
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        set_dead_peer_timeout(sock)
        return cls(sock, str(address), instance)

    def send(self, request_bytes: bytes) -> None:
        """Send a request; raises `BrokenAnswerError`."""
        try:
            self.sock.sendall(request_bytes)
        except OSError as error:
            raise BrokenAnswerError(str(error)) from error

    def read_head(self, answer: BackendAnswer) -> None:
        """Read until the head is complete; raises `BrokenAnswerError`."""
        while not answer.headers_complete:
            self.read_more(answer)

    def read_more(self, answer: BackendAnswer) -> None:
        """Receive and parse once; raises `BrokenAnswerError`."""
        try:
            received = self.sock.recv(_READ_BYTES)
        except OSError as error:
            raise BrokenAnswerError(str(error)) from error
        answer.feed_bytes(received)
        if not received and not answer.message_complete:
            raise BrokenAnswerError('the connection was closed')

    def read_body(self, answer: BackendAnswer) -> bytes:
        """Read and return the body to its end; raises `BrokenAnswerError`."""
        while not answer.message_complete:
            self.read_more(answer)
        return answer.drain_body()

    def close(self) -> None:
        """Close the connection; the back end cancels a running request."""
        self.sock.close()


def set_dead_peer_timeout(sock: socket) -> None:
    """Make the kernel close a connection whose peer stops acknowledging."""
    sock.setsockopt(IPPROTO_TCP, _TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    # Keep-alive probes detect a dead peer while nothing is being sent.
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _PROBE_SECONDS)


def encode_request(
    method: str, target: str, host: str, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request, with `Content-Length` for a body."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body or method not in _BODILESS:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + body
