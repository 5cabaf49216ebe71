"""One answer from one endpoint process, checked and resumed.

Every message must carry the permit and request id of this answer; another is
dropped and counted. Tokens are taken in order without gap or repeat. When the
link breaks, the stream is resumed at the next token on a new channel; the
endpoint process keeps what was not acknowledged.
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

_RESUME_TRIES: Final = 5
_RESUME_PAUSE_SECONDS: Final = 0.05
_ACK_TOKENS: Final = 64
_UNREACHABLE: Final = (ConnectionRefusedError, TimeoutError, Timeout)
# Made once: a union written out in the check would be built for each token.
_ANSWER_TYPES: Final = (AnswerTokens, AnswerEnd, AnswerFailed)


class AnswerFinish(NamedTuple):
    """The engine's finish marker."""

    total: int
    finish_reason: str
    kv_ticket: str


class AnswerStream:
    """Reads one dispatched answer; `next_token` is what comes next."""

    def __init__(
        self,
        context: EntryContext,
        link: Link,
        dispatch: DispatchCompletion,
        deadline: float,
    ) -> None:
        """Prepare to read; `deadline` is monotonic seconds."""
        self.context = context
        self.link = link
        self.dispatch = dispatch
        self.deadline = deadline
        self.next_token = dispatch.resume_from
        self.acknowledged = dispatch.resume_from
        self.finish: AnswerFinish | None = None
        self.channel: Channel | None = None
        self.overdue = False

    def batches(self) -> Iterator[list[str]]:
        """Dispatch and yield tokens until the finish marker.

        Raises `TrestleError`; `next_token` tells how far the answer came.
        Closing the iterator early cancels the work at the endpoint.
        """
        self.channel = self.link.open(self.dispatch)
        # One timer for the answer: a timeout for each of its messages would
        # cost more than the message.
        left = max(0.0, self.deadline - monotonic())
        timer = spawn_later(left, self._pass_deadline)
        try:
            yield from self._read_resuming()
        finally:
            timer.kill(block=False)
            self.channel.close()

    def _pass_deadline(self) -> None:
        self.overdue = True
        if self.channel:
            # Wakes the reader.
            self.channel.deliver(None)

    def _read_resuming(self) -> Iterator[list[str]]:
        tries = 0
        while self.finish is None:
            before = self.next_token
            try:
                yield from self._read_channel()
            except LinkDownError as error:
                tries = 1 if self.next_token > before else tries + 1
                self._resume(tries, error)

    def _read_channel(self) -> Iterator[list[str]]:
        while self.finish is None:
            body = self._receive()
            if isinstance(body, AnswerTokens):
                yield from self._take_tokens(body)
            elif isinstance(body, AnswerEnd):
                self._take_end(body)
            elif isinstance(body, AnswerFailed):
                raise TrestleError.from_wire(body.code, body.text, body.verdict)

    def _receive(self) -> Message:
        """Return the next message that belongs to this answer."""
        while True:
            body = self._receive_any()
            if self._is_own(body):
                return body
            self.context.metrics.count('answer_mismatches')

    def _receive_any(self) -> Message:
        assert self.channel is not None
        # A channel opened after the deadline would not be woken.
        body = None if self.overdue else self.channel.receive()
        if body is None and self.overdue:
            raise TrestleError(
                DEADLINE_PASSED, DEADLINE_TEXT, Verdict.MAY_HAVE_RUN
            )
        if body is None:
            raise _incomplete()
        return body

    def _is_own(self, body: Message) -> bool:
        return (
            isinstance(body, _ANSWER_TYPES)
            and body.request_id == self.dispatch.request_id
            and body.permit == self.dispatch.permit
        )

    def _in_order(self, body: AnswerTokens) -> list[str]:
        if body.first > self.next_token:
            raise _incomplete()
        # After a resume the endpoint may repeat what was on the way.
        tokens = body.tokens[self.next_token - body.first :]
        self.next_token += len(tokens)
        return tokens

    def _take_tokens(self, body: AnswerTokens) -> Iterator[list[str]]:
        tokens = self._in_order(body)
        if tokens:
            yield tokens
            self._acknowledge()

    def _take_end(self, body: AnswerEnd) -> None:
        if body.total != self.next_token:
            raise _incomplete()
        self.finish = AnswerFinish(
            body.total, body.finish_reason, body.kv_ticket
        )
        self._send_ack()

    def _acknowledge(self) -> None:
        if self.next_token - self.acknowledged >= _ACK_TOKENS:
            self._send_ack()

    def _send_ack(self) -> None:
        assert self.channel is not None
        self.acknowledged = self.next_token
        permit = self.dispatch.permit
        ack = AnswerAck(permit, self.dispatch.request_id, self.next_token)
        try:
            self.channel.send(ack)
        except LinkDownError:
            # The next read sees the loss and resumes.
            self.context.metrics.count('acks_lost')

    def _resume(self, tries: int, error: LinkDownError) -> None:
        if tries > _RESUME_TRIES or monotonic() > self.deadline:
            raise error
        self.context.metrics.count('retries', 'resume')
        sleep(_RESUME_PAUSE_SECONDS * tries)
        resume = AnswerResume(
            self.dispatch.permit, self.dispatch.request_id, self.next_token
        )
        try:
            self.channel = self.link.open(resume)
        except LinkDownError as failure:
            self.context.metrics.count('retries', 'resume-connect')
            # Nobody answers there: another endpoint goes on. After a reset
            # the next read fails at once and the resume is tried again.
            if isinstance(failure.__cause__, _UNREACHABLE):
                raise error from None


def _incomplete() -> TrestleError:
    return TrestleError(
        ANSWER_INCOMPLETE, INCOMPLETE_TEXT, Verdict.MAY_HAVE_RUN
    )
