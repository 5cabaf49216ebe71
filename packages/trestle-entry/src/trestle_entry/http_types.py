"""HTTP requests and responses of the entry process."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from msgspec.json import encode

from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict

JSON_TYPE: Final = 'application/json'
EVENT_STREAM_TYPE: Final = 'text/event-stream'
TEXT_TYPE: Final = 'text/plain; version=0.0.4'
STATUS_OK: Final = 200
SERVICES_PATH: Final = '/services/'
IDEMPOTENCY_KEY_HEADER: Final = 'idempotency-key'

_REASON_PHRASES: Final = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    413: 'Content Too Large',
    408: 'Request Timeout',
    421: 'Misdirected Request',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    499: 'Client Closed Request',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class HttpRequest(NamedTuple):
    """An HTTP request of a caller with its complete body."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    caller: str
    socket: Any


class HttpResponse(NamedTuple):
    """An HTTP response; the body may be a stream."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    return f'{status} {_REASON_PHRASES.get(status, "Status")}'


def json_response(content: Any, *headers: tuple[str, str]) -> HttpResponse:
    """Return a JSON response with status 200."""
    return body_response(STATUS_OK, encode(content), JSON_TYPE, *headers)


def text_response(text: str) -> HttpResponse:
    """Return a text response with status 200."""
    return body_response(STATUS_OK, text.encode(), TEXT_TYPE)


def body_response(
    status: int,
    body: bytes,
    content_type: str,
    *headers: tuple[str, str],
) -> HttpResponse:
    """Return a response that is not streamed."""
    content_headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    return HttpResponse(status, [*content_headers, *headers], [body])


def verdict_headers(request_id: str, verdict: Verdict) -> list[tuple[str, str]]:
    """Return the headers of every response to a request."""
    return [('X-Request-Id', request_id), ('Request-Verdict', verdict.value)]


def error_body(error: TrestleError) -> dict[str, Any]:
    """Return the JSON body of an error."""
    return {
        'error': {
            'code': error.code.code,
            'message': error.message,
            'type': error.code.code,
        },
        'code': error.code.code,
        'message': error.message,
        'verdict': error.verdict.value,
    }


def error_response(request_id: str, error: TrestleError) -> HttpResponse:
    """Return the HTTP response for an error."""
    headers = verdict_headers(request_id, error.verdict)
    body = encode(error_body(error))
    return body_response(error.code.status, body, JSON_TYPE, *headers)
