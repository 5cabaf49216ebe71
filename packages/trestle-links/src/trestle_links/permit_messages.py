"""Permits between entry and endpoint processes; codes 10 to 19.

A permit is the load probe, the reservation of a place and the at-most-once
guard at once. It names the incarnation that issued it, is usable once, and
expires by the issuing process's own clock.
"""

from enum import Enum
from typing import NamedTuple

from trestle_links.codec import message


class Permit(NamedTuple):
    """The identity of a permit."""

    endpoint: str
    incarnation: str
    serial: int


class PermitState(str, Enum):
    """What an endpoint process knows of a permit when it revokes it."""

    # It was not used, and after the revocation never can be.
    UNUSED = 'unused'
    # It was used and the work is still going on.
    RUNNING = 'running'
    # It was used and the outcome is known; the reply carries it.
    FINISHED = 'finished'
    # Another incarnation issued it: nothing can be said.
    FOREIGN = 'foreign'


@message(10)
class PermitAsk(NamedTuple):
    """Ask for a place; `left_ms` is the time to the first token's deadline.

    `finish_ms` is the time to the deadline of the whole answer, which is
    expected to have `output_tokens`.
    `pieces` are digests of the leading pieces of the prompt. `set_version`
    is the version of the named set that the asking node has in force.
    `suspect` marks content that ran on an engine that crashed.
    """

    request_id: str
    caller: str
    route: str
    target: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    pieces: list[str]
    left_ms: int
    set_version: int
    suspect: bool = False
    phase: str = 'mixed'
    finish_ms: int = 3_600_000


@message(11)
class PermitGrant(NamedTuple):
    """A granted permit with the figures that it rests on.

    `first_token_ms` is the predicted time to the first token after dispatch
    and `matched_pieces` the length of the cached prefix. `prefill_ms` is the
    engine's time for the rest of the prompt: what a place costs all others.
    """

    permit: Permit
    first_token_ms: int
    running: int
    queued: int
    matched_pieces: int
    set_version: int
    prefill_ms: int = 0


@message(12)
class PermitReturn(NamedTuple):
    """Give back an unused permit; no reply but `Done`."""

    permit: Permit


@message(15)
class LoadAsk(NamedTuple):
    """Ask for the last load that the target reported; for baselines only."""


@message(16)
class LoadReport(NamedTuple):
    """Requests that the target had, as of its last, lagging report."""

    requests: int


@message(13)
class PermitRevoke(NamedTuple):
    """Make a permit unusable and tell what became of it."""

    permit: Permit
    request_id: str


@message(14)
class PermitRevoked(NamedTuple):
    """The state of a permit; outcome fields are set when it is finished."""

    state: PermitState
    status: int = 0
    body: bytes = b''
