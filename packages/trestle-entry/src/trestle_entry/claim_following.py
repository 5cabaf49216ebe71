"""Following a claim to its outcome.

Whoever finds a claim that it did not dispatch itself, or whose dispatch gave
no answer, asks the endpoint process that issued the permit. Invariants:

* a claim is released only after the incarnation that issued its permit has
  revoked it unused; another incarnation proves nothing;
* where the control state cannot be reached the answer is `may-have-run`.
"""

from time import monotonic
from typing import Final, NamedTuple, TypeVar

from gevent import sleep

from trestle_core.errorcodes import CONTROL_UNREACHABLE, OUTCOME_UNKNOWN
from trestle_core.errors import TrestleError
from trestle_core.texts import CONTROL_UNREACHABLE as CONTROL_TEXT
from trestle_core.texts import OUTCOME_UNKNOWN as OUTCOME_UNKNOWN_TEXT
from trestle_core.verdict import Verdict
from trestle_entry.entry_context import EntryContext
from trestle_entry.idempotent_calls import ServiceJob
from trestle_entry.request_records import RequestRecord
from trestle_links.claim_messages import (
    Claim,
    ClaimKey,
    ClaimReply,
    Outcome,
    RecordOutcome,
    ReleaseClaim,
)
from trestle_links.codec import Message
from trestle_links.permit_messages import (
    PermitRevoke,
    PermitRevoked,
    PermitState,
)

_MS_PER_SECOND: Final = 1000
_FOLLOW_SECONDS: Final = 0.05
_MAX_FOLLOW_SECONDS: Final = 0.4
_REVOKE_SECONDS: Final = 1.0

Reply = TypeVar('Reply')


class ClaimedResult(NamedTuple):
    """The outcome of a key; `replayed` when an earlier send ran it."""

    status: int
    body: bytes
    replayed: bool


class ClaimedCall(NamedTuple):
    """A call with the register that guards it."""

    job: ServiceJob
    claim_key: ClaimKey
    record: RequestRecord


def follow_claim(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
) -> ClaimedResult | None:
    """Wait for the outcome of a claim; None when the key is free again.

    Raises `outcome-unknown`, which is `may-have-run`.
    """
    pause = _FOLLOW_SECONDS
    while True:
        if claim.outcome:
            return _result_of(call, claim, claim.outcome)
        state = _revoke(context, call, claim)
        if state and state.state is PermitState.UNUSED:
            return _release(context, call, claim)
        if state:
            claim = _learn_outcome(context, call, claim, state)
        if claim.outcome is None:
            _check_follow_deadline(call)
            sleep(pause)
            pause = min(_MAX_FOLLOW_SECONDS, pause * 2)


def _result_of(
    call: ClaimedCall,
    claim: Claim,
    outcome: Outcome,
) -> ClaimedResult:
    if outcome.verdict is not Verdict.RAN:
        raise TrestleError(
            OUTCOME_UNKNOWN, OUTCOME_UNKNOWN_TEXT, Verdict.MAY_HAVE_RUN
        )
    replayed = call.record.dispatches == 0
    return ClaimedResult(outcome.status, outcome.body, replayed)


def _revoke(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
) -> PermitRevoked | None:
    """Ask the endpoint what became of the permit; None without an answer."""
    command = PermitRevoke(claim.permit, call.job.request.request_id)
    link = context.links.link_to(claim.address)
    try:
        state = link.call(command, PermitRevoked, _REVOKE_SECONDS)
    except TrestleError as error:
        call.record.note('revoke-failed', code=error.code.code)
        return None
    call.record.note('revoke', state=state.state.value)
    return state


def _release(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
) -> ClaimedResult | None:
    command = ReleaseClaim(call.claim_key, claim.permit)
    reply = submit_command(context, call, command, ClaimReply)
    if reply.claim and reply.claim.outcome:
        return _result_of(call, reply.claim, reply.claim.outcome)
    return None


def _learn_outcome(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
    state: PermitRevoked,
) -> Claim:
    """Commit the outcome that an endpoint told; return the claim with it."""
    if state.state is PermitState.RUNNING:
        return claim
    outcome = Outcome(Verdict.MAY_HAVE_RUN, 0, b'')
    if state.state is PermitState.FINISHED:
        outcome = Outcome(Verdict.RAN, state.status, state.body)
    command = RecordOutcome(call.claim_key, claim.permit, outcome)
    reply = submit_command(context, call, command, ClaimReply)
    return reply.claim or claim


def _check_follow_deadline(call: ClaimedCall) -> None:
    if monotonic() < call.job.finish_by:
        return
    raise TrestleError(
        OUTCOME_UNKNOWN, OUTCOME_UNKNOWN_TEXT, Verdict.MAY_HAVE_RUN
    )


def submit_command(
    context: EntryContext,
    call: ClaimedCall,
    command: Message,
    reply_type: type[Reply],
) -> Reply:
    """Submit a command; a failure leaves the state of the key unknown."""
    timeout = context.settings.claim_timeout_ms / _MS_PER_SECOND
    try:
        return context.control.submit(command, reply_type, timeout)
    except TrestleError as error:
        call.record.note('control-failed', code=error.code.code)
        raise TrestleError(
            CONTROL_UNREACHABLE, CONTROL_TEXT, Verdict.MAY_HAVE_RUN
        ) from error


def claimed_call(job: ServiceJob, record: RequestRecord) -> ClaimedCall:
    """Name the register of a call."""
    request = job.request
    claim_key = ClaimKey(job.service, request.caller, request.key)
    return ClaimedCall(job, claim_key, record)
