"""Health, readiness and metrics pages of a control process over HTTP."""

from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from gevent.pywsgi import WSGIServer

from trestle_core.addresses import Address, resolve_address
from trestle_core.digests import canonical_json
from trestle_core.errorcodes import NOT_FOUND
from trestle_core.metrics import Metrics

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_OK: Final = '200 OK'
_UNAVAILABLE: Final = '503 Service Unavailable'
_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; charset=utf-8'


class Reply(NamedTuple):
    """An HTTP status, a media type and a body."""

    status: str
    media_type: str
    body: bytes


Page = Callable[[], Reply]


class StatusPages:
    """Serves `/healthz`, `/ready` and `/metrics`."""

    def __init__(
        self, listen: str, metrics: Metrics, is_ready: Callable[[], bool]
    ) -> None:
        """Create the server; `is_ready` determines the readiness page."""
        self.metrics = metrics
        self.is_ready = is_ready
        self.pages: dict[str, Page] = {
            '/healthz': lambda: _json_reply(_OK, {'status': 'ok'}),
            '/ready': self._ready,
            '/metrics': self._metrics,
        }
        address = resolve_address(listen)
        self.server = WSGIServer(
            (address.ip, address.port), self._answer, log=None
        )

    @property
    def address(self) -> Address:
        """The bound address."""
        ip, port = self.server.socket.getsockname()[:2]
        return Address(ip, port)

    def start(self) -> None:
        """Bind and start accepting."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting."""
        self.server.stop(timeout=1)

    def _ready(self) -> Reply:
        ready = self.is_ready()
        return _json_reply(_OK if ready else _UNAVAILABLE, {'ready': ready})

    def _metrics(self) -> Reply:
        return Reply(_OK, _TEXT, self.metrics.render().encode())

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        page = self.pages.get(environ['PATH_INFO'], _not_found)
        reply = page()
        start_response(reply.status, [('Content-Type', reply.media_type)])
        return [reply.body]


def _not_found() -> Reply:
    return _json_reply('404 Not Found', {'code': NOT_FOUND.code})


def _json_reply(status: str, content: Any) -> Reply:
    return Reply(status, _JSON, canonical_json(content))
