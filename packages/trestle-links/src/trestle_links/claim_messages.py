"""Commands on claims, the at-most-once registers; codes 50 to 59.

A register is keyed by service, caller and idempotency key. Rules, explored
exhaustively by the model in testbed/claim_model.py:

* an attempt number is never reused;
* a claim is written once and names one permit;
* a refusal commits only while no claim stands and bars all opened attempts;
* a release is conditional on the permit it names and on no outcome.
"""

from typing import NamedTuple

from trestle_core.verdict import Verdict
from trestle_links.codec import message
from trestle_links.permit_messages import Permit


class ClaimKey(NamedTuple):
    """The name of a register."""

    service: str
    caller: str
    key: str


class Outcome(NamedTuple):
    """How a claimed call ended; `body` is empty unless it ran."""

    verdict: Verdict
    status: int
    body: bytes


class Claim(NamedTuple):
    """The one permit under which a key may run."""

    attempt: int
    permit: Permit
    address: str
    outcome: Outcome | None


@message(50)
class OpenAttempt(NamedTuple):
    """Take the next attempt number of a key."""

    claim_key: ClaimKey
    body_digest: str
    request_id: str


@message(51)
class AttemptOpened(NamedTuple):
    """The attempt number; `conflict` when the key has another body."""

    attempt: int
    claim: Claim | None
    conflict: bool


@message(52)
class CommitClaim(NamedTuple):
    """Write the claim of an attempt; `address` is the endpoint's."""

    claim_key: ClaimKey
    attempt: int
    permit: Permit
    address: str
    request_id: str


@message(53)
class ClaimReply(NamedTuple):
    """Whether the command took effect, and the claim that stands now."""

    accepted: bool
    claim: Claim | None


@message(54)
class RefuseAttempt(NamedTuple):
    """Commit `not run` for a key: bars every attempt opened so far."""

    claim_key: ClaimKey
    attempt: int
    code: str
    request_id: str


@message(55)
class ReleaseClaim(NamedTuple):
    """Free a key whose permit was proved unused."""

    claim_key: ClaimKey
    permit: Permit


@message(56)
class RecordOutcome(NamedTuple):
    """Write the outcome of the claim that names this permit."""

    claim_key: ClaimKey
    permit: Permit
    outcome: Outcome


@message(57)
class AdvanceClock(NamedTuple):
    """Advance the clock of the state; applied only at `from_ms`.

    The leader measures `elapsed_ms` on its own monotonic clock, so the
    state's clock compares no two hosts. `unix_ms` is for reports only.
    Outcomes older than `outcome_retention_ms` are dropped.
    """

    from_ms: int
    elapsed_ms: int
    unix_ms: int
    outcome_retention_ms: int
