"""Commands on claims: write-once registers for calls that must not be repeated.

The rules are those of testbed/claim_model.py, which checks them
exhaustively. In short:

* an attempt number is never assigned twice, even after a register was
  dropped;
* a claim is written once, by an attempt above the refusal mark;
* a refusal commits only while there is no claim. It bars all attempts opened
  so far, even when its own attempt is already barred: otherwise attempts
  opened in the meantime could run after the caller received `not-run`;
* a release requires the permit of the claim and no outcome. It bars no
  attempt, so the attempt may claim again. A commit that is delivered twice
  may then claim for a permit that no longer exists; whoever follows that
  claim releases it;
* an outcome is written once.

A process commits a refusal before it answers `not-run` to a caller.

A claim without an outcome is never dropped. Other registers are dropped
after the retention time, by the clock of the state.
"""

from itertools import takewhile
from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.registers import Register
from trestle_control.state import ControlState
from trestle_core.verdict import Verdict
from trestle_links.claim_messages import (
    AttemptOpened,
    Claim,
    ClaimKey,
    ClaimReply,
    CommitClaim,
    OpenAttempt,
    Outcome,
    RecordOutcome,
    RefuseAttempt,
    ReleaseClaim,
)
from trestle_links.permit_messages import Permit

_MAX_REQUEST_IDS: Final = 4


def open_attempt(
    state: ControlState, command: OpenAttempt, _trail: AuditTrail
) -> AttemptOpened:
    """Assign the next attempt number of a key and return its claim."""
    register = state.registers.get(command.claim_key)
    if register is None:
        floor = state.attempt_floor
        register = Register(command.body_digest, floor, floor, None, [], 0)
    if register.body_digest != command.body_digest:
        return AttemptOpened(0, register.claim, conflict=True)
    request_ids = [*register.request_ids, command.request_id]
    register = register._replace(
        opened=register.opened + 1,
        request_ids=request_ids[-_MAX_REQUEST_IDS:],
    )
    _store(state, command.claim_key, register)
    return AttemptOpened(register.opened, register.claim, conflict=False)


def commit_claim(
    state: ControlState, command: CommitClaim, _trail: AuditTrail
) -> ClaimReply:
    """Write the claim; a resend of the same claim is accepted again."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _dropped_reply(command.attempt, command.permit)
    claim = register.claim
    if claim:
        claimed_by = (claim.attempt, claim.permit)
        return ClaimReply(
            claimed_by == (command.attempt, command.permit), claim
        )
    if not register.refused < command.attempt <= register.opened:
        return ClaimReply(accepted=False, claim=None)
    claim = Claim(command.attempt, command.permit, command.address, None)
    _store(state, command.claim_key, register._replace(claim=claim))
    return ClaimReply(accepted=True, claim=claim)


def refuse_attempt(
    state: ControlState, command: RefuseAttempt, _trail: AuditTrail
) -> ClaimReply:
    """Bar every attempt opened so far, unless there is a claim."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _dropped_reply(command.attempt, Permit('', '', 0))
    if register.claim:
        return ClaimReply(accepted=False, claim=register.claim)
    register = register._replace(refused=register.opened)
    _store(state, command.claim_key, register)
    return ClaimReply(accepted=True, claim=None)


def release_claim(
    state: ControlState, command: ReleaseClaim, _trail: AuditTrail
) -> ClaimReply:
    """Remove the claim of a permit that was proved unused."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _dropped_reply(0, command.permit)
    claim = register.claim
    if claim is None:
        return ClaimReply(accepted=True, claim=None)
    if claim.permit != command.permit or claim.outcome:
        return ClaimReply(accepted=False, claim=claim)
    _store(state, command.claim_key, register._replace(claim=None))
    return ClaimReply(accepted=True, claim=None)


def record_outcome(
    state: ControlState, command: RecordOutcome, _trail: AuditTrail
) -> ClaimReply:
    """Write the outcome once; `not-run` removes the claim instead."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _dropped_reply(0, command.permit)
    claim = register.claim
    if claim is None or claim.permit != command.permit:
        return ClaimReply(accepted=False, claim=claim)
    if claim.outcome:
        return ClaimReply(claim.outcome == command.outcome, claim)
    if command.outcome.verdict is Verdict.NOT_RUN:
        _store(state, command.claim_key, register._replace(claim=None))
        return ClaimReply(accepted=True, claim=None)
    claim = claim._replace(outcome=command.outcome)
    _store(state, command.claim_key, register._replace(claim=claim))
    return ClaimReply(accepted=True, claim=claim)


def drop_expired(state: ControlState, retention_ms: int) -> None:
    """Drop registers unchanged for `retention_ms`, except open claims."""
    oldest_ms = state.clock_ms - retention_ms
    # Collected before the first change. The table is ordered by the last
    # write, so reading stops at the first register that has not expired.
    expired = list(
        takewhile(
            lambda entry: entry[1].touched_ms < oldest_ms,
            state.registers.entries(),
        )
    )
    for claim_key, register in expired:
        if register.claim and register.claim.outcome is None:
            _store(state, claim_key, register)
            continue
        state.attempt_floor = max(state.attempt_floor, register.opened)
        state.registers.drop(claim_key)


def _store(
    state: ControlState, claim_key: ClaimKey, register: Register
) -> None:
    touched = register._replace(touched_ms=state.clock_ms)
    state.registers.write(claim_key, touched)


def _dropped_reply(attempt: int, permit: Permit) -> ClaimReply:
    # The register was dropped after its retention, so the outcome is unknown.
    unknown = Outcome(Verdict.MAY_HAVE_RUN, 0, b'')
    return ClaimReply(accepted=False, claim=Claim(attempt, permit, '', unknown))
