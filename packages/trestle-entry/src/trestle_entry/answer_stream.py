"""Reads the answer to one dispatch from one endpoint process.

Every message must carry the permit and request id of this answer; any other
message is dropped and counted. Tokens are accepted in order, without gaps or
repeats. When the link breaks, the stream is resumed at the next token on a
new channel; the endpoint process buffers tokens until they are acknowledged.
"""

from collections.abc import Iterator
from time import monotonic
from typing import Final, NamedTuple

from gevent import Timeout, sleep, spawn_later

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    DEADLINE_PASSED,
)
from trestle_core.errors import TrestleError
from trestle_core.texts import ANSWER_INCOMPLETE as INCOMPLETE_TEXT
from trestle_core.texts import DEADLINE_PASSED as DEADLINE_TEXT
from trestle_core.verdict import Verdict
from trestle_entry.entry_context import EntryContext
from trestle_links.answer_messages import (
    AnswerAck,
    AnswerEnd,
    AnswerFailed,
    AnswerResume,
    AnswerTokens,
    DispatchCompletion,
)
from trestle_links.codec import Message
from trestle_links.connection import Channel, LinkDownError
from trestle_links.link import Link

_MAX_RESUME_ATTEMPTS: Final = 5
_RESUME_BACKOFF_SECONDS: Final = 0.05
_TOKENS_PER_ACK: Final = 64
_UNREACHABLE: Final = (ConnectionRefusedError, TimeoutError, Timeout)
# A tuple at module level: a union in the check would be built per message.
_ANSWER_TYPES: Final = (AnswerTokens, AnswerEnd, AnswerFailed)


class AnswerFinish(NamedTuple):
    """The end of an answer as the engine reported it."""

    total_tokens: int
    finish_reason: str
    kv_ticket: str


class AnswerStream:
    """The state of one dispatched answer.

    `next_token` is the index of the next expected token.
    """

    def __init__(
        self,
        context: EntryContext,
        link: Link,
        dispatch: DispatchCompletion,
        deadline: float,
    ) -> None:
        """Prepare the stream; `deadline` is monotonic seconds."""
        self.context = context
        self.link = link
        self.dispatch = dispatch
        self.deadline = deadline
        self.next_token = dispatch.resume_from
        self.acknowledged = dispatch.resume_from
        self.finish: AnswerFinish | None = None
        self.channel: Channel | None = None
        self.deadline_passed = False

    def batches(self) -> Iterator[list[str]]:
        """Dispatch the request and yield tokens until the answer ends.

        Raises `TrestleError`; `next_token` then counts the tokens received so
        far. Closing the iterator early cancels the work at the endpoint.
        """
        self.channel = self.link.open(self.dispatch)
        # One timer for the whole answer: a timeout per message would cost
        # more than handling the message.
        remaining_seconds = max(0.0, self.deadline - monotonic())
        timer = spawn_later(remaining_seconds, self._on_deadline)
        try:
            yield from self._read_with_resume()
        finally:
            timer.kill(block=False)
            self.channel.close()

    def _on_deadline(self) -> None:
        self.deadline_passed = True
        if self.channel:
            # Wake the greenlet that waits in `receive`.
            self.channel.deliver(None)

    def _read_with_resume(self) -> Iterator[list[str]]:
        attempts = 0
        while self.finish is None:
            previous_token = self.next_token
            try:
                yield from self._read_channel()
            except LinkDownError as error:
                attempts = (
                    1 if self.next_token > previous_token else attempts + 1
                )
                self._resume(attempts, error)

    def _read_channel(self) -> Iterator[list[str]]:
        while self.finish is None:
            message = self._receive()
            if isinstance(message, AnswerTokens):
                yield from self._accept_tokens(message)
            elif isinstance(message, AnswerEnd):
                self._accept_end(message)
            elif isinstance(message, AnswerFailed):
                raise TrestleError.from_wire(
                    message.code, message.text, message.verdict
                )

    def _receive(self) -> Message:
        """Return the next message of this answer; drop all others."""
        while True:
            message = self._receive_message()
            if self._matches_dispatch(message):
                return message
            self.context.metrics.count('answer_mismatches')

    def _receive_message(self) -> Message:
        assert self.channel is not None
        # Nothing wakes a receive on a channel opened after the deadline.
        message = None if self.deadline_passed else self.channel.receive()
        if message is None and self.deadline_passed:
            raise TrestleError(
                DEADLINE_PASSED, DEADLINE_TEXT, Verdict.MAY_HAVE_RUN
            )
        if message is None:
            raise _incomplete_answer()
        return message

    def _matches_dispatch(self, message: Message) -> bool:
        return (
            isinstance(message, _ANSWER_TYPES)
            and message.request_id == self.dispatch.request_id
            and message.permit == self.dispatch.permit
        )

    def _new_tokens(self, message: AnswerTokens) -> list[str]:
        if message.first > self.next_token:
            raise _incomplete_answer()
        # After a resume the endpoint may repeat tokens that were in transit.
        tokens = message.tokens[self.next_token - message.first :]
        self.next_token += len(tokens)
        return tokens

    def _accept_tokens(self, message: AnswerTokens) -> Iterator[list[str]]:
        tokens = self._new_tokens(message)
        if tokens:
            yield tokens
            self._acknowledge()

    def _accept_end(self, message: AnswerEnd) -> None:
        if message.total != self.next_token:
            raise _incomplete_answer()
        self.finish = AnswerFinish(
            message.total, message.finish_reason, message.kv_ticket
        )
        self._send_ack()

    def _acknowledge(self) -> None:
        if self.next_token - self.acknowledged >= _TOKENS_PER_ACK:
            self._send_ack()

    def _send_ack(self) -> None:
        assert self.channel is not None
        self.acknowledged = self.next_token
        permit = self.dispatch.permit
        ack = AnswerAck(permit, self.dispatch.request_id, self.next_token)
        try:
            self.channel.send(ack)
        except LinkDownError:
            # The next receive fails as well and starts a resume.
            self.context.metrics.count('acks_lost')

    def _resume(self, attempts: int, error: LinkDownError) -> None:
        if attempts > _MAX_RESUME_ATTEMPTS or monotonic() > self.deadline:
            raise error
        self.context.metrics.count('retries', 'resume')
        sleep(_RESUME_BACKOFF_SECONDS * attempts)
        resume = AnswerResume(
            self.dispatch.permit, self.dispatch.request_id, self.next_token
        )
        try:
            self.channel = self.link.open(resume)
        except LinkDownError as failure:
            self.context.metrics.count('retries', 'resume-connect')
            # An unreachable host ends the attempt, and another endpoint
            # continues the answer. After a reset the next receive fails
            # immediately and the resume is retried.
            if isinstance(failure.__cause__, _UNREACHABLE):
                raise error from None


def _incomplete_answer() -> TrestleError:
    return TrestleError(
        ANSWER_INCOMPLETE, INCOMPLETE_TEXT, Verdict.MAY_HAVE_RUN
    )
