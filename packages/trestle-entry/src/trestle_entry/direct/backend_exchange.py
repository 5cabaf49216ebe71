"""One request on a connection to a back end, and the parser of its answer.

The parser is geventhttpclient's. The socket is handled here, because three
things must be exact: whether a byte of the request may have been sent, whether
the answer is complete, and whether bytes arrived that belong to no request.

Invariant: `NotSentError` means that no byte of the request was sent.
"""

from collections import deque
from http.client import HTTPException
from time import monotonic
from typing import Final

from gevent import Greenlet, spawn
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
from geventhttpclient.response import HTTPProtocolViolationError

from trestle_core.addresses import Address
from trestle_core.http_answers import MAX_BODY_BYTES, HttpAnswer, ended_plainly
from trestle_core.turns import Turn
from trestle_entry.direct.wire_types import Headers
from trestle_entry.request_heads import is_sound_head
from trestle_entry.socket_limits import limit_unread

# A back end in another zone accepts a connection within a few milliseconds; a
# lost SYN packet is retransmitted only after a second.
CONNECT_SECONDS: Final = 0.3
# A connection is closed when sent bytes stay unacknowledged for this time,
# which leaves room for two retransmissions on a link that loses packets.
UNACKNOWLEDGED_MS: Final = 700
# Time between keep-alive probes of an idle connection.
_PROBE_SECONDS: Final = 1
_BODILESS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
# An answer comes once more soon after its request, if at all.
_MAX_ANSWERED_IDS: Final = 32
# A request up to this size goes out in one write.
_MAX_JOINED_BYTES: Final = 65_536
# A longer earlier answer is not worth passing over.
_MAX_PASSED_BYTES: Final = 1_048_576
_CLOSED: Final = 'the connection was closed'


class NotSentError(OSError):
    """No byte of the request was sent."""

    @property
    def is_refused(self) -> bool:
        """Whether the host answered that no process listens there."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class WithheldError(NotSentError):
    """The back end wants no request, so nothing was sent."""


class BrokenAnswerError(OSError):
    """The answer is incomplete; the back end may have run the request."""


class BackendAnswer(HttpAnswer):
    """The parsed answer; bytes after it make the connection unusable."""

    def __init__(
        self, method: str, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        """Expect one answer, as `HttpAnswer` does."""
        super().__init__(method, max_body_bytes)
        self.has_trailing_bytes = False
        # What was received until the head was complete.
        self.received = b''

    def feed_bytes(self, received: bytes) -> None:
        """Parse received bytes; raises `BrokenAnswerError` if malformed."""
        if not self.has_final_head:
            self.received += received
        try:
            self.feed(received)
        except HTTPException as error:
            if not self.has_trailing_bytes:
                raise BrokenAnswerError(str(error)) from error

    def feed_to_end(self, received: bytes) -> bytes | None:
        """Parse bytes up to the end of the answer; return those behind it.

        None if the end is not among them. Raises `BrokenAnswerError`.
        """
        # Byte by byte, as the parser does not tell where an answer ends.
        for position, octet in enumerate(received, start=1):
            self.feed_bytes(bytes((octet,)))
            if self.message_complete:
                return received[position:]
        return None

    def drain_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken

    def header_list(self) -> Headers:
        """Return every header in order."""
        return [(name, str(text)) for name, text in self.items()]

    def _on_message_begin(self) -> None:
        if self.is_whole:
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
        # Of the current request: its turns, whether it has more than a head, what
        # sends a large body, and why not all of it could be sent.
        self.turn = Turn()
        self.has_body = False
        self.sender: Greenlet[..., None] | None = None
        self.send_error: OSError | None = None
        # Whether an answer came once more.
        self.has_repeated = False
        # Requests that were answered on this connection, the latest ones.
        self.answered_ids: deque[str] = deque(maxlen=_MAX_ANSWERED_IDS)

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

    def send(self, head: bytes, body: bytes = b'') -> None:
        """Send a request; raises `BrokenAnswerError`.

        A back end may answer before it has taken the whole request, so a large
        body is sent while the answer is awaited. A connection that ends meanwhile
        is told only if no answer can be read.
        """
        self.turn = Turn()
        self.has_body = bool(body)
        self.sender = None
        self.send_error = None
        is_joined = len(body) <= _MAX_JOINED_BYTES
        try:
            self.sock.sendall(head + body if is_joined else head)
        except ConnectionError as error:
            self.send_error = error
        except OSError as error:
            raise BrokenAnswerError(str(error)) from error
        if not (is_joined or self.send_error):
            self.sender = spawn(self._send_body, body)

    @property
    def is_sent(self) -> bool:
        """Whether nothing of the request is left to send."""
        is_sending = self.sender is not None and not self.sender.ready()
        return not (is_sending or self.send_error)

    def read_head(self, answer: BackendAnswer) -> None:
        """Read until the head is complete; raises `BrokenAnswerError`."""
        while not answer.has_final_head:
            self.read_more(answer)

    def read_more(self, answer: BackendAnswer) -> None:
        """Receive and parse once; raises `BrokenAnswerError`."""
        received = self._receive_or_end()
        began_at = monotonic()
        answer.feed_bytes(received)
        self.turn.note(began_at)
        if received:
            return
        if not answer.is_whole:
            raise BrokenAnswerError(self._why_closed())
        is_plain = ended_plainly(self.sock, has_body=self.has_body)
        if not (self.is_sent and is_plain):
            raise BrokenAnswerError('the answer ended before its request')
        if answer.is_empty_success:
            raise BrokenAnswerError('the connection was closed behind the head')

    def pass_over(self, answer: BackendAnswer) -> BackendAnswer:
        """Read an answer to its end; return the one that follows it.

        Raises `BrokenAnswerError`, also if it has no end of its own.
        """
        self.has_repeated = True
        passed = BackendAnswer(answer.method)
        received = answer.received
        passed_bytes = len(received)
        behind = passed.feed_to_end(received)
        while behind is None:
            if passed_bytes > _MAX_PASSED_BYTES:
                raise BrokenAnswerError('an earlier answer does not end')
            received = self._receive()
            passed_bytes += len(received)
            began_at = monotonic()
            behind = passed.feed_to_end(received)
            self.turn.note(began_at)
        following = BackendAnswer(answer.method)
        following.feed_bytes(behind)
        return following

    def read_body(self, answer: BackendAnswer) -> bytes:
        """Read and return the body to its end; raises `BrokenAnswerError`."""
        while not answer.message_complete:
            self.read_more(answer)
        return answer.drain_body()

    def is_reusable(self, answer: BackendAnswer) -> bool:
        """Return whether the next request may follow a whole answer."""
        is_faulty = answer.has_trailing_bytes or self.has_repeated
        return self.is_sent and not (is_faulty or answer.should_close())

    def close(self) -> None:
        """Close the connection; the back end cancels a running request."""
        if self.sender:
            self.sender.kill(block=False)
        self.sock.close()

    def _receive(self) -> bytes:
        received = self._receive_or_end()
        if not received:
            raise BrokenAnswerError(self._why_closed())
        return received

    def _why_closed(self) -> str:
        return str(self.send_error) if self.send_error else _CLOSED

    def _receive_or_end(self) -> bytes:
        """Receive once, in turn; nothing at the end of the connection."""
        size = self.turn.begin()
        try:
            return bytes(self.sock.recv(size))
        except OSError as error:
            raise BrokenAnswerError(str(error)) from error

    def _send_body(self, body: bytes) -> None:
        try:
            self.sock.sendall(body)
        except OSError as error:
            self.send_error = error


def set_dead_peer_timeout(sock: socket) -> None:
    """Make the kernel close a connection whose peer stops acknowledging."""
    limit_unread(sock, UNACKNOWLEDGED_MS)
    # Keep-alive probes detect a dead peer while nothing is being sent.
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _PROBE_SECONDS)


def encode_head(
    method: str, target: str, host: str, headers: Headers, body_bytes: int
) -> bytes:
    """Return the bytes of a head, with `Content-Length` for a body.

    Raises `NotSentError` for a head that a back end could read otherwise than
    it is meant, such as one with a line end in a header. Callers' heads have
    been read strictly, so the cause is what the platform told.
    """
    if not is_sound_head(method, target, host, headers):
        raise NotSentError('the head of the request cannot be encoded')
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body_bytes or method not in _BODILESS:
        lines.append(f'Content-Length: {body_bytes}')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1')
