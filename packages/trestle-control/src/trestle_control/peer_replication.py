"""Replication from the leader to one peer.

The greenlet has one request in flight. Entries that are proposed in the
meantime are batched into the next request. For a peer whose log conflicts,
`next_index` goes back by whole terms; a peer that needs entries which log
compaction has removed gets the snapshot.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.log_records import pack_entry
from trestle_control.member_losses import note_if_lost
from trestle_control.member_silence import silent_members
from trestle_control.peer_calls import call_peer, header_for
from trestle_control.peers import Peer
from trestle_control.replica_log import term_at
from trestle_control.replica_messages import (
    AppendAsk,
    AppendReply,
    PeerAnswer,
    SnapshotPart,
    SnapshotReply,
)
from trestle_control.replica_state import ReplicaState
from trestle_control.snapshots import Snapshot, pack_snapshot
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger

_BATCH_BYTES: Final = 1024 * 1024
_PART_BYTES: Final = 512 * 1024
_COMMIT_DELAY_SECONDS: Final = 0.005

_log = part_logger('replica')


def replicate_to(
    state: ReplicaState,
    peer: Peer,
    term: int,
    on_progress: Callable[[ReplicaState], None],
) -> None:
    """Send entries and heartbeats to a peer while this member leads a term."""
    while _is_replicating(state, peer, term):
        match_index, next_index = peer.match_index, peer.next_index
        try:
            _send_next(state, peer, term)
        except TrestleError as error:
            _note_failure(state, peer, error)
            if note_if_lost(state, peer, error):
                _use_fewer_acks(state, term, on_progress)
            sleep(state.heartbeat_seconds)
            continue
        if peer.match_index > match_index and state.leads(term):
            on_progress(state)
        if peer.next_index in {next_index, state.log.last_index + 1}:
            _wait_for_work(state, peer)
        peer.wake.clear()
        peer.urgent.clear()


def _note_failure(state: ReplicaState, peer: Peer, error: TrestleError) -> None:
    _log.debug('Request to {} failed: {}.', peer.member.host, error.message)
    state.local_identity.metrics.count('replica_send_failures', error.code.code)


def _use_fewer_acks(
    state: ReplicaState,
    term: int,
    on_progress: Callable[[ReplicaState], None],
) -> None:
    """Look again at what was acknowledged, now that a peer is lost."""
    if state.leads(term):
        on_progress(state)
        state.ack_signal.notify()


def _wait_for_work(state: ReplicaState, peer: Peer) -> None:
    # A new commit index alone is delayed briefly: its round would hold up the
    # entries of the next command, and these can carry it.
    # A learner starts no election, so it needs fewer heartbeats.
    wait_seconds = (
        state.heartbeat_seconds
        if peer.member.voter
        else state.election_seconds / 2
    )
    if peer.wake.wait(wait_seconds):
        peer.urgent.wait(_COMMIT_DELAY_SECONDS)


def _is_replicating(state: ReplicaState, peer: Peer, term: int) -> bool:
    is_listed = state.peers.get(peer.member.incarnation) is peer
    return is_listed and state.leads(term)


def _send_next(state: ReplicaState, peer: Peer, term: int) -> None:
    previous_term = term_at(state, peer.next_index - 1)
    if previous_term is None or peer.next_index < state.log.first_index:
        _send_snapshot(state, peer, term)
        return
    entries = state.log.entries_from(peer.next_index, _BATCH_BYTES)
    request = AppendAsk(
        header_for(state, peer, term),
        peer.next_index - 1,
        previous_term,
        [pack_entry(entry) for entry in entries],
        state.commit_index,
        silent_members(state),
    )
    sent_at = monotonic()
    reply = call_peer(state, peer, request, AppendReply)
    if _record_ack(state, peer, reply.answer, term, sent_at):
        _update_progress(state, peer, reply)


def _record_ack(
    state: ReplicaState,
    peer: Peer,
    answer: PeerAnswer,
    term: int,
    sent_at: float,
) -> bool:
    """Record a reply; return whether the peer still follows this leader."""
    if answer.term > term:
        state.adopt_term(answer.term)
    if answer.term != term or not state.leads(term):
        return False
    peer.acked_at = sent_at
    state.ack_signal.notify()
    return True


def _update_progress(
    state: ReplicaState, peer: Peer, reply: AppendReply
) -> None:
    if reply.accepted:
        peer.match_index = max(peer.match_index, reply.match_index)
        peer.next_index = peer.match_index + 1
        return
    # Skip the whole conflicting term, but no entry that is known to match.
    index = min(reply.match_index, peer.next_index - 2)
    while index > peer.match_index and _is_term_above(state, index, reply):
        index -= 1
    peer.next_index = max(peer.match_index, index) + 1


def _is_term_above(state: ReplicaState, index: int, reply: AppendReply) -> bool:
    term = term_at(state, index)
    return term is not None and term > reply.conflict_term


def _send_snapshot(state: ReplicaState, peer: Peer, term: int) -> None:
    snapshot = state.snapshot
    if snapshot is None:
        raise AssertionError('the log lacks entries and there is no snapshot')
    _log.info(
        'Sending snapshot {} to {}.', snapshot.log_index, peer.member.host
    )
    state.local_identity.metrics.count('replica_snapshots_sent')
    packed = pack_snapshot(snapshot)
    offset = 0
    while offset < len(packed) and state.leads(term):
        received = _send_snapshot_part(state, peer, snapshot, packed, offset)
        if received is None:
            return
        offset = received
    peer.match_index = max(peer.match_index, snapshot.log_index)
    peer.next_index = peer.match_index + 1


def _send_snapshot_part(
    state: ReplicaState,
    peer: Peer,
    snapshot: Snapshot,
    packed: bytes,
    offset: int,
) -> int | None:
    term = state.term
    content = packed[offset : offset + _PART_BYTES]
    end = offset + len(content) == len(packed)
    part = SnapshotPart(
        header_for(state, peer, term), snapshot.log_index, offset, content, end
    )
    sent_at = monotonic()
    reply = call_peer(state, peer, part, SnapshotReply)
    if not _record_ack(state, peer, reply.answer, term, sent_at):
        return None
    return reply.received
