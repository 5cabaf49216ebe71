"""Resolves a claim to its outcome.

An entry that finds a claim of another request, or whose own dispatch returned
no answer, queries the endpoint process that issued the permit. Invariants:

* a claim is released only after the incarnation that issued its permit has
  revoked it unused; a reply of another incarnation is no proof;
* while the control state is unreachable, the verdict is `may-have-run`.
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
_POLL_SECONDS: Final = 0.05
_MAX_POLL_SECONDS: Final = 0.4
_REVOKE_TIMEOUT_SECONDS: Final = 1.0

Reply = TypeVar('Reply')


class ClaimedResult(NamedTuple):
    """The outcome of a key; `replayed` if an earlier request ran it."""

    status: int
    body: bytes
    replayed: bool


class ClaimedCall(NamedTuple):
    """A call with the key of its register in the control state."""

    job: ServiceJob
    claim_key: ClaimKey
    record: RequestRecord


def resolve_claim(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
) -> ClaimedResult | None:
    """Wait for the outcome of a claim; None when the claim was released.

    Raises `outcome-unknown` with the verdict `may-have-run`.
    """
    poll_seconds = _POLL_SECONDS
    while True:
        if claim.outcome:
            return _claimed_result(call, claim, claim.outcome)
        revoked = _revoke(context, call, claim)
        if revoked and revoked.state is PermitState.UNUSED:
            return _release(context, call, claim)
        if revoked:
            claim = _record_outcome(context, call, claim, revoked)
        if claim.outcome is None:
            _check_deadline(call)
            sleep(poll_seconds)
            poll_seconds = min(_MAX_POLL_SECONDS, poll_seconds * 2)


def _claimed_result(
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
    """Revoke the permit if unused; return its state, None without reply."""
    command = PermitRevoke(claim.permit, call.job.request.request_id)
    link = context.links.link_to(claim.address)
    try:
        revoked = link.call(command, PermitRevoked, _REVOKE_TIMEOUT_SECONDS)
    except TrestleError as error:
        call.record.note('revoke-failed', code=error.code.code)
        return None
    call.record.note('revoke', state=revoked.state.value)
    return revoked


def _release(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
) -> ClaimedResult | None:
    command = ReleaseClaim(call.claim_key, claim.permit)
    reply = submit_command(context, call, command, ClaimReply)
    if reply.claim and reply.claim.outcome:
        return _claimed_result(call, reply.claim, reply.claim.outcome)
    return None


def _record_outcome(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
    revoked: PermitRevoked,
) -> Claim:
    """Commit the outcome that an endpoint reported; return the claim."""
    if revoked.state is PermitState.RUNNING:
        return claim
    outcome = Outcome(Verdict.MAY_HAVE_RUN, 0, b'')
    if revoked.state is PermitState.FINISHED:
        outcome = Outcome(Verdict.RAN, revoked.status, revoked.body)
    command = RecordOutcome(call.claim_key, claim.permit, outcome)
    reply = submit_command(context, call, command, ClaimReply)
    return reply.claim or claim


def _check_deadline(call: ClaimedCall) -> None:
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
    """Submit a command to the control hosts and return its reply.

    Raises `control-unreachable` with the verdict `may-have-run`: after a
    failure the state of the key is unknown.
    """
    timeout_seconds = context.settings.claim_timeout_ms / _MS_PER_SECOND
    try:
        return context.control.submit(command, reply_type, timeout_seconds)
    except TrestleError as error:
        call.record.note('control-failed', code=error.code.code)
        raise TrestleError(
            CONTROL_UNREACHABLE, CONTROL_TEXT, Verdict.MAY_HAVE_RUN
        ) from error


def build_claimed_call(job: ServiceJob, record: RequestRecord) -> ClaimedCall:
    """Return the call with its claim key."""
    request = job.request
    claim_key = ClaimKey(job.service, request.caller, request.key)
    return ClaimedCall(job, claim_key, record)
