"""Relays the stream of an engine to its caller, whole events at a time.

Where the route lets a stream go on elsewhere, a break is mended within the
same answer: another engine goes on after the last whole event. Otherwise the
caller's connection ends without the end of the body, so that an answer which
is not whole never looks complete.
"""

from collections.abc import Iterator
from time import monotonic
from typing import Final

from gevent import Timeout

from trestle_core.errorcodes import ANSWER_INCOMPLETE, DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.direct.backend_calls import (
    OpenAnswer,
    WholeAnswer,
    give_back,
    whole_reply,
)
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.direct_context import DirectContext, Matched
from trestle_entry.direct.model_dispatch import open_stream, reopen_stream
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.replies import AbortedAnswerError, DirectReply
from trestle_entry.direct.request_log import RequestStory
from trestle_entry.direct.wire_types import CallerRequest

_MS_PER_SECOND: Final = 1000
# Outcome of a stream that reached its end.
_SERVED: Final = 'served'


def serve_model(
    context: DirectContext,
    request: CallerRequest,
    matched: Matched,
    story: RequestStory,
) -> DirectReply:
    """Return the stream of an engine; raises `TrestleError`."""
    run = ModelRun(context, request, matched, story)
    try:
        opened = open_stream(run)
    except BaseException:
        run.count_at('')
        raise
    if isinstance(opened, WholeAnswer):
        return whole_reply(opened)
    return DirectReply(
        opened.head.status,
        opened.head.passed_on,
        RelayedStream(run, opened),
        logs_itself=True,
    )


class RelayedStream:
    """The body of a streamed answer.

    `close` ends what still runs and writes the request's line.
    """

    def __init__(self, run: ModelRun, opened: OpenAnswer) -> None:
        """Own an open answer."""
        self.run = run
        self.opened: OpenAnswer | None = opened
        self.outcome = 'caller-gone'
        self.last_event_at = 0.0
        self.longest_pause = 0.0

    def __iter__(self) -> Iterator[bytes]:
        """Yield whole events as they come."""
        limit = Timeout.start_new(
            max(0.001, self.run.request.deadline - monotonic())
        )
        try:
            with cancel_when_gone(self.run.request.socket):
                yield from self._events()
            self.outcome = _SERVED
        except Timeout as error:
            if error is not limit:
                raise
            self.outcome = DEADLINE_PASSED.code
            raise _aborted('the deadline passed') from error
        except TrestleError as error:
            self.outcome = error.code.code
            raise
        finally:
            limit.close()

    def close(self) -> None:
        """Drop the engine's connection unless its answer was whole."""
        if self.opened:
            self.opened.connection.close()
            self.opened = None
        self.run.count_at('')
        story = self.run.story
        story.fields.update(self._pauses())
        is_whole = self.outcome == _SERVED
        verdict = Verdict.RAN if is_whole else self.run.verdict
        self.run.context.log.write(story, self.outcome, verdict.value)

    def _events(self) -> Iterator[bytes]:
        while self.opened:
            try:
                yield from self._events_of(self.opened)
            except BrokenAnswerError as error:
                self._resume(self.opened, error)

    def _events_of(self, opened: OpenAnswer) -> Iterator[bytes]:
        events = self.run.events
        answer = opened.answer
        while True:
            whole = events.feed(answer.take_body())
            if whole:
                self._note_events()
                yield whole
            if answer.message_complete:
                break
            opened.connection.read_more(answer)
        if events.tail:
            raise BrokenAnswerError('the stream ended early')
        self.opened = None
        give_back(self.run.context, opened)
        self.run.context.fleet.note_served(opened.backend.instance)

    def _note_events(self) -> None:
        now = monotonic()
        if self.run.delivered:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        else:
            self.run.delivered = True
            self.run.story.add('first event')
        self.last_event_at = now

    def _pauses(self) -> dict[str, int]:
        """Return how the stream went: events, longest and last pause in ms."""
        if not self.run.delivered:
            return {}
        last = monotonic() - self.last_event_at
        return {
            'events': self.run.events.count,
            'longest_pause_ms': round(self.longest_pause * _MS_PER_SECOND),
            'last_event_ago_ms': round(last * _MS_PER_SECOND),
        }

    def _resume(self, opened: OpenAnswer, error: BrokenAnswerError) -> None:
        run = self.run
        instance = opened.backend.instance
        run.story.add('broken', f'{instance}: {error}')
        opened.connection.close()
        self.opened = None
        run.count_at('')
        run.note_end(instance, str(error))
        run.avoided.add(instance)
        if not run.may_run_again:
            raise _aborted(str(error)) from error
        run.events.tail = b''
        try:
            self.opened = reopen_stream(run)
        except CallerGoneError:
            raise
        except TrestleError as failure:
            raise _aborted(failure.message) from failure
        run.context.metrics.count('streams_resumed')
        run.story.add('resumed', f'after event {run.events.last_id or "none"}')


def _aborted(text: str) -> AbortedAnswerError:
    return AbortedAnswerError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
