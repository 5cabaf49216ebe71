"""WSGI handler that exposes the caller's socket to the application."""

from typing import Any, Final

from gevent.pywsgi import WSGIHandler
from gevent.socket import IPPROTO_TCP, TCP_NODELAY

SOCKET_KEY: Final = 'kingcuptrestle.socket'


class SocketHandler(WSGIHandler):
    """Passes the caller's socket in the WSGI environment."""

    def handle(self) -> None:
        """Disable Nagle's algorithm: the answer stream batches tokens itself."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

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
