"""Runs one completion on the engine, up to its finish marker.

Events with another request's id or a token number below the next one are
dropped and counted. A gap, or an end without a finish marker, is a failure:
such an answer is never reported as complete.
"""

from collections.abc import Iterator
from contextlib import closing, contextmanager
from time import monotonic
from typing import Final, NamedTuple

from gevent import Timeout, spawn

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    ENGINE_CRASHED,
    KV_UNAVAILABLE,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.verdict import Verdict
from trestle_endpoint.answer_buffer import AnswerBuffer
from trestle_endpoint.engine_interface import (
    EngineAdapter,
    EngineCompletion,
    EngineStream,
    EngineToken,
)
from trestle_endpoint.engine_monitor import EngineMonitor
from trestle_endpoint.permits import WorkItem
from trestle_endpoint.prefix_cache import PrefixCache
from trestle_endpoint.slot_scheduler import SlotScheduler
from trestle_endpoint.wait_estimate import (
    NOTHING_AHEAD,
    WaitEstimate,
    measure_occupancy,
)
from trestle_links.answer_messages import AnswerEnd, DispatchCompletion

_AFTER_FINISH_TIMEOUT_SECONDS: Final = 0.5

_log = part_logger('answers')


class EngineRunParts(NamedTuple):
    """The components that a run on the engine uses."""

    engine: EngineAdapter
    monitor: EngineMonitor
    cache: PrefixCache
    slots: SlotScheduler
    estimate: WaitEstimate
    metrics: Metrics


class EngineRun:
    """The progress of one completion on the engine."""

    def __init__(
        self,
        parts: EngineRunParts,
        work: WorkItem,
        answer: AnswerBuffer,
        dispatch: DispatchCompletion,
    ) -> None:
        """Prepare the run; nothing is sent yet."""
        self.parts = parts
        self.work = work
        self.answer = answer
        self.dispatch = dispatch
        permit = work.permit
        # A caller may reuse a request id; the id on the engine is unique.
        self.engine_request_id = '.'.join(
            (dispatch.request_id, permit.incarnation, str(permit.serial))
        )
        # True as soon as a byte may have reached the engine.
        self.sent = False
        self.began_at = monotonic()
        self.first_token_at = 0.0
        self.work_ahead = NOTHING_AHEAD
        self.next_token = dispatch.resume_from

    def run(self) -> None:
        """Run the completion in the slot that the work has acquired.

        Raises `TrestleError`. Unless the completion finishes, the request on
        the engine is cancelled.
        """
        dispatch = self.dispatch
        ticket = self._import_ticket(dispatch.kv_ticket)
        self._begin_request()
        is_complete = False
        try:
            self._stream(ticket)
            is_complete = True
        finally:
            if is_complete:
                self.parts.monitor.end_request(self.engine_request_id)
            else:
                spawn(_cancel, self.parts, self.engine_request_id)

    def _begin_request(self) -> None:
        parts = self.parts
        priority = self.work.demand.priority
        # The running work includes this one.
        self.work_ahead = measure_occupancy(
            priority, parts.slots.running.values(), ()
        )
        self.began_at = monotonic()
        parts.monitor.begin_request(
            self.engine_request_id,
            self.dispatch.request_id,
            self.dispatch.content_digest,
        )

    def _stream(self, ticket: str) -> None:
        dispatch = self.dispatch
        completion = EngineCompletion(
            request_id=self.engine_request_id,
            model=dispatch.model,
            prompt=dispatch.prompt,
            max_tokens=dispatch.max_tokens,
            priority=dispatch.priority,
            resume_from=dispatch.resume_from,
            adapter=dispatch.adapter,
            kv_ticket=ticket,
        )
        self.sent = True
        with self._crash_detection():
            stream = self.parts.engine.complete(completion)
            with closing(stream):
                self._read(stream)

    @contextmanager
    def _crash_detection(self) -> Iterator[None]:
        try:
            yield
        except TrestleError as error:
            if error.verdict is Verdict.NOT_RUN:
                self.sent = False
            if error.code is ENGINE_CRASHED:
                self._check_crash()
            raise

    def _check_crash(self) -> None:
        monitor = self.parts.monitor
        if self.engine_request_id in monitor.running:
            monitor.check(monotonic())

    def _read(self, stream: EngineStream) -> None:
        finish = None
        for batch in stream.batches:
            finish = self._process_batch(batch)
            if finish:
                break
        if finish is None:
            raise _incomplete_error('The engine sent no finish marker.')
        self._finish(finish)
        self._drain_after_finish(stream)

    def _process_batch(self, batch: list[EngineToken]) -> EngineToken | None:
        texts = []
        finish = None
        for token in batch:
            if token.request_id != self.engine_request_id:
                self._drop('crossed-id')
            elif finish:
                self._drop('after-finish')
            elif token.finish_reason:
                finish = token
            elif self._is_next(token):
                texts.append(token.text)
                self.next_token += 1
        if texts:
            self._record_first_token()
            self.answer.append(texts)
        return finish

    def _is_next(self, token: EngineToken) -> bool:
        if token.number > self.next_token:
            raise _incomplete_error(f'Token {self.next_token} is missing.')
        if token.number < self.next_token:
            self._drop('repeated-token')
            return False
        return True

    def _record_first_token(self) -> None:
        if self.work.is_prefilled:
            return
        self.work.is_prefilled = True
        self.parts.cache.add_prefilled(self.work.demand.pieces)
        # Prompts that waited for this prefix may start now.
        self.parts.slots.schedule()
        self.first_token_at = monotonic()
        seconds = self.first_token_at - self.began_at
        self.parts.estimate.record_first_token(self.work_ahead, seconds)
        self.parts.metrics.observe_seconds('engine_first_token', seconds)

    def _finish(self, finish: EngineToken) -> None:
        if finish.number != self.next_token:
            raise _incomplete_error(
                'The finish marker has the wrong token number.'
            )
        ending = AnswerEnd(
            permit=self.work.permit,
            request_id=self.dispatch.request_id,
            total=self.next_token,
            finish_reason=finish.finish_reason or '',
            kv_ticket=self._export_ticket(),
        )
        self.parts.metrics.count('answers', 'whole')
        self.parts.estimate.record_stream(
            self.next_token - self.dispatch.resume_from - 1,
            monotonic() - self.first_token_at,
        )
        self.answer.end(ending)

    def _drain_after_finish(self, stream: EngineStream) -> None:
        # The answer is complete; any further events are dropped and counted.
        try:
            with Timeout(_AFTER_FINISH_TIMEOUT_SECONDS):
                for batch in stream.batches:
                    for _ in batch:
                        self._drop('after-finish')
        except (Timeout, TrestleError) as error:
            _log.debug('The stream did not end cleanly: {}.', error)

    def _drop(self, reason: str) -> None:
        self.parts.metrics.count('engine_events_dropped', reason)

    def _import_ticket(self, ticket: str) -> str:
        if not ticket:
            return ''
        try:
            imported = self.parts.engine.import_kv(ticket)
        except OSError:
            imported = False
        label = 'imported' if imported else 'missed'
        self.parts.metrics.count('kv_imports', label)
        if not imported:
            # A decode engine is slow at prefill, so the entry has to choose
            # another engine for a new prefill.
            raise TrestleError(KV_UNAVAILABLE)
        return ticket

    def _export_ticket(self) -> str:
        if self.work.demand.phase != 'prefill':
            return ''
        try:
            return self.parts.engine.export_kv(self.engine_request_id)
        except OSError:
            self.parts.metrics.count('kv_exports', 'failed')
            return ''


def _cancel(parts: EngineRunParts, engine_request_id: str) -> None:
    try:
        parts.engine.cancel(engine_request_id)
    except OSError:
        # If the engine cannot be reached, there is nothing to cancel.
        parts.metrics.count('engine_cancels', 'failed')
    else:
        parts.metrics.count('engine_cancels', 'sent')
    finally:
        # This request may have caused a crash that is not detected yet.
        parts.monitor.mark_uncertain(engine_request_id)


def _incomplete_error(text: str) -> TrestleError:
    return TrestleError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
