"""Dispatches completions to the engine and delivers their answers.

A runner greenlet runs the completion on the engine and fills the answer
buffer; the handler greenlet of the channel receives the acknowledgements.
When the link breaks, the answer is kept for `RESUME_TIMEOUT_SECONDS` so that
the entry can send `AnswerResume`. When the entry closes the channel, its
caller has disconnected and the request on the engine is cancelled.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import Greenlet, Timeout, spawn

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    DEADLINE_PASSED,
    INTERNAL,
    QUARANTINED,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.texts import DEADLINE_PASSED as DEADLINE_TEXT
from trestle_core.texts import QUARANTINED as QUARANTINED_TEXT
from trestle_core.verdict import Verdict
from trestle_endpoint.answer_buffer import AnswerBuffer
from trestle_endpoint.engine_run import EngineRun, EngineRunParts
from trestle_endpoint.permits import PermitTable, WorkItem
from trestle_endpoint.suspect_contents import SuspectContents
from trestle_links.answer_messages import (
    AnswerAck,
    AnswerFailed,
    AnswerResume,
    DispatchCompletion,
)
from trestle_links.codec import Message
from trestle_links.connection import (
    CallTimeoutError,
    Channel,
    LinkDownError,
)
from trestle_links.permit_messages import Permit

RESUME_TIMEOUT_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000

_log = part_logger('answers')


class Delivery(NamedTuple):
    """An answer buffer and the greenlet that fills it."""

    answer: AnswerBuffer
    runner: 'Greenlet[..., None]'


class CompletionDispatcher:
    """Runs completions and delivers their answers, keyed by permit serial."""

    def __init__(
        self,
        parts: EngineRunParts,
        permits: PermitTable,
        contents: SuspectContents,
        buffer_bytes: int,
    ) -> None:
        """Start with no completions."""
        self.parts = parts
        self.permits = permits
        self.contents = contents
        self.buffer_bytes = buffer_bytes
        self.deliveries: dict[int, Delivery] = {}

    def dispatch(self, body: DispatchCompletion, channel: Channel) -> None:
        """Start a completion and deliver its answer on a channel.

        Raises `TrestleError` when the completion was not started.
        """
        if self.contents.is_quarantined(body.content_digest):
            self.permits.return_unused(body.permit)
            raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
        work = self.permits.use(body.permit, body.request_id)
        work.content = body.content_digest
        answer = AnswerBuffer(
            body.permit, body.request_id, body.resume_from, self.buffer_bytes
        )
        runner = spawn(self._run, work, answer, body)
        delivery = Delivery(answer, runner)
        self.deliveries[body.permit.serial] = delivery
        answer.attach(channel, body.resume_from)
        self._serve_channel(delivery, channel)

    def resume(self, body: AnswerResume, channel: Channel) -> None:
        """Continue delivering an answer on another channel.

        Raises `TrestleError` when the answer is no longer available.
        """
        delivery = self._delivery_of(body.permit, body.request_id)
        if delivery is None:
            self.parts.metrics.count('answer_resumes', 'unknown')
            raise TrestleError(
                ANSWER_INCOMPLETE,
                'The answer is no longer available.',
                Verdict.MAY_HAVE_RUN,
            )
        delivery.answer.attach(channel, body.next_token)
        self.parts.metrics.count('answer_resumes', 'resumed')
        self._serve_channel(delivery, channel)

    def _delivery_of(self, permit: Permit, request_id: str) -> Delivery | None:
        delivery = self.deliveries.get(permit.serial)
        if delivery is None or delivery.answer.permit != permit:
            return None
        return delivery if delivery.answer.request_id == request_id else None

    def _serve_channel(self, delivery: Delivery, channel: Channel) -> None:
        answer = delivery.answer
        try:
            self._receive_acks(answer, channel)
        except LinkDownError:
            answer.detach(channel)
            if answer.attached.wait(RESUME_TIMEOUT_SECONDS):
                # Another channel has resumed the answer.
                return
            self.parts.metrics.count('answers_abandoned', 'link-down')
        if answer.channel is None or answer.channel is channel:
            self._end_delivery(delivery)

    def _receive_acks(self, answer: AnswerBuffer, channel: Channel) -> None:
        while not answer.is_delivered():
            try:
                body = channel.receive(RESUME_TIMEOUT_SECONDS)
            except CallTimeoutError:
                if _is_ack_overdue(answer):
                    return
                continue
            if body is None:
                return
            self._process_ack(answer, body)

    def _process_ack(self, answer: AnswerBuffer, body: Message) -> None:
        if (
            isinstance(body, AnswerAck)
            and body.permit == answer.permit
            and body.request_id == answer.request_id
        ):
            answer.acknowledge(body.next_token)
            return
        self.parts.metrics.count('acks_dropped', 'crossed-id')

    def _end_delivery(self, delivery: Delivery) -> None:
        self.deliveries.pop(delivery.answer.permit.serial, None)
        if delivery.answer.ending is None:
            self.parts.metrics.count('answers_abandoned', 'entry-closed')
            delivery.runner.kill(block=False)

    def _run(
        self, work: WorkItem, answer: AnswerBuffer, body: DispatchCompletion
    ) -> None:
        run = EngineRun(self.parts, work, answer, body)
        timeout_seconds = body.left_ms / _MS_PER_SECOND
        try:
            self._run_with_deadline(monotonic() + timeout_seconds, run)
        except TrestleError as error:
            self._fail(run, error)
        except Exception:
            _log.exception('Completion {} failed.', body.request_id)
            self._fail(
                run, TrestleError(INTERNAL, verdict=_failure_verdict(run))
            )
        finally:
            # A killed runner gets here too; its permit stays unusable.
            self.permits.forget(work)

    def _run_with_deadline(self, deadline: float, run: EngineRun) -> None:
        work = run.work
        slots = self.parts.slots
        slots.acquire(work, deadline - monotonic())
        acquired_at = monotonic()
        try:
            with Timeout(deadline - acquired_at):
                self._run_unless_quarantined(run)
        except Timeout as error:
            raise TrestleError(
                DEADLINE_PASSED, DEADLINE_TEXT, _failure_verdict(run)
            ) from error
        finally:
            self.parts.estimate.record_run(
                work.demand, monotonic() - acquired_at
            )
            slots.release(work)

    def _run_unless_quarantined(self, run: EngineRun) -> None:
        # The content may have been quarantined while the work waited, and a
        # crash whose report is still pending may yet quarantine it.
        content = run.work.content
        if self.contents.is_suspect(content):
            self.contents.wait_for_reports()
            self._run_suspect(run)
            return
        if self.contents.is_quarantined(content):
            raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
        run.run()
        # The content may have become a suspect while it ran.
        self.contents.clear_if_suspect(content, run.dispatch.request_id)

    def _run_suspect(self, run: EngineRun) -> None:
        content = run.work.content
        self.contents.acquire_hold(content)
        try:
            run.run()
        finally:
            self.contents.release_hold(content)
        self.contents.clear_if_suspect(content, run.dispatch.request_id)

    def _fail(self, run: EngineRun, error: TrestleError) -> None:
        self.parts.metrics.count('answers_failed', error.code.code)
        body = run.dispatch
        failed = AnswerFailed(
            permit=body.permit,
            request_id=body.request_id,
            total=run.next_token,
            code=error.code.code,
            text=error.message,
            verdict=error.verdict,
        )
        run.answer.end(failed)


def _failure_verdict(run: EngineRun) -> Verdict:
    return Verdict.MAY_HAVE_RUN if run.sent else Verdict.NOT_RUN


def _is_ack_overdue(answer: AnswerBuffer) -> bool:
    # The ending was sent, but the entry neither acknowledged all tokens nor
    # closed the channel.
    elapsed_seconds = monotonic() - answer.ended_at
    return answer.ending_sent and elapsed_seconds > RESUME_TIMEOUT_SECONDS
