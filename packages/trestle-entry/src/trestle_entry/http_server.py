"""HTTP server for callers: dispatch by path, bodies, errors, drain.

One greenlet serves each connection (gevent's WSGI server). Bodies are read
completely before the handler runs, within a size limit and a timeout. Every
response carries a request id.
"""

from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b
from time import monotonic
from typing import Any, Final
from uuid import uuid4

from gevent import Timeout, sleep
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
from trestle_entry.entry_context import EntryContext
from trestle_entry.http_types import (
    SERVICES_PATH,
    HttpRequest,
    HttpResponse,
    error_response,
    status_line,
)
from trestle_entry.model_handlers import (
    Handler,
    chat_handler,
    completion_handler,
    models_handler,
)
from trestle_entry.probe_handlers import (
    DrainState,
    health_handler,
    metrics_handler,
    ready_handler,
    request_trace_handler,
)
from trestle_entry.request_records import ended_by_stop
from trestle_entry.service_handlers import service_handler
from trestle_entry.socket_handler import SOCKET_KEY, SocketHandler
from trestle_entry.stop_limits import StopLimits

_BODY_TIMEOUT_SECONDS: Final = 30
_MAX_CONNECTIONS: Final = 10_000
_CALLER_DIGEST_BYTES: Final = 6
_END_POLL_SECONDS: Final = 0.05

_log = part_logger('entry')

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class HandlerTable:
    """Maps HTTP methods and paths to handlers."""

    def __init__(self, context: EntryContext, drain_state: DrainState) -> None:
        """Build every handler once."""
        self.post_handlers: dict[str, Handler] = {
            '/v1/chat/completions': chat_handler(context),
            '/v1/completions': completion_handler(context),
        }
        self.service_handler = service_handler(context)
        self.get_handlers: dict[str, Handler] = {
            '/v1/models': models_handler(context),
            '/healthz': health_handler,
            '/ready': ready_handler(context, drain_state),
            '/metrics': metrics_handler(context),
        }
        self.request_trace_handler = request_trace_handler(context)
        self.drain_state = drain_state

    def find(self, method: str, path: str) -> Handler:
        """Return a handler.

        Raises `not-found`, `wrong-method` or `draining`.
        """
        post_handler = self._find_post_handler(path)
        if post_handler:
            _check_method(method, 'POST')
            self.drain_state.check_accepting()
            return post_handler
        get_handler = self.get_handlers.get(path)
        if get_handler is None and path.startswith('/requests/'):
            get_handler = self.request_trace_handler
        if get_handler is None:
            raise TrestleError(NOT_FOUND, f'There is no resource at {path}.')
        _check_method(method, 'GET')
        return get_handler

    def _find_post_handler(self, path: str) -> Handler | None:
        if path.startswith(SERVICES_PATH):
            return self.service_handler
        return self.post_handlers.get(path)


class HttpServer:
    """Serves callers until it is drained and stopped."""

    def __init__(self, context: EntryContext) -> None:
        """Prepare the listener; nothing is bound yet."""
        self.context = context
        self.drain_state = DrainState()
        self.stop_limits = StopLimits()
        self.handlers = HandlerTable(context, self.drain_state)
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
        """Bind, start to accept connections and return the address."""
        self.server.start()
        ip, port = self.server.socket.getsockname()[:2]
        return Address(ip, port)

    def end_requests(self, seconds: float) -> None:
        """Answer what still runs, for so long at most.

        A wait may take the end for one of its own limits, so all are ended until
        none is left.
        """
        flushed_at = monotonic() + seconds
        while self.context.inflight.total and monotonic() < flushed_at:
            self.stop_limits.end_requests()
            sleep(_END_POLL_SECONDS)

    def stop(self) -> None:
        """Close the listener and the remaining connections."""
        self.server.stop(timeout=1)

    def _application(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        response = self._handle(environ)
        start_response(status_line(response.status), response.headers)
        if isinstance(response.body, list):
            return response.body
        return self._bounded(response.body)

    def _bounded(self, body: Iterable[bytes]) -> Iterator[bytes]:
        """Yield a stream; the end of a planned stop breaks it off."""
        with self.stop_limits.bounded(None):
            yield from body

    def _handle(self, environ: dict[str, Any]) -> HttpResponse:
        request_id = uuid4().hex
        try:
            with self.stop_limits.bounded(None):
                request, handler = self._accept(environ, request_id)
                return handler(request)
        except Timeout:
            # Inner limits are handled where they are set.
            return error_response(request_id, ended_by_stop())
        except TrestleError as error:
            # A caller that is gone will not read the response.
            return error_response(request_id, error)
        except Exception:
            _log.exception('Request {} failed unexpectedly.', request_id)
            failure = TrestleError(INTERNAL, verdict=Verdict.MAY_HAVE_RUN)
            return error_response(request_id, failure)

    def _accept(
        self, environ: dict[str, Any], request_id: str
    ) -> tuple[HttpRequest, Handler]:
        try:
            request = self._read_request(environ, request_id)
            return request, self.handlers.find(request.method, request.path)
        except TrestleError as error:
            raise error.in_doubt() if _is_keyed(environ) else error

    def _read_request(
        self, environ: dict[str, Any], request_id: str
    ) -> HttpRequest:
        headers = {
            key[5:].replace('_', '-').lower(): value
            for key, value in environ.items()
            if key.startswith('HTTP_')
        }
        return HttpRequest(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            headers=headers,
            body=self._read_body(environ),
            request_id=request_id,
            caller=_caller_name(headers),
            socket=environ.get(SOCKET_KEY),
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        limit = self.context.settings.body_limit_bytes
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > limit:
            raise _body_too_large(limit)
        try:
            with Timeout(_BODY_TIMEOUT_SECONDS):
                body: bytes = environ['wsgi.input'].read(limit + 1)
        except (OSError, ValueError, Timeout) as error:
            text = 'The request body could not be read.'
            raise TrestleError(BAD_REQUEST, text) from error
        if len(body) > limit:
            raise _body_too_large(limit)
        return body


def _body_too_large(limit: int) -> TrestleError:
    return TrestleError(
        BODY_TOO_LARGE, f'The limit for a request body is {limit} bytes.'
    )


def _is_keyed(environ: dict[str, Any]) -> bool:
    """Return whether a request may be a retry of a call with a key."""
    is_service_call = environ['PATH_INFO'].startswith(SERVICES_PATH)
    return is_service_call and bool(environ.get('HTTP_IDEMPOTENCY_KEY'))


def _check_method(method: str, expected: str) -> None:
    if method != expected:
        raise TrestleError(WRONG_METHOD, f'The method must be {expected}.')


def _caller_name(headers: dict[str, str]) -> str:
    """Return the name of the caller, or a digest of its API key."""
    if 'caller' in headers:
        return headers['caller']
    key = headers.get('authorization', '')
    if not key:
        return 'anonymous'
    digest = blake2b(key.encode(), digest_size=_CALLER_DIGEST_BYTES).hexdigest()
    return f'key-{digest}'
