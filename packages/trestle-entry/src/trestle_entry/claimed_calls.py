"""Runs service calls at most once, with claims and permits.

`run_claimed` opens an attempt of the key, acquires a permit, commits the
claim and dispatches the call. If another request with the key has a claim,
that claim is resolved instead.

Invariants, which testbed/claim_model.py checks exhaustively:

* nothing is dispatched before its claim is committed;
* a request answers `not-run` only after it has committed a refusal itself;
* a request opens only one attempt: a second one would be newer than the
  refusals that were answered since the first, and bypass them;
* a claim is released only after the incarnation that issued its permit has
  revoked it unused; a reply of another incarnation is no proof;
* while the control state is unreachable, the verdict is `may-have-run`.
"""

from time import monotonic
from typing import Final

from trestle_core.digests import content_digest
from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    KEY_CONFLICT,
    OVERLOADED,
)
from trestle_core.errors import TrestleError
from trestle_core.texts import KEY_CONFLICT as KEY_CONFLICT_TEXT
from trestle_entry.claim_resolution import (
    ClaimedCall,
    ClaimedResult,
    resolve_claim,
    submit_command,
)
from trestle_entry.entry_context import EntryContext
from trestle_entry.idempotent_calls import (
    dispatch_call,
    service_permit_ask,
)
from trestle_entry.permit_acquisition import (
    PermitRequirements,
    acquire_permit,
)
from trestle_entry.permit_requests import GrantedPermit, return_permit
from trestle_links.claim_messages import (
    AttemptOpened,
    Claim,
    ClaimReply,
    CommitClaim,
    OpenAttempt,
    Outcome,
    RefuseAttempt,
)

_MS_PER_SECOND: Final = 1000
# Time reserved for the commits that follow the permit.
_COMMIT_RESERVE_SECONDS: Final = 0.5


def run_claimed(context: EntryContext, call: ClaimedCall) -> ClaimedResult:
    """Run a call at most once, or return the outcome recorded for its key.

    Raises `TrestleError` with a verdict that holds for the key.
    """
    opened = _open_attempt(context, call)
    claim = opened.claim
    while True:
        if claim is None:
            claim = _claim_and_run(context, call, opened.attempt)
        result = resolve_claim(context, call, claim)
        if result:
            return result
        context.metrics.count('retries', 'claim-released')
        claim = None


def refuse_key(
    context: EntryContext,
    call: ClaimedCall,
    error: TrestleError,
) -> ClaimedResult:
    """Refuse a call so that `not-run` holds for its key.

    Raises `error` after the refusal is committed. Returns the outcome if an
    earlier request has claimed the key.
    """
    opened = _open_attempt(context, call)
    claim = opened.claim
    while True:
        if claim is None:
            claim = _refuse(context, call, opened.attempt, error)
        result = resolve_claim(context, call, claim)
        if result:
            return result
        claim = None


def _open_attempt(context: EntryContext, call: ClaimedCall) -> AttemptOpened:
    command = OpenAttempt(
        call.claim_key,
        _call_digest(call),
        call.job.request.request_id,
    )
    opened = submit_command(context, call, command, AttemptOpened)
    if opened.conflict:
        raise TrestleError(KEY_CONFLICT, KEY_CONFLICT_TEXT)
    call.record.note('attempt', number=opened.attempt)
    return opened


def _call_digest(call: ClaimedCall) -> str:
    # The same key with another operation is a conflict, not a retry.
    request = call.job.request
    return content_digest(request.operation.encode() + b'\n' + request.body)


def _claim_and_run(
    context: EntryContext,
    call: ClaimedCall,
    attempt: int,
) -> Claim:
    """Claim the key and dispatch; return the claim that holds the key.

    Raises the refusal if there is no claim and the refusal is committed.
    """
    try:
        permit = _acquire_permit(context, call)
    except TrestleError as error:
        return _refuse(context, call, attempt, error)
    reply = _commit_claim(context, call, attempt, permit)
    if not reply.accepted:
        return_permit(context, permit)
        # Without a claim, the refusal of another request has barred this
        # attempt; answering `not-run` requires a refusal of its own.
        return reply.claim or _refuse(
            context, call, attempt, TrestleError(OVERLOADED)
        )
    claim = reply.claim
    assert claim is not None
    return _dispatch_claimed(context, call, claim, permit)


def _acquire_permit(context: EntryContext, call: ClaimedCall) -> GrantedPermit:
    grace_seconds = context.settings.dispatch_grace_ms / _MS_PER_SECOND
    needed_by = min(
        call.job.finish_by, call.job.request.arrived_at + grace_seconds
    )
    needed_by -= _COMMIT_RESERVE_SECONDS
    if monotonic() > needed_by:
        raise TrestleError(DEADLINE_UNREACHABLE)
    requirements = PermitRequirements(service_permit_ask(call.job), needed_by)
    return acquire_permit(context, requirements, call.record)


def _commit_claim(
    context: EntryContext,
    call: ClaimedCall,
    attempt: int,
    permit: GrantedPermit,
) -> ClaimReply:
    command = CommitClaim(
        call.claim_key,
        attempt,
        permit.grant.permit,
        permit.endpoint.address,
        call.job.request.request_id,
    )
    return submit_command(context, call, command, ClaimReply)


def _dispatch_claimed(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
    permit: GrantedPermit,
) -> Claim:
    """Dispatch unless this process was paused beyond the grace period.

    Returns the claim with its outcome, or without one if the call was not
    dispatched or failed and the claim has to be resolved.
    """
    grace_seconds = context.settings.dispatch_grace_ms / _MS_PER_SECOND
    age_seconds = monotonic() - call.job.request.arrived_at
    if age_seconds > grace_seconds or monotonic() > call.job.finish_by:
        call.record.note('too-late', age_ms=int(age_seconds * _MS_PER_SECOND))
        return claim
    call.record.note('dispatch', endpoint=permit.endpoint.host)
    call.record.dispatches += 1
    try:
        answer = dispatch_call(context, call.job, permit, claimed=True)
    except TrestleError as error:
        call.record.note('failed', code=error.code.code)
        return claim
    # The endpoint process committed the outcome before it answered.
    outcome = Outcome(answer.verdict, answer.status, answer.body)
    return claim._replace(outcome=outcome)


def _refuse(
    context: EntryContext,
    call: ClaimedCall,
    attempt: int,
    error: TrestleError,
) -> Claim:
    """Commit the refusal and raise `error`, or return an existing claim."""
    command = RefuseAttempt(
        call.claim_key,
        attempt,
        error.code.code,
        call.job.request.request_id,
    )
    reply = submit_command(context, call, command, ClaimReply)
    if reply.claim:
        return reply.claim
    raise error
