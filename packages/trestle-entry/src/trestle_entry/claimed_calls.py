"""Service calls that run at most once, by claims and permits.

The main flow is `run_claimed`: open an attempt of the key, obtain a permit,
commit the claim, dispatch. Whoever finds a claim of another send follows it.

Invariants, which testbed/claim_model.py explores exhaustively:

* nothing is dispatched before its claim is committed;
* `not-run` is answered only after a refusal was committed, by this send;
* a send opens one attempt: a second one would pass over the refusals that
  were answered since the first;
* a claim is released only after the incarnation that issued its permit has
  revoked it unused; another incarnation proves nothing;
* where the control state cannot be reached the answer is `may-have-run`.
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
from trestle_entry.claim_following import (
    ClaimedCall,
    ClaimedResult,
    follow_claim,
    submit_command,
)
from trestle_entry.entry_context import EntryContext
from trestle_entry.idempotent_calls import (
    dispatch_call,
    service_ask,
)
from trestle_entry.permit_asks import Place, return_permit
from trestle_entry.places import (
    PlaceNeed,
    obtain_place,
)
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
# Time kept for the commits that follow the obtaining of a place.
_COMMIT_RESERVE_SECONDS: Final = 0.5


def run_claimed(context: EntryContext, call: ClaimedCall) -> ClaimedResult:
    """Run a call at most once, or return what its key has recorded.

    Raises `TrestleError` with a verdict on the key.
    """
    opened = _open_attempt(context, call)
    claim = opened.claim
    while True:
        if claim is None:
            claim = _claim_and_run(context, call, opened.attempt)
        result = follow_claim(context, call, claim)
        if result:
            return result
        context.metrics.count('retries', 'claim-released')
        claim = None


def refuse_key(
    context: EntryContext,
    call: ClaimedCall,
    error: TrestleError,
) -> ClaimedResult:
    """Refuse a call before its attempt: `not-run` must hold for the key.

    Raises `error` once the refusal is committed. Returns the outcome when an
    earlier send of the key has claimed it.
    """
    opened = _open_attempt(context, call)
    claim = opened.claim
    while True:
        if claim is None:
            claim = _refuse(context, call, opened.attempt, error)
        result = follow_claim(context, call, claim)
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
    # A key that is sent with another operation is no resend.
    request = call.job.request
    return content_digest(request.operation.encode() + b'\n' + request.body)


def _claim_and_run(
    context: EntryContext,
    call: ClaimedCall,
    attempt: int,
) -> Claim:
    """Claim the key and dispatch; return the claim that stands.

    Raises the refusal when none stands and `not-run` is committed.
    """
    try:
        place = _obtain(context, call)
    except TrestleError as error:
        return _refuse(context, call, attempt, error)
    reply = _commit_claim(context, call, attempt, place)
    if not reply.accepted:
        return_permit(context, place)
        # Without a claim, a refusal answered to another send has barred
        # this attempt; `not-run` needs a refusal of its own.
        return reply.claim or _refuse(
            context, call, attempt, TrestleError(OVERLOADED)
        )
    claim = reply.claim
    assert claim is not None
    return _dispatch_claimed(context, call, claim, place)


def _obtain(context: EntryContext, call: ClaimedCall) -> Place:
    grace = context.settings.dispatch_grace_ms / _MS_PER_SECOND
    latest = min(call.job.finish_by, call.job.request.arrived + grace)
    latest -= _COMMIT_RESERVE_SECONDS
    if monotonic() > latest:
        raise TrestleError(DEADLINE_UNREACHABLE)
    need = PlaceNeed(service_ask(call.job), latest)
    return obtain_place(context, need, call.record)


def _commit_claim(
    context: EntryContext,
    call: ClaimedCall,
    attempt: int,
    place: Place,
) -> ClaimReply:
    command = CommitClaim(
        call.claim_key,
        attempt,
        place.grant.permit,
        place.endpoint.address,
        call.job.request.request_id,
    )
    return submit_command(context, call, command, ClaimReply)


def _dispatch_claimed(
    context: EntryContext,
    call: ClaimedCall,
    claim: Claim,
    place: Place,
) -> Claim:
    """Dispatch unless this process was paused for too long.

    Returns the claim with its outcome, or without one when the dispatch
    failed and the claim has to be followed.
    """
    grace = context.settings.dispatch_grace_ms / _MS_PER_SECOND
    age = monotonic() - call.job.request.arrived
    if age > grace or monotonic() > call.job.finish_by:
        call.record.note('too-late', age_ms=int(age * _MS_PER_SECOND))
        return claim
    call.record.note('dispatch', endpoint=place.endpoint.host)
    call.record.dispatches += 1
    try:
        answer = dispatch_call(context, call.job, place, claimed=True)
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
    """Commit `not-run` and raise the refusal, or return a standing claim."""
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
