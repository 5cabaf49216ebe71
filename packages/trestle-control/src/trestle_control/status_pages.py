"""Probes and metrics of a control process over HTTP."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from gevent.pywsgi import WSGIServer

from trestle_core.addresses import Address, resolve_address
from trestle_core.metrics import Metrics

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Page = Callable[[], tuple[str, str]]

_OK: Final = '200 OK'
_UNAVAILABLE: Final = '503 Service Unavailable'
_NOT_FOUND: Final = ('404 Not Found', 'not found\n')


class StatusPages:
    """Serves `/healthz`, `/ready` and `/metrics`."""

    def __init__(
        self, listen: str, metrics: Metrics, is_ready: Callable[[], bool]
    ) -> None:
        """Prepare the listener; `is_ready` decides the readiness page."""
        self.metrics = metrics
        self.is_ready = is_ready
        self.pages: dict[str, Page] = {
            '/healthz': lambda: (_OK, 'ok\n'),
            '/ready': self._ready,
            '/metrics': lambda: (_OK, self.metrics.render()),
        }
        address = resolve_address(listen)
        self.server = WSGIServer(
            (address.ip, address.port), self._answer, log=None
        )

    @property
    def address(self) -> Address:
        """The address that was bound."""
        ip, port = self.server.socket.getsockname()[:2]
        return Address(ip, port)

    def start(self) -> None:
        """Bind and accept."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=1)

    def _ready(self) -> tuple[str, str]:
        if self.is_ready():
            return _OK, 'ready\n'
        return _UNAVAILABLE, 'not ready\n'

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        page = self.pages.get(environ['PATH_INFO'])
        status, text = page() if page else _NOT_FOUND
        start_response(status, [('Content-Type', 'text/plain; charset=utf-8')])
        return [text.encode()]
