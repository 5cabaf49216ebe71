"""The leader: one greenlet for each peer, and one that checks the quorum.

With a stable leader a command costs one round to a quorum and one sync on
each member; no election and no read round stands between two commands
(Abraham, "From Single-Shot Consensus to State Machine Replication", stable
leader). The leader stays until a quorum has not answered it for an election
timeout: it then steps down by itself, so that a leader which is cut off does
not go on believing that it leads.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.member_policy import next_members
from trestle_control.membership import MemberSet
from trestle_control.peer_calls import (
    quorum_acked_at,
    quorum_match_index,
    refresh_peers,
)
from trestle_control.replica_log import append_entries, term_at
from trestle_control.replica_peers import replicate_to
from trestle_control.replica_state import ReplicaState, Role
from trestle_control.replica_tasks import spawn_part
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.codec import encode_message

_QUORUM_TIMEOUTS: Final = 2

_log = part_logger('replica')


def lead(state: ReplicaState, term: int) -> None:
    """Become the leader of a term that was won."""
    state.leading_since = monotonic()
    state.handing_over = False
    refresh_peers(state)
    for peer in state.peers.values():
        peer.start_term(state.log.last_index)
    state.set_role(Role.LEADER, state.identity)
    # An entry of this term commits what earlier terms left behind.
    propose_entry(state, EntryKind.NO_OP, b'')
    spawn_part(state, _run_leader, term)
    spawn_part(state, _commit_synced, term)


def propose_entry(state: ReplicaState, kind: EntryKind, payload: bytes) -> int:
    """Append an entry of the current term; return its index."""
    index = state.log.last_index + 1
    append_entries(state, [LogEntry(index, state.term, kind, payload)])
    if kind is EntryKind.MEMBERS:
        _start_peers(state, state.term)
    for peer in state.peers.values():
        peer.send_at_once()
    return index


def has_committed_own_term(state: ReplicaState) -> bool:
    """Tell whether the commit index covers all that was ever committed."""
    return term_at(state, state.commit_index) == state.term


def note_fresh(state: ReplicaState) -> None:
    """Note that a leader's applied state was the newest at its last round."""
    applied_all = state.applied_index >= state.commit_index
    if state.is_leader and applied_all and has_committed_own_term(state):
        acked_at = quorum_acked_at(state, monotonic())
        state.fresh_at = max(state.fresh_at, acked_at)


def commit_at_quorum(state: ReplicaState) -> None:
    """Raise the commit index to what a quorum holds."""
    index = quorum_match_index(state)
    # An entry of an earlier term is committed only through one of this term:
    # a quorum that holds it does not yet decide its register.
    if index <= state.commit_index or term_at(state, index) != state.term:
        return
    state.advance_commit(index)
    for peer in state.peers.values():
        peer.wake.set()


def _run_leader(state: ReplicaState, term: int) -> None:
    _start_peers(state, term)
    while state.leads(term):
        sleep(state.heartbeat_seconds)
        if state.leads(term):
            _check_quorum(state)
            _change_members(state)


def _start_peers(state: ReplicaState, term: int) -> None:
    refresh_peers(state)
    for peer in state.peers.values():
        if peer.led_term != term:
            peer.led_term = term
            spawn_part(state, replicate_to, peer, term, commit_at_quorum)


def _commit_synced(state: ReplicaState, term: int) -> None:
    while state.leads(term):
        try:
            state.log.wait_synced(state.log.synced_index + 1)
        except TrestleError as error:
            state.fail(error)
            return
        if state.leads(term):
            commit_at_quorum(state)


def _check_quorum(state: ReplicaState) -> None:
    now = monotonic()
    since = max(quorum_acked_at(state, now), state.leading_since)
    if now - since > state.election_seconds * _QUORUM_TIMEOUTS:
        _log.warning('No quorum for {:.1f} s; stepping down.', now - since)
        state.me.metrics.count('replica_step_downs', 'no-quorum')
        state.set_role(Role.FOLLOWER, None)
    elif not state.may_vote and state.commit_index >= state.members_index:
        _log.info('Removed from the group; stepping down.')
        state.set_role(Role.FOLLOWER, None)


def _change_members(state: ReplicaState) -> None:
    settled = state.commit_index >= state.members_index
    if not settled or not has_committed_own_term(state) or not state.is_leader:
        return
    changed = next_members(state)
    if changed:
        propose_members(state, changed)


def propose_members(state: ReplicaState, changed: MemberSet) -> None:
    """Append a member set that differs from the last one by one member."""
    ranks = ', '.join(
        f'{member.host}/{member.incarnation[:8]} '
        f'{"voter" if member.voter else "learner"}'
        for member in changed.members
    )
    _log.info('Proposes the members {}.', ranks)
    propose_entry(state, EntryKind.MEMBERS, encode_message(changed))
