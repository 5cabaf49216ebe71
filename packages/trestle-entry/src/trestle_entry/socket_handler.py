"""The WSGI handler that hands the caller's socket to the application."""

from typing import Any, Final

from gevent.pywsgi import WSGIHandler
from gevent.socket import IPPROTO_TCP, TCP_NODELAY

SOCKET_KEY: Final = 'kingcuptrestle.socket'


class SocketHandler(WSGIHandler):
    """Hands the caller's socket to the application."""

    def handle(self) -> None:
        """Send each event at once: batching is done by the answer stream."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket in it."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def _sendall(self, data: bytes) -> None:
        # Events are small: one plain send nearly always takes them whole,
        # and gevent's sendall costs half a token's relay more.
        try:
            sent = self.socket.send(data)
        except OSError:
            # The base class notes the failure in the status.
            sent = 0
        if sent < len(data):
            super()._sendall(data[sent:])  # type: ignore[misc]
        self.response_length += sent
