"""HTTP calls and replies inside the entry process."""

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
KEY_HEADER: Final = 'idempotency-key'

_REASONS: Final = {
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


class HttpCall(NamedTuple):
    """One HTTP request of a caller, its body read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    caller: str
    socket: Any


class HttpReply(NamedTuple):
    """One HTTP answer; the body may be a stream."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    return f'{status} {_REASONS.get(status, "Status")}'


def json_reply(content: Any, *headers: tuple[str, str]) -> HttpReply:
    """Return a JSON answer with status 200."""
    return body_reply(STATUS_OK, encode(content), JSON_TYPE, *headers)


def text_reply(text: str) -> HttpReply:
    """Return a text answer with status 200."""
    return body_reply(STATUS_OK, text.encode(), TEXT_TYPE)


def body_reply(
    status: int,
    body: bytes,
    content_type: str,
    *headers: tuple[str, str],
) -> HttpReply:
    """Return an answer whose body is whole."""
    fixed = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    return HttpReply(status, [*fixed, *headers], [body])


def verdict_headers(request_id: str, verdict: Verdict) -> list[tuple[str, str]]:
    """Return the headers that every answer to a request carries."""
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


def error_reply(request_id: str, error: TrestleError) -> HttpReply:
    """Return the HTTP answer of an error."""
    headers = verdict_headers(request_id, error.verdict)
    body = encode(error_body(error))
    return body_reply(error.code.status, body, JSON_TYPE, *headers)
