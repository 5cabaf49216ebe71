"""Answers of direct entries, and errors that are turned into answers."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from msgspec.json import encode

from trestle_core.errorcodes import ErrorCode
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.wire_types import (
    BAD_GATEWAY,
    UNAUTHORIZED,
    UNAVAILABLE,
    CallerWire,
    Headers,
)

DEFAULT_RETRY_AFTER_SECONDS: Final = 0.2
# Statuses that callers take for proof that nothing ran nor will.
PROMISES: Final = frozenset((408, 421, 429, 503))


class DirectReply(NamedTuple):
    """An answer to a caller; the body may be a stream.

    With `logs_on_close`, the body writes the request's log line when closed.
    """

    status: int
    headers: Headers
    body: Iterable[bytes]
    logs_on_close: bool = False


class RefusedError(TrestleError):
    """The request did not run and will not; the caller may retry it."""

    def __init__(
        self,
        code: ErrorCode,
        reason: str,
        retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
    ) -> None:
        """Set the seconds after which the caller may retry."""
        super().__init__(code, reason, Verdict.NOT_RUN)
        self.retry_after = retry_after


class AbortedAnswerError(TrestleError):
    """A started answer cannot be completed; its connection must be closed."""


def error_answer(
    wire: CallerWire, request_id: str, error: TrestleError
) -> DirectReply:
    """Return the answer that reports an error.

    The statuses 408, 421, 429 and 503 promise that nothing ran, so an error
    without that verdict never gets one.
    """
    status = error.code.status
    headers = wire.own_headers(request_id)
    if status in PROMISES and error.verdict is not Verdict.NOT_RUN:
        status = BAD_GATEWAY
    if status == UNAVAILABLE:
        seconds = getattr(error, 'retry_after', DEFAULT_RETRY_AFTER_SECONDS)
        headers.append(wire.retry_after(seconds))
    if status == UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    body = encode({'code': error.code.code, 'message': error.message})
    headers.append(('Content-Type', 'application/json'))
    headers.append(('Content-Length', str(len(body))))
    return DirectReply(status, headers, [body])
