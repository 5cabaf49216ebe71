"""Dispatches service calls, at most once for each permit.

A dispatch uses the permit, calls the service, records the outcome, commits it
to the control state if the call is claimed, and forgets the permit. A claimed
call waits for the service beyond the caller's deadline: an operation that
answers late is then recorded as `ran`, and a resend gets that answer rather
than an outcome that stays unknown.

Invariants: a used permit of a claimed call is retained until the control
state has replied to its outcome; a repeated dispatch waits for the first one
and starts nothing.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import spawn

from trestle_core.errorcodes import (
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.verdict import Verdict
from trestle_endpoint.permits import PermitTable, WorkItem
from trestle_endpoint.service_adapter import ServiceAdapter, ServiceCall
from trestle_endpoint.slot_scheduler import SlotScheduler
from trestle_endpoint.suspect_contents import Submit, submit_with_retries
from trestle_endpoint.wait_estimate import NOTHING_AHEAD, WaitEstimate
from trestle_links.answer_messages import CallAnswer, DispatchCall
from trestle_links.claim_messages import (
    ClaimKey,
    ClaimReply,
    Outcome,
    RecordOutcome,
)
from trestle_links.connection import Channel

_CLAIMED_CALL_TIMEOUT_SECONDS: Final = 60.0
_MS_PER_SECOND: Final = 1000
_UNKNOWN_OUTCOME: Final = Outcome(Verdict.MAY_HAVE_RUN, 0, b'')

_log = part_logger('calls')


class ServiceCallParts(NamedTuple):
    """The components that a service call uses."""

    service: ServiceAdapter
    submit: Submit
    slots: SlotScheduler
    estimate: WaitEstimate
    metrics: Metrics


class ServiceCallDispatcher:
    """Runs the service calls of this process."""

    def __init__(self, parts: ServiceCallParts, permits: PermitTable) -> None:
        """Start with no calls in progress."""
        self.parts = parts
        self.permits = permits
        # Calls that run or whose outcome is not committed yet; a drain
        # waits for them.
        self.unfinished_calls = 0

    def dispatch(self, body: DispatchCall, _channel: Channel) -> CallAnswer:
        """Run a call under its permit and return its outcome.

        Raises `TrestleError` when the permit cannot be used; this dispatch
        then has not started the call.
        """
        deadline = monotonic() + body.left_ms / _MS_PER_SECOND
        work = self.permits.find_used(body.permit, body.request_id)
        if work:
            self.parts.metrics.count('calls', 'repeated-dispatch')
        else:
            work = self._use_permit(body)
            spawn(self._run, work, body, deadline)
        # The entry gets the outcome after its commit, or at the deadline.
        work.settled.wait(max(0, deadline - monotonic()))
        return _answer_from(body, work)

    def _use_permit(self, body: DispatchCall) -> WorkItem:
        try:
            return self.permits.use(body.permit, body.request_id)
        except TrestleError:
            if body.claimed and not self.permits.is_own(body.permit):
                # The incarnation that issued the permit may have run the call.
                raise TrestleError(
                    OUTCOME_UNKNOWN, verdict=Verdict.MAY_HAVE_RUN
                ) from None
            raise

    def _run(self, work: WorkItem, body: DispatchCall, deadline: float) -> None:
        self.unfinished_calls += 1
        try:
            outcome = self._outcome(work, body, deadline)
            self.parts.metrics.count('calls', outcome.verdict.value)
            work.outcome = outcome
            if body.claimed:
                self._commit(body, outcome)
            self.permits.forget(work)
        finally:
            self.unfinished_calls -= 1

    def _outcome(
        self, work: WorkItem, body: DispatchCall, deadline: float
    ) -> Outcome:
        slots = self.parts.slots
        try:
            slots.acquire(work, max(0, deadline - monotonic()))
        except TrestleError:
            return Outcome(Verdict.NOT_RUN, 0, b'')
        began_at = monotonic()
        try:
            return self.parts.service.run(_service_call(body))
        finally:
            slots.release(work)
            self._record_duration(work, monotonic() - began_at)

    def _record_duration(self, work: WorkItem, seconds: float) -> None:
        self.parts.estimate.record_first_token(NOTHING_AHEAD, seconds)
        self.parts.estimate.record_run(work.demand, seconds)
        self.parts.metrics.observe_seconds('service_call', seconds)

    def _commit(self, body: DispatchCall, outcome: Outcome) -> None:
        # An outcome `not-run` releases the claim on the key.
        claim_key = ClaimKey(body.service, body.caller, body.key)
        command = RecordOutcome(claim_key, body.permit, outcome)
        reply = submit_with_retries(self.parts.submit, command, ClaimReply)
        if not reply.accepted:
            self.parts.metrics.count('outcomes_not_accepted')
            _log.warning(
                'The outcome of {} was already recorded.', body.request_id
            )


def _service_call(body: DispatchCall) -> ServiceCall:
    timeout_seconds = body.left_ms / _MS_PER_SECOND
    if body.claimed:
        timeout_seconds = max(timeout_seconds, _CLAIMED_CALL_TIMEOUT_SECONDS)
    return ServiceCall(
        operation=body.operation,
        key=body.key,
        caller=body.caller,
        request_id=body.request_id,
        body=body.body,
        timeout_seconds=timeout_seconds,
    )


def _answer_from(body: DispatchCall, work: WorkItem) -> CallAnswer:
    outcome = work.outcome or _UNKNOWN_OUTCOME
    if outcome.verdict is Verdict.NOT_RUN and not work.settled.is_set():
        # `not-run` is returned only after the claim has been released.
        outcome = _UNKNOWN_OUTCOME
    code = _error_code(outcome)
    return CallAnswer(
        permit=body.permit,
        request_id=body.request_id,
        verdict=outcome.verdict,
        status=outcome.status,
        body=outcome.body,
        code=code.code if code else '',
    )


def _error_code(outcome: Outcome) -> ErrorCode | None:
    if outcome.verdict is Verdict.RAN:
        return None
    if outcome.verdict is Verdict.MAY_HAVE_RUN:
        return OUTCOME_UNKNOWN
    return NO_ENDPOINT
