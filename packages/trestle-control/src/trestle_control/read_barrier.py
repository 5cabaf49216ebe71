"""Linearizable reads (read index) and freshness of the local state.

A read index is the leader's commit index, confirmed by a heartbeat round that
began after the read: a quorum still followed this leader then, so no other
leader had committed an entry that the index does not cover. All waiting reads
share the next round. Clocks of different hosts are never compared. A leader
that was paused cannot use a round from before the pause, because the round
must begin after the read.

A read that meets a change of the leader asks again until its time is up. Every
attempt has a round of its own: an index that was confirmed for an earlier
leader does not count.

Freshness is the age of such a round: the seconds, by this member's own clock,
since its state was known to be current.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.control_errors import NoQuorumError
from trestle_control.peer_calls import quorum_acked_at
from trestle_control.replica_forward import call_leader
from trestle_control.replica_leader import (
    has_committed_own_term,
    record_freshness,
)
from trestle_control.replica_messages import ReadIndexAsk, ReadIndexReply
from trestle_control.replica_state import ReplicaState
from trestle_core.errors import TrestleError
from trestle_links.connection import Channel

# A leader without a quorum steps down after two election timeouts.
_ELECTIONS_PER_ATTEMPT: Final = 2
_MS_PER_SECOND: Final = 1000
_US_PER_SECOND: Final = 1_000_000


def confirm_read_index(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool = True
) -> int:
    """Confirm and return a read index on the leader.

    If `urgent`, a round starts immediately; otherwise the next heartbeats
    confirm the index.

    Raises `NoQuorumError` when this member does not lead or has no quorum.
    """
    started_at = monotonic()
    term = state.term
    is_ready = state.commit_signal.wait_until(
        lambda: not state.leads(term) or has_committed_own_term(state),
        timeout_seconds,
    )
    if not is_ready or not state.leads(term):
        raise NoQuorumError
    index = state.commit_index
    if urgent:
        for peer in state.peers.values():
            peer.send_immediately()
    state.ack_signal.wait_until(
        lambda: not state.leads(term) or _is_confirmed(state, started_at),
        started_at + timeout_seconds - monotonic(),
    )
    if not state.leads(term) or not _is_confirmed(state, started_at):
        raise NoQuorumError
    return index


def confirm_leads(
    state: ReplicaState, term: int, timeout_seconds: float
) -> None:
    """Return once a quorum confirms that this member leads in a term.

    Unlike `read_barrier`, it is never confirmed by another leader. Raises
    `NoQuorumError`.
    """
    if state.leads(term):
        confirm_read_index(state, timeout_seconds)
    if not state.leads(term):
        raise NoQuorumError


def read_index_handler(
    state: ReplicaState, request: ReadIndexAsk, _: Channel
) -> ReadIndexReply:
    """Confirm a read index for another member."""
    received_at = monotonic()
    timeout_seconds = request.timeout_ms / _MS_PER_SECOND
    index = confirm_read_index(state, timeout_seconds, urgent=request.urgent)
    now = monotonic()
    age_seconds = max(0, received_at - quorum_acked_at(state, now))
    return ReadIndexReply(index, int(age_seconds * _US_PER_SECOND))


def read_barrier(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool = True
) -> int:
    """Wait until the state covers all that was committed before the call.

    Return the read index. Raises `NoQuorumError` when no attempt succeeds in
    time.
    """
    deadline = monotonic() + timeout_seconds
    while True:
        left_seconds = deadline - monotonic()
        try:
            return _read_once(state, left_seconds, urgent=urgent)
        except NoQuorumError:
            if not _may_retry(state, deadline):
                raise
        state.local_identity.metrics.count('replica_read_retries')


def wait_applied(
    state: ReplicaState, index: int, timeout_seconds: float
) -> bool:
    """Wait until an index is applied; return whether it was in time."""
    return state.apply_signal.wait_until(
        lambda: state.applied_index >= index, timeout_seconds
    )


def freshness_age_seconds(state: ReplicaState) -> float:
    """Return the seconds since the local state was known to be current.

    The result is infinite if it never was.
    """
    record_freshness(state)
    return monotonic() - state.fresh_at


def run_freshness(state: ReplicaState) -> None:
    """Request confirmed read indexes from the leader periodically.

    The leader's regular heartbeats confirm them.
    """
    while state.running:
        sleep(state.heartbeat_seconds * 2)
        if state.is_leader:
            continue
        try:
            read_barrier(state, state.election_seconds, urgent=False)
        except TrestleError:
            state.local_identity.metrics.count('replica_freshness_failures')


def _read_once(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool
) -> int:
    deadline = monotonic() + timeout_seconds
    if state.is_leader:
        index = confirm_read_index(state, timeout_seconds, urgent=urgent)
    else:
        # A leader that is paused or cut off may have been replaced meanwhile.
        attempt_seconds = min(
            timeout_seconds, state.election_seconds * _ELECTIONS_PER_ATTEMPT
        )
        index = _request_read_index(state, attempt_seconds, urgent=urgent)
    if not wait_applied(state, index, deadline - monotonic()):
        raise NoQuorumError
    return index


def _may_retry(state: ReplicaState, deadline: float) -> bool:
    """Wait for a leader; return whether there is time for another attempt."""
    left_seconds = deadline - monotonic()
    if left_seconds <= 0:
        return False
    # The leader that failed may still be the one that this member follows.
    sleep(min(state.heartbeat_seconds / 2, left_seconds))
    state.role_signal.wait_until(
        lambda: state.leader is not None or not state.running,
        deadline - monotonic(),
    )
    return state.running and monotonic() < deadline


def _request_read_index(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool
) -> int:
    started_at = monotonic()
    request = ReadIndexAsk(int(timeout_seconds * _MS_PER_SECOND), urgent)
    try:
        reply = call_leader(state, request, ReadIndexReply, timeout_seconds)
    except TrestleError as error:
        raise NoQuorumError from error
    left_seconds = started_at + timeout_seconds - monotonic()
    if wait_applied(state, reply.read_index, left_seconds):
        age_seconds = reply.age_us / _US_PER_SECOND
        state.fresh_at = max(state.fresh_at, started_at - age_seconds)
    return reply.read_index


def _is_confirmed(state: ReplicaState, started_at: float) -> bool:
    return quorum_acked_at(state, monotonic()) >= started_at
