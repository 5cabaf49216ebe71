"""The callers' HTTP server: routing of paths, bodies, errors, drain.

One greenlet serves each connection (gevent's WSGI server). Bodies are read
whole, up to a limit and a time. Every answer carries a request id.
"""

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any, Final
from uuid import uuid4

from gevent import Timeout
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from trestle_core.addresses import Address, resolve_address
from trestle_core.errorcodes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    INTERNAL,
    NOT_FOUND,
    WRONG_METHOD,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.verdict import Verdict
from trestle_entry.caller_watch import CallerGoneError
from trestle_entry.entry_context import EntryContext
from trestle_entry.http_types import (
    SERVICES_PATH,
    HttpCall,
    HttpReply,
    error_reply,
    status_line,
)
from trestle_entry.model_pages import (
    Page,
    chat_page,
    completion_page,
    models_page,
)
from trestle_entry.probe_pages import (
    DrainState,
    health_page,
    metrics_page,
    ready_page,
    request_page,
)
from trestle_entry.service_pages import service_page
from trestle_entry.socket_handler import SOCKET_KEY, SocketHandler

_BODY_SECONDS: Final = 30
_MAX_CONNECTIONS: Final = 10_000
_DIGEST_BYTES: Final = 6

_log = part_logger('entry')

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Pages:
    """Finds the page of a method and a path."""

    def __init__(self, context: EntryContext, drain: DrainState) -> None:
        """Build every page once."""
        self.work: dict[str, Page] = {
            '/v1/chat/completions': chat_page(context),
            '/v1/completions': completion_page(context),
        }
        self.services = service_page(context)
        self.reads: dict[str, Page] = {
            '/v1/models': models_page(context),
            '/healthz': health_page,
            '/ready': ready_page(context, drain),
            '/metrics': metrics_page(context),
        }
        self.requests = request_page(context)
        self.drain = drain

    def find(self, method: str, path: str) -> Page:
        """Return a page; raises `not-found`, `wrong-method` or `draining`."""
        work = self._work_page(path)
        if work:
            _check_method(method, 'POST')
            self.drain.check()
            return work
        read = self.reads.get(path)
        if read is None and path.startswith('/requests/'):
            read = self.requests
        if read is None:
            raise TrestleError(NOT_FOUND, f'No page {path}.')
        _check_method(method, 'GET')
        return read

    def _work_page(self, path: str) -> Page | None:
        if path.startswith(SERVICES_PATH):
            return self.services
        return self.work.get(path)


class HttpServer:
    """Serves callers until it is drained and stopped."""

    def __init__(self, context: EntryContext) -> None:
        """Prepare the listener; nothing is bound yet."""
        self.context = context
        self.drain_state = DrainState()
        self.pages = Pages(context, self.drain_state)
        listen = resolve_address(context.settings.http_listen)
        self.server = WSGIServer(
            (listen.ip, listen.port),
            self._application,
            log=None,
            error_log=None,
            handler_class=SocketHandler,
            spawn=Pool(_MAX_CONNECTIONS),
        )

    def start(self) -> Address:
        """Bind, accept and return the address."""
        self.server.start()
        ip, port = self.server.socket.getsockname()[:2]
        return Address(ip, port)

    def stop(self) -> None:
        """Close the listener and what is left of the connections."""
        self.server.stop(timeout=1)

    def _application(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        reply = self._reply(environ)
        start_response(status_line(reply.status), reply.headers)
        return reply.body

    def _reply(self, environ: dict[str, Any]) -> HttpReply:
        request_id = uuid4().hex
        try:
            call, page = self._accept(environ, request_id)
            return page(call)
        except CallerGoneError as gone:
            # Nobody reads this answer; the counters still tell of it.
            return error_reply(request_id, gone)
        except TrestleError as error:
            return error_reply(request_id, error)
        except Exception:
            _log.exception('Request {} failed unexpectedly.', request_id)
            failure = TrestleError(INTERNAL, verdict=Verdict.MAY_HAVE_RUN)
            return error_reply(request_id, failure)

    def _accept(
        self, environ: dict[str, Any], request_id: str
    ) -> tuple[HttpCall, Page]:
        try:
            call = self._read_call(environ, request_id)
            return call, self.pages.find(call.method, call.path)
        except TrestleError as error:
            raise error.in_doubt() if _is_keyed(environ) else error

    def _read_call(self, environ: dict[str, Any], request_id: str) -> HttpCall:
        headers = {
            key[5:].replace('_', '-').lower(): value
            for key, value in environ.items()
            if key.startswith('HTTP_')
        }
        return HttpCall(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            headers=headers,
            body=self._read_body(environ),
            request_id=request_id,
            caller=_caller_of(headers),
            socket=environ.get(SOCKET_KEY),
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        limit = self.context.settings.body_limit_bytes
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > limit:
            raise _too_large(limit)
        try:
            with Timeout(_BODY_SECONDS):
                body: bytes = environ['wsgi.input'].read(limit + 1)
        except (OSError, ValueError, Timeout) as error:
            text = 'The request body could not be read.'
            raise TrestleError(BAD_REQUEST, text) from error
        if len(body) > limit:
            raise _too_large(limit)
        return body


def _too_large(limit: int) -> TrestleError:
    return TrestleError(BODY_TOO_LARGE, f'The limit is {limit} bytes.')


def _is_keyed(environ: dict[str, Any]) -> bool:
    """Tell whether a request may be a resend of a call with a key."""
    is_call = environ['PATH_INFO'].startswith(SERVICES_PATH)
    return is_call and bool(environ.get('HTTP_IDEMPOTENCY_KEY'))


def _check_method(method: str, expected: str) -> None:
    if method != expected:
        raise TrestleError(WRONG_METHOD, f'Use {expected}.')


def _caller_of(headers: dict[str, str]) -> str:
    """Return the caller's name, or a digest of its key."""
    if 'caller' in headers:
        return headers['caller']
    key = headers.get('authorization', '')
    if not key:
        return 'anonymous'
    digest = blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    return f'key-{digest}'
