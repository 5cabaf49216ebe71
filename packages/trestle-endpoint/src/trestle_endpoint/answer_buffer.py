"""Buffers the tokens of an answer until the entry acknowledges them.

Tokens are numbered over the whole answer. `next_to_send` is the next token to
send on the current channel; tokens below `first_kept` are acknowledged and
no longer stored.

Invariants: tokens are sent in order and once on each channel; an ending is
sent only after the last token; `AnswerEnd` is created only when the engine's
finish marker arrived at the expected token number.
"""

from time import monotonic

from gevent.event import Event

from trestle_core.errorcodes import ANSWER_INCOMPLETE
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_links.answer_messages import AnswerEnd, AnswerFailed, AnswerTokens
from trestle_links.connection import Channel, LinkDownError
from trestle_links.permit_messages import Permit

Ending = AnswerEnd | AnswerFailed


class AnswerBuffer:
    """The unacknowledged tokens and the ending of an answer."""

    def __init__(
        self, permit: Permit, request_id: str, first: int, limit_bytes: int
    ) -> None:
        """Start before token `first` without a channel."""
        self.permit = permit
        self.request_id = request_id
        self.limit_bytes = limit_bytes
        self.first_kept = first
        self.next_to_send = first
        self.tokens: list[str] = []
        self.buffered_bytes = 0
        self.has_room = Event()
        self.has_room.set()
        self.ending: Ending | None = None
        self.ending_sent = False
        self.ended_at = monotonic()
        self.channel: Channel | None = None
        self.attached = Event()
        self.is_flushing = False

    @property
    def total(self) -> int:
        """The number of tokens so far, including acknowledged ones."""
        return self.first_kept + len(self.tokens)

    def append(self, texts: list[str]) -> None:
        """Add consecutive tokens and send them.

        Blocks while the unacknowledged tokens exceed the size limit.
        """
        self.tokens.extend(texts)
        self.buffered_bytes += sum(map(len, texts))
        if self.buffered_bytes > self.limit_bytes:
            self.has_room.clear()
        self.flush()
        self.has_room.wait()

    def end(self, ending: Ending) -> None:
        """Set and send the ending of the answer; later calls are ignored."""
        if self.ending is None:
            self.ending = ending
            self.ended_at = monotonic()
            self.flush()

    def attach(self, channel: Channel, next_token: int) -> None:
        """Send the answer on a channel, starting with a token number.

        Raises `TrestleError` when that token is not in the buffer.
        """
        if not self.first_kept <= next_token <= self.total:
            raise TrestleError(
                ANSWER_INCOMPLETE,
                f'Token {next_token} is not in the answer buffer.',
                Verdict.MAY_HAVE_RUN,
            )
        self.acknowledge(next_token)
        self.next_to_send = next_token
        self.ending_sent = False
        self.channel = channel
        self.attached.set()
        self.flush()

    def detach(self, channel: Channel) -> None:
        """Stop sending on a channel whose link was lost."""
        if self.channel is channel:
            self.channel = None
            self.attached.clear()

    def acknowledge(self, next_token: int) -> None:
        """Remove the tokens below `next_token`."""
        count = min(next_token, self.total) - self.first_kept
        if count <= 0:
            return
        freed = self.tokens[:count]
        del self.tokens[:count]
        self.first_kept += count
        self.buffered_bytes -= sum(map(len, freed))
        if self.buffered_bytes <= self.limit_bytes:
            self.has_room.set()

    def is_delivered(self) -> bool:
        """Return whether the ending was sent and all tokens acknowledged."""
        return self.ending_sent and not self.tokens

    def flush(self) -> None:
        """Send the unsent tokens in one frame, then the ending."""
        # A send may block. Greenlets that call this meanwhile return, and
        # the running loop sends what they added.
        if self.is_flushing:
            return
        self.is_flushing = True
        try:
            while self.channel and self._has_unsent():
                self._send_next(self.channel)
        finally:
            self.is_flushing = False

    def _has_unsent(self) -> bool:
        unsent_ending = self.ending is not None and not self.ending_sent
        return self.next_to_send < self.total or unsent_ending

    def _send_next(self, channel: Channel) -> None:
        body = self._next_message()
        try:
            channel.send(body)
        except LinkDownError:
            self.detach(channel)

    def _next_message(self) -> AnswerTokens | Ending:
        first = self.next_to_send
        if self.ending and first == self.total:
            self.ending_sent = True
            return self.ending
        self.next_to_send = self.total
        unsent = self.tokens[first - self.first_kept :]
        return AnswerTokens(self.permit, self.request_id, first, unsent)
