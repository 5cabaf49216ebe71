"""Linearizable reads and freshness.

A read index is the leader's commit index, confirmed by a heartbeat round that
began after the read did: a quorum still followed this leader then, so no
other leader had committed anything that the index does not cover. All reads
that wait share the next round. No clock of another host is compared; a leader
that was paused cannot answer from its past, because the round starts anew.

Freshness is the same round seen as an age: how long ago, by this member's own
clock, the state that it holds was certainly the newest.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.control_errors import NoQuorumError
from trestle_control.peer_calls import quorum_acked_at
from trestle_control.replica_forward import call_leader
from trestle_control.replica_leader import has_committed_own_term, note_fresh
from trestle_control.replica_messages import ReadIndexAsk, ReadIndexReply
from trestle_control.replica_state import ReplicaState
from trestle_core.errors import TrestleError
from trestle_links.connection import Channel

_MS_PER_SECOND: Final = 1000
_US_PER_SECOND: Final = 1_000_000


def confirmed_index(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool = True
) -> int:
    """Return a read index on the leader; heartbeats do if not urgent.

    Raises `NoQuorumError` when this member does not lead or has no quorum.
    """
    started_at = monotonic()
    term = state.term
    ready = state.commits.wait_until(
        lambda: not state.leads(term) or has_committed_own_term(state),
        timeout_seconds,
    )
    if not ready or not state.leads(term):
        raise NoQuorumError
    index = state.commit_index
    if urgent:
        for peer in state.peers.values():
            peer.send_at_once()
    state.acks.wait_until(
        lambda: not state.leads(term) or _confirmed(state, started_at),
        started_at + timeout_seconds - monotonic(),
    )
    if not state.leads(term) or not _confirmed(state, started_at):
        raise NoQuorumError
    return index


def read_index_handler(
    state: ReplicaState, ask: ReadIndexAsk, _: Channel
) -> ReadIndexReply:
    """Confirm a read index for another member."""
    asked_at = monotonic()
    timeout_seconds = ask.timeout_ms / _MS_PER_SECOND
    index = confirmed_index(state, timeout_seconds, urgent=ask.urgent)
    now = monotonic()
    age_seconds = max(0, asked_at - quorum_acked_at(state, now))
    return ReadIndexReply(index, int(age_seconds * _US_PER_SECOND))


def read_barrier(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool = True
) -> int:
    """Wait until the local state holds everything committed before now.

    Raises `NoQuorumError`.
    """
    deadline = monotonic() + timeout_seconds
    if state.is_leader:
        index = confirmed_index(state, timeout_seconds, urgent=urgent)
    else:
        index = _ask_leader(state, timeout_seconds, urgent=urgent)
    if not wait_applied(state, index, deadline - monotonic()):
        raise NoQuorumError
    return index


def wait_applied(
    state: ReplicaState, index: int, timeout_seconds: float
) -> bool:
    """Wait until an index is applied; return whether it is."""
    return state.applies.wait_until(
        lambda: state.applied_index >= index, timeout_seconds
    )


def freshness_age_seconds(state: ReplicaState) -> float:
    """Return the age of the last confirmed round; infinity if unknown."""
    note_fresh(state)
    return monotonic() - state.fresh_at


def run_freshness(state: ReplicaState) -> None:
    """Ask the leader for a confirmed round again and again.

    The heartbeats that the leader sends anyway confirm it.
    """
    while state.running:
        sleep(state.heartbeat_seconds * 2)
        if state.is_leader:
            continue
        try:
            read_barrier(state, state.election_seconds, urgent=False)
        except TrestleError:
            state.me.metrics.count('replica_freshness_failures')


def _ask_leader(
    state: ReplicaState, timeout_seconds: float, *, urgent: bool
) -> int:
    started_at = monotonic()
    ask = ReadIndexAsk(int(timeout_seconds * _MS_PER_SECOND), urgent)
    try:
        reply = call_leader(state, ask, ReadIndexReply, timeout_seconds)
    except TrestleError as error:
        raise NoQuorumError from error
    left_seconds = started_at + timeout_seconds - monotonic()
    if wait_applied(state, reply.read_index, left_seconds):
        age_seconds = reply.age_us / _US_PER_SECOND
        state.fresh_at = max(state.fresh_at, started_at - age_seconds)
    return reply.read_index


def _confirmed(state: ReplicaState, started_at: float) -> bool:
    return quorum_acked_at(state, monotonic()) >= started_at
