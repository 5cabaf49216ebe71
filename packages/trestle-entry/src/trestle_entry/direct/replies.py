"""Answers of direct entries, and the errors that become one."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from msgspec.json import encode

from trestle_core.errorcodes import ErrorCode
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.wire_types import (
    BAD_GATEWAY,
    UNAVAILABLE,
    CallerWire,
    Headers,
)

DEFAULT_RETRY_AFTER_SECONDS: Final = 0.2


class DirectReply(NamedTuple):
    """An answer to a caller; the body may be a stream.

    One that `logs_itself` writes the request's line when its body ends.
    """

    status: int
    headers: Headers
    body: Iterable[bytes]
    logs_on_close: bool = False


class RefusedError(TrestleError):
    """A request that did not run and will not; it may come back."""

    def __init__(
        self,
        code: ErrorCode,
        reason: str,
        retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
    ) -> None:
        """Set when to come back, in seconds."""
        super().__init__(code, reason, Verdict.NOT_RUN)
        self.retry_after = retry_after


class AbortedAnswerError(TrestleError):
    """An answer that began cannot be finished: its connection must end."""


def error_answer(
    wire: CallerWire, request_id: str, error: TrestleError
) -> DirectReply:
    """Return the answer of an error.

    The statuses 408, 421, 429 and 503 promise that nothing ran, so an error
    without that verdict never gets one.
    """
    status = error.code.status
    headers = wire.own_headers(request_id)
    if status == UNAVAILABLE:
        if error.verdict is not Verdict.NOT_RUN:
            status = BAD_GATEWAY
        else:
            seconds = getattr(error, 'retry_after', DEFAULT_RETRY_AFTER_SECONDS)
            headers.append(wire.retry_after(seconds))
    body = encode({'code': error.code.code, 'message': error.message})
    headers.append(('Content-Type', 'application/json'))
    headers.append(('Content-Length', str(len(body))))
    return DirectReply(status, headers, [body])
