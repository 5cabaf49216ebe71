"""Sends single requests to back ends and reads complete answers or heads.

A send has one of three results: an answer, `NotSentError` if no byte of the
request was sent, or `BrokenAnswerError` if the request may have run. An answer
with `AnswerHead.is_declined` reports that the back end did not run it.
"""

from time import monotonic
from typing import Final, NamedTuple

from trestle_core.logs import part_logger
from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BackendConnection,
    BrokenAnswerError,
    WithheldError,
    encode_head,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.replies import DirectReply
from trestle_entry.direct.wire_types import (
    MULTIPLE_CHOICES,
    OK,
    AnswerHead,
    CallerRequest,
    SendOptions,
)
from trestle_links.direct_messages import Backend

_MS_PER_SECOND: Final = 1000

_log = part_logger('fleet')


class OpenAnswer(NamedTuple):
    """An answer whose head has been read."""

    connection: BackendConnection
    answer: BackendAnswer
    head: AnswerHead
    backend: Backend


class CompleteAnswer(NamedTuple):
    """An answer with its complete body."""

    head: AnswerHead
    body: bytes


def remaining_ms(deadline: float) -> int:
    """Return the time until a deadline in ms, at least 1."""
    return max(1, int((deadline - monotonic()) * _MS_PER_SECOND))


def open_answer(
    context: DirectContext,
    request: CallerRequest,
    backend: Backend,
    options: SendOptions,
    *,
    at_most_once: bool,
) -> OpenAnswer:
    """Send a request and read the head of its answer.

    Raises `NotSentError`, as `WithheldError` if the back end wants no requests,
    or `BrokenAnswerError`.
    """
    _check_wanted(context, backend)
    seconds = request.deadline - monotonic()
    connection = context.pool.acquire(
        backend.address,
        backend.instance,
        max(seconds, 0.01),
        at_most_once=at_most_once,
        request_id=request.request_id,
    )
    try:
        return _exchange(context, request, backend, options, connection)
    except BaseException:
        connection.close()
        raise


def read_answer(context: DirectContext, opened: OpenAnswer) -> CompleteAnswer:
    """Read the rest of an answer and keep its connection if reusable.

    Raises `BrokenAnswerError`.
    """
    try:
        body = opened.connection.read_body(opened.answer)
    except BaseException:
        opened.connection.close()
        raise
    release_connection(context, opened)
    return CompleteAnswer(opened.head, body)


def complete_reply(answer: CompleteAnswer) -> DirectReply:
    """Return a back end's complete answer as the reply to the caller."""
    length = ('Content-Length', str(len(answer.body)))
    headers = [*answer.head.forwarded_headers, length]
    return DirectReply(answer.head.status, headers, [answer.body])


def release_connection(context: DirectContext, opened: OpenAnswer) -> None:
    """Keep the connection of a complete answer, or close it."""
    head = opened.head
    connection = opened.connection
    if head.closes_connection or not connection.is_reusable(opened.answer):
        connection.close()
        return
    context.pool.release(connection, head.idle_seconds)


def _exchange(
    context: DirectContext,
    request: CallerRequest,
    backend: Backend,
    options: SendOptions,
    connection: BackendConnection,
) -> OpenAnswer:
    wire = context.backend_wire
    head_bytes = encode_head(
        request.method,
        request.target,
        request.host,
        wire.send_headers(request, options),
        len(request.body),
    )
    # Connecting takes time, in which the news may have come.
    _check_wanted(context, backend)
    sent_at = monotonic()
    connection.send(head_bytes, request.body)
    answer, head = _read_own_head(context, request, connection, backend)
    connection.answered_ids.append(request.request_id)
    context.loads.rate_limits.note_named(
        backend.instance, head.rate_limit, sent_at
    )
    _check_head(head, options)
    return OpenAnswer(connection, answer, head, backend)


def _read_own_head(
    context: DirectContext,
    request: CallerRequest,
    connection: BackendConnection,
    backend: Backend,
) -> tuple[BackendAnswer, AnswerHead]:
    """Read the head of the request's answer; pass over earlier ones.

    Nothing of an answer is believed before it is known whose it is. One without
    a request id may be that of any request of its connection.
    """
    answer = BackendAnswer(request.method)
    while True:
        connection.read_head(answer)
        head = context.backend_wire.read_head(
            answer.status, answer.header_list()
        )
        is_own = head.request_id == request.request_id
        is_first = not head.request_id and not connection.answered_ids
        is_repeated = head.request_id in connection.answered_ids
        if not (is_own or is_first or is_repeated):
            raise BrokenAnswerError('the answer belongs to another request')
        context.note_said(backend, head)
        if is_own or is_first:
            return answer, head
        context.metrics.count('repeated_answers')
        _log.info(
            '{} wrote its answer to {} once more.',
            connection.instance,
            head.request_id,
        )
        answer = connection.pass_over(answer)


def _check_wanted(context: DirectContext, backend: Backend) -> None:
    """Raise `WithheldError` if a back end wants no requests.

    The request was planned, and its prompt may have been prefilled, before.
    """
    reason = context.fleet.refusal(backend.instance)
    if reason:
        context.metrics.count('sends_withheld', reason)
        raise WithheldError(f'the back end is {reason}')


def _check_head(head: AnswerHead, options: SendOptions) -> None:
    if head.is_declined:
        return
    is_success = OK <= head.status < MULTIPLE_CHOICES
    if not is_success or options.is_prefill:
        return
    if not head.is_sealed or not head.request_id:
        raise BrokenAnswerError('a successful answer has no seal or request id')
    if head.is_encoded:
        raise BrokenAnswerError('the answer body has a content encoding')
