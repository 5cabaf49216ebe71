"""WSGI handler that exposes the caller's socket to the application.

An answer without a length or chunks, as callers of HTTP/1.0 get streams, ends
with its connection. One that breaks off is then reset: a close would make it
look whole.
"""

from struct import pack
from typing import Any, Final

from gevent.pywsgi import WSGIHandler
from gevent.socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY

SOCKET_KEY: Final = 'kingcuptrestle.socket'
# Lingering is on, for no time: closing resets the connection.
_RESET: Final = pack('ii', 1, 0)
_FRAMES: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES: Final = frozenset((204, 304))


class SocketHandler(WSGIHandler):
    """Passes the caller's socket in the WSGI environment."""

    def handle(self) -> None:
        """Disable Nagle's algorithm: the answer stream batches tokens itself."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def finalize_headers(self) -> None:
        """Close a connection that is the only end of its answer."""
        super().finalize_headers()
        if self.ends_with_connection():
            self.close_connection = True
            headers: list[Any] = list(self.response_headers or [])
            kept = [one for one in headers if one[0].lower() != b'connection']
            kept.append((b'Connection', b'close'))
            self.response_headers = kept

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Let an answer that was cut not look whole."""
        self.reset_if_unframed()
        super().handle_error(kind, error, trace)

    def reset_if_unframed(self) -> None:
        """Reset, when it closes, a connection that is its answer's only end."""
        if self.headers_sent and self.ends_with_connection():
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)

    def ends_with_connection(self) -> bool:
        """Return whether the answer has neither a length nor chunks."""
        headers: list[Any] = self.response_headers or []
        names = {name.lower() for name, _ in headers}
        return not names & _FRAMES and self.code not in _BODILESS_STATUSES

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the caller's socket."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

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
