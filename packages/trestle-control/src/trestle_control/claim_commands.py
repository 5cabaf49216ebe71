"""Commands on claims: the write-once registers for calls not to be repeated.

The rules are those of testbed/claim_model.py, which explores them
exhaustively. What they come to:

* an attempt number is never given twice, also after a register was dropped;
* a claim is written once, by an attempt above the refusal mark;
* a refusal commits only while no claim stands and bars all opened attempts,
  also when its own attempt is barred already: attempts opened since then
  would else run after its `not-run`;
* a release needs the permit of the claim and no outcome; it bars nobody, so
  the attempt may claim again. A commit delivered again may then claim for
  the permit that is gone; whoever follows that claim releases it;
* an outcome is written once.

Whoever answers `not-run` to a caller has committed a refusal first.

A claim without an outcome is never dropped. Other registers are dropped
after the retention, by the clock of the state.
"""

from itertools import takewhile
from typing import Final

from trestle_control.audit import Story
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

_REQUEST_IDS_KEPT: Final = 4


def open_attempt(
    state: ControlState, command: OpenAttempt, _story: Story
) -> AttemptOpened:
    """Give the next attempt number of a key, and show its claim."""
    register = state.registers.get(command.claim_key)
    if register is None:
        floor = state.attempt_floor
        register = Register(command.body_digest, floor, floor, None, [], 0)
    if register.body_digest != command.body_digest:
        return AttemptOpened(0, register.claim, conflict=True)
    request_ids = [*register.request_ids, command.request_id]
    register = register._replace(
        opened=register.opened + 1,
        request_ids=request_ids[-_REQUEST_IDS_KEPT:],
    )
    _write(state, command.claim_key, register)
    return AttemptOpened(register.opened, register.claim, conflict=False)


def commit_claim(
    state: ControlState, command: CommitClaim, _story: Story
) -> ClaimReply:
    """Write the claim; accepted again for a resend of the same claim."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _forgotten(command.attempt, command.permit)
    claim = register.claim
    if claim:
        same = (claim.attempt, claim.permit)
        return ClaimReply(same == (command.attempt, command.permit), claim)
    if not register.refused < command.attempt <= register.opened:
        return ClaimReply(accepted=False, claim=None)
    claim = Claim(command.attempt, command.permit, command.address, None)
    _write(state, command.claim_key, register._replace(claim=claim))
    return ClaimReply(accepted=True, claim=claim)


def refuse_attempt(
    state: ControlState, command: RefuseAttempt, _story: Story
) -> ClaimReply:
    """Bar every attempt opened so far, while no claim stands."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _forgotten(command.attempt, Permit('', '', 0))
    if register.claim:
        return ClaimReply(accepted=False, claim=register.claim)
    register = register._replace(refused=register.opened)
    _write(state, command.claim_key, register)
    return ClaimReply(accepted=True, claim=None)


def release_claim(
    state: ControlState, command: ReleaseClaim, _story: Story
) -> ClaimReply:
    """Free a key whose permit was proved unused."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _forgotten(0, command.permit)
    claim = register.claim
    if claim is None:
        return ClaimReply(accepted=True, claim=None)
    if claim.permit != command.permit or claim.outcome:
        return ClaimReply(accepted=False, claim=claim)
    _write(state, command.claim_key, register._replace(claim=None))
    return ClaimReply(accepted=True, claim=None)


def record_outcome(
    state: ControlState, command: RecordOutcome, _story: Story
) -> ClaimReply:
    """Write the outcome once; `not-run` frees the key instead."""
    register = state.registers.get(command.claim_key)
    if register is None:
        return _forgotten(0, command.permit)
    claim = register.claim
    if claim is None or claim.permit != command.permit:
        return ClaimReply(accepted=False, claim=claim)
    if claim.outcome:
        return ClaimReply(claim.outcome == command.outcome, claim)
    if command.outcome.verdict is Verdict.NOT_RUN:
        _write(state, command.claim_key, register._replace(claim=None))
        return ClaimReply(accepted=True, claim=None)
    claim = claim._replace(outcome=command.outcome)
    _write(state, command.claim_key, register._replace(claim=claim))
    return ClaimReply(accepted=True, claim=claim)


def drop_expired(state: ControlState, retention_ms: int) -> None:
    """Drop registers untouched for the retention, but no open claim."""
    oldest_ms = state.clock_ms - retention_ms
    # Listed before the first change, but only as far as it is expired.
    expired = list(
        takewhile(
            lambda entry: entry[1].touched_ms < oldest_ms,
            state.registers.entries(),
        )
    )
    for claim_key, register in expired:
        if register.claim and register.claim.outcome is None:
            _write(state, claim_key, register)
            continue
        state.attempt_floor = max(state.attempt_floor, register.opened)
        state.registers.drop(claim_key)


def _write(
    state: ControlState, claim_key: ClaimKey, register: Register
) -> None:
    touched = register._replace(touched_ms=state.clock_ms)
    state.registers.write(claim_key, touched)


def _forgotten(attempt: int, permit: Permit) -> ClaimReply:
    # The key was dropped after its retention: nothing can be proved.
    unknown = Outcome(Verdict.MAY_HAVE_RUN, 0, b'')
    return ClaimReply(accepted=False, claim=Claim(attempt, permit, '', unknown))
