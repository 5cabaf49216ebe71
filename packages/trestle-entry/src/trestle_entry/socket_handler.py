"""WSGI handler that reads requests strictly and exposes the caller's socket.

An answer without a length or chunks, as callers of HTTP/1.0 get streams, ends
with its connection. One that breaks off is then reset: a close would make it
look whole.

A caller that takes nothing of an answer for some time loses its connection, since
the answer and a place would be held for as long as it likes.
"""

from errno import ETIMEDOUT
from io import BytesIO
from struct import pack
from typing import Any, Final

from gevent import Timeout
from gevent.pywsgi import WSGIHandler
from gevent.socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY

from trestle_core.route_table import DEFAULT_LIMITS
from trestle_entry.request_bodies import BodyReader
from trestle_entry.request_heads import (
    OLD_VERSION,
    BodyFraming,
    Fields,
    body_framing,
    closes_connection,
    read_fields,
    read_request_line,
)
from trestle_entry.socket_limits import limit_unread

SOCKET_KEY: Final = 'kingcuptrestle.socket'
# Lingering is on, for no time: closing resets the connection.
_RESET: Final = pack('ii', 1, 0)
_FRAMES: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES: Final = frozenset((204, 304))


class SocketHandler(WSGIHandler):
    """Passes the caller's socket in the WSGI environment.

    The head and the body are not read by the base class, which takes much that
    is malformed for something else.
    """

    framing: BodyFraming
    # A `BodyReader`, in the place of the base class's `Input`.
    wsgi_input: Any

    # Errors of a caller, not of the server.
    ignored_socket_errors = (*WSGIHandler.ignored_socket_errors, ETIMEDOUT)

    def handle(self) -> None:
        """Disable Nagle's algorithm: the answer stream batches tokens itself."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        limit_unread(self.socket, self.unread_ms())
        super().handle()

    def unread_ms(self) -> int:
        """Return how long a caller may take nothing of an answer, ms."""
        return DEFAULT_LIMITS.idle_ms

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head; raises `MalformedRequestError`, answered with 400."""
        line = read_request_line(raw_requestline)
        fields = read_fields(self.rfile)
        self.framing = body_framing(line.version, fields)
        self.command = line.method
        self.path = line.target
        self.request_version = line.version
        self.headers = self._message(fields)
        self.content_length = self.framing.length
        self.close_connection = closes_connection(line.version, fields)
        return True

    def finalize_headers(self) -> None:
        """Announce that no request can follow on the connection."""
        super().finalize_headers()
        if self.ends_with_connection() or self.is_last():
            self.close_connection = True
        elif not self.wsgi_input.ends_connection:
            return
        headers: list[Any] = self.response_headers or []
        kept = [one for one in headers if one[0].lower() != b'connection']
        kept.append((b'Connection', b'close'))
        self.response_headers = kept

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Let an answer that was cut not look whole.

        A `Timeout` is the limit of a stream, or of a planned stop, and has its
        line in the log; all else is a failure of the server.
        """
        self.reset_if_unframed()
        if isinstance(error, Timeout):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def reset_if_unframed(self) -> None:
        """Reset, when it closes, a connection that is its answer's only end."""
        if self.headers_sent and self.ends_with_connection():
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)

    def is_last(self) -> bool:
        """Return whether the server wants no other request on the connection."""
        return False

    def ends_with_connection(self) -> bool:
        """Return whether the answer has neither a length nor chunks."""
        headers: list[Any] = self.response_headers or []
        names = {name.lower() for name, _ in headers}
        return not names & _FRAMES and self.code not in _BODILESS_STATUSES

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the caller's socket."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        expected = environ.get('HTTP_EXPECT', '').lower()
        is_waiting = expected == '100-continue'
        if self.request_version == OLD_VERSION:
            is_waiting = False
        waiting = self.socket if is_waiting else None
        self.wsgi_input = BodyReader(self.rfile, self.framing, waiting)
        environ['wsgi.input'] = self.wsgi_input
        return environ

    def handle_one_response(self) -> None:
        """Answer; end the connection if the body was not read to its end."""
        super().handle_one_response()
        if not self.wsgi_input.is_at_end:
            self.close_connection = True

    def _message(self, fields: Fields) -> Any:
        """Return the header fields in the form that the base class uses."""
        new_message: Any = self.MessageClass
        message = new_message(BytesIO(), 0)
        for name, text in fields:
            message.set_raw(name, text)
        return message

    def _sendall(self, data: bytes) -> None:
        # Events are small, so a single send nearly always suffices. gevent's
        # sendall would add half of the cost of relaying a token.
        try:
            sent = self.socket.send(data)
        except OSError:
            # The base class sends again and records the failure.
            sent = 0
        if sent < len(data):
            super()._sendall(data[sent:])  # type: ignore[misc]
        self.response_length += sent
