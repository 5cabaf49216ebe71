"""The HTTP pages of the process: /healthz, /ready and /metrics."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer
from msgspec.json import encode

from trestle_core.addresses import (
    Address,
    resolve_address,
    write_address_file,
)
from trestle_core.errorcodes import NOT_FOUND, ErrorCode
from trestle_core.metrics import Metrics
from trestle_core.settings import CommonSettings

UnreadyCode = Callable[[], ErrorCode | None]
Refresh = Callable[[], None]


class HttpPages:
    """The server of the pages."""

    def __init__(
        self,
        settings: CommonSettings,
        unready_code: UnreadyCode,
        refresh: Refresh,
        metrics: Metrics,
    ) -> None:
        """Create the server without starting it.

        `unready_code` returns the code of the reason why the process is not
        ready, or None; `refresh` updates the gauges before they are shown.
        """
        self.address_file = settings.http_address_file
        self.unready_code = unready_code
        self.refresh = refresh
        self.metrics = metrics
        address = resolve_address(settings.http_listen)
        self.server = WSGIServer(
            (address.ip, address.port), self._serve, log=None, error_log=None
        )

    def start(self) -> None:
        """Bind, write the address file and serve."""
        self.server.start()
        ip, port = self.server.socket.getsockname()[:2]
        write_address_file(self.address_file, Address(ip, port))

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop(timeout=1)

    def _serve(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/metrics':
            self.refresh()
            start('200 OK', [('Content-Type', 'text/plain; charset=utf-8')])
            return [self.metrics.render().encode()]
        status, content = self._page(path)
        start(status, [('Content-Type', 'application/json')])
        return [encode(content)]

    def _page(self, path: str) -> tuple[str, dict[str, Any]]:
        if path == '/healthz':
            return '200 OK', {'status': 'ok'}
        if path != '/ready':
            return '404 Not Found', {'code': NOT_FOUND.code}
        unready_code = self.unready_code()
        if unready_code is None:
            return '200 OK', {'ready': True}
        content = {'ready': False, 'code': unready_code.code}
        return '503 Service Unavailable', content
