"""Relays the stream of a back end to its caller, in complete events.

If the route allows it, a stream that breaks off is resumed within the same
answer: another back end of the same software version continues after the last
complete event, since what two versions write does not fit. Otherwise the
caller's connection is closed without the end of the body, so that a truncated
answer never looks complete.
"""

from collections.abc import Generator, Iterator
from functools import partial
from time import monotonic
from typing import Final

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    CANCELLED,
    DEADLINE_PASSED,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    OpenAnswer,
    complete_reply,
    release_connection,
)
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.event_stream import EventSplitter, StreamTiming
from trestle_entry.direct.model_dispatch import open_at_engine
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.plain_streams import open_at_service
from trestle_entry.direct.promises import check_promise
from trestle_entry.direct.replies import AbortedAnswerError, DirectReply
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_sends import note_broken, within_deadline
from trestle_entry.direct.stream_opens import (
    OpenAt,
    open_stream,
    release_places,
    reopen_stream,
)
from trestle_entry.direct.stream_run import StreamRun
from trestle_entry.direct.wire_types import AnswerHead, CallerRequest

# Outcome of a stream that reached its end.
_SERVED: Final = 'served'
_MS_PER_SECOND: Final = 1000


def serve_stream(
    context: DirectContext,
    request: CallerRequest,
    route_match: RouteMatch,
    trace: RequestTrace,
) -> DirectReply:
    """Return the stream of a back end, or its error answer.

    Raises `TrestleError`.
    """
    if route_match.service.engine:
        model_run = ModelRun(context, request, route_match, trace)
        return _serve(model_run, partial(open_at_engine, model_run))
    run = StreamRun(context, request, route_match, trace)
    return _serve(run, partial(open_at_service, run))


def _serve(run: StreamRun, open_at: OpenAt) -> DirectReply:
    opened = open_stream(run, open_at)
    if isinstance(opened, CompleteAnswer):
        return complete_reply(check_promise(run.route, opened))
    stream = RelayedStream(run, opened, open_at)
    head = stream.begin()
    return DirectReply(
        head.status, head.forwarded_headers, stream, logs_on_close=True
    )


class RelayedStream:
    """The body of a streamed answer.

    Nothing is sent to the caller before `begin` has returned, so that a failure
    until then is answered with an error. `close` ends the request at its back end
    and writes its log line.
    """

    def __init__(
        self, run: StreamRun, opened: OpenAnswer, open_at: OpenAt
    ) -> None:
        """Take ownership of an open answer; `open_at` resumes the stream."""
        self.run = run
        self.open_at = open_at
        self.opened: OpenAnswer | None = opened
        # A caller that disconnects ends the iteration without an error.
        self.outcome = CANCELLED.code
        self.timing = StreamTiming()
        self.head = opened.head
        self.events = self._events()
        self.first_events = b''
        self.relayed: Generator[bytes, None, None] | None = None

    def begin(self) -> AnswerHead:
        """Wait for the first events; return the head of the answer with them.

        Raises `TrestleError`.
        """
        try:
            with within_deadline(self.run):
                self.first_events = next(self.events, b'')
        except BaseException:
            self._release()
            raise
        return self.head

    def __iter__(self) -> Iterator[bytes]:
        """Yield complete events as they arrive."""
        self.relayed = self._relay()
        return self.relayed

    def close(self) -> None:
        """Close the back end's connection unless its answer was complete."""
        if self.relayed:
            # If the caller could not be written to, it has not ended yet.
            self.relayed.close()
            self._note_unread_end()
        self._release()
        trace = self.run.trace
        trace.fields.update(self.timing.fields(self.run.events.count))
        is_complete = self.outcome == _SERVED
        verdict = Verdict.RAN if is_complete else self.run.verdict
        self.run.context.log.write(trace, self.outcome, verdict.value)

    def _relay(self) -> Generator[bytes, None, None]:
        run = self.run
        try:
            with within_deadline(run), cancel_when_gone(run.request.socket):
                yield self.first_events
                yield from self.events
            self.outcome = _SERVED
        except TrestleError as error:
            self.outcome = error.code.code
            if isinstance(error, AbortedAnswerError | CallerGoneError):
                raise
            # The deadline, or a planned stop of this entry.
            raise _aborted(error.message) from error

    def _note_unread_end(self) -> None:
        """Tell an end by a limit from one by the caller.

        While a caller does not read, a limit ends the write of events, and not
        the wait for them.
        """
        if self.outcome != CANCELLED.code:
            return
        if self.run.remaining_ms <= 0:
            self.outcome = DEADLINE_PASSED.code
        elif self.run.context.planned_stop.is_over:
            self.outcome = ANSWER_INCOMPLETE.code

    def _release(self) -> None:
        if self.opened:
            self._note_paced(self.opened)
            self.opened.connection.close()
            self.opened = None
        release_places(self.run)

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
            events_before = events.count
            passed = self._split(opened)
            if events.count > events_before:
                self._note_events(opened)
            if passed:
                yield passed
            _check_sound(events)
            if answer.message_complete:
                break
            opened.connection.read_more(answer)
        left = events.finish()
        _check_sound(events)
        if left:
            yield left
        self._note_paced(opened)
        self.opened = None
        release_connection(self.run.context, opened)
        self.run.note_served(opened.backend.instance)

    def _split(self, opened: OpenAnswer) -> bytes:
        """Return the events that are complete now, as a part of the turn."""
        began_at = monotonic()
        passed = self.run.events.feed(opened.answer.drain_body())
        opened.connection.turn.note(began_at)
        return passed

    def _note_events(self, opened: OpenAnswer) -> None:
        if self.timing.note():
            self.run.trace.add('first event', opened.backend.software)
            self.run.note_first_event(opened.backend)

    def _note_paced(self, opened: OpenAnswer) -> None:
        """Tell how long the stream waited since its bytes cost much time."""
        waited_ms = round(
            opened.connection.turn.waited_seconds * _MS_PER_SECOND
        )
        if waited_ms:
            self.run.trace.fields['paced_ms'] = waited_ms

    def _resume(self, opened: OpenAnswer, error: BrokenAnswerError) -> None:
        run = self.run
        note_broken(run, opened.backend.instance, error)
        opened.connection.close()
        self.opened = None
        run.count_at('')
        if not run.may_run_again:
            raise _aborted(str(error)) from error
        run.events.go_on()
        try:
            self.opened = reopen_stream(self.open_at)
            self.head = self.opened.head
        except CallerGoneError:
            raise
        except TrestleError as failure:
            raise _aborted(failure.message) from failure
        run.context.metrics.count('streams_resumed')
        run.trace.add('resumed', f'after event {run.events.last_id or "none"}')


def _check_sound(events: EventSplitter) -> None:
    if events.fault:
        raise BrokenAnswerError(events.fault)


def _aborted(text: str) -> AbortedAnswerError:
    return AbortedAnswerError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
