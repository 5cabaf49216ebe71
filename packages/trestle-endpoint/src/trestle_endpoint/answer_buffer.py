"""One answer on its way to the entry: kept until it is acknowledged.

Tokens are numbered over the whole answer. `next_to_send` is the next token to
send on the present channel; tokens below `first_kept` are acknowledged and gone.

Invariants: tokens leave in order and once on each channel; an ending is sent
only after the last token; `AnswerEnd` exists only when the engine's finish
marker came at the right token.
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
    """The unacknowledged tokens of an answer and its ending."""

    def __init__(
        self, permit: Permit, request_id: str, first: int, limit_bytes: int
    ) -> None:
        """Start before token `first`; attached to no channel yet."""
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
        """The number of tokens so far, counted over the whole answer."""
        return self.first_kept + len(self.tokens)

    def append(self, texts: list[str]) -> None:
        """Add consecutive tokens and send them; blocks at the limit."""
        self.tokens.extend(texts)
        self.buffered_bytes += sum(map(len, texts))
        if self.buffered_bytes > self.limit_bytes:
            self.has_room.clear()
        self.flush()
        self.has_room.wait()

    def end(self, ending: Ending) -> None:
        """Set how the answer ended, once, and send it."""
        if self.ending is None:
            self.ending = ending
            self.ended_at = monotonic()
            self.flush()

    def attach(self, channel: Channel, next_token: int) -> None:
        """Send on this channel from a token on.

        Raises `TrestleError` when that token is not here.
        """
        if not self.first_kept <= next_token <= self.total:
            raise TrestleError(
                ANSWER_INCOMPLETE,
                f'Token {next_token} is not kept.',
                Verdict.MAY_HAVE_RUN,
            )
        self.acknowledge(next_token)
        self.next_to_send = next_token
        self.ending_sent = False
        self.channel = channel
        self.attached.set()
        self.flush()

    def detach(self, channel: Channel) -> None:
        """Stop sending on a channel that was lost."""
        if self.channel is channel:
            self.channel = None
            self.attached.clear()

    def acknowledge(self, next_token: int) -> None:
        """Free the tokens below `next_token`."""
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
        """Tell whether the ending was sent and every token acknowledged."""
        return self.ending_sent and not self.tokens

    def flush(self) -> None:
        """Send what waits, all tokens in one frame."""
        # A send may block; whoever comes meanwhile leaves it to this loop.
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
