"""The leader: replicates, commits, checks its quorum and changes members.

With a stable leader a command costs one round to a quorum and one sync on
each member; no election and no read round is needed between two commands
(Abraham, "From Single-Shot Consensus to State Machine Replication", stable
leader). A leader that no quorum has acknowledged for two election timeouts
steps down, so that a leader in a minority partition does not keep its role.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.member_policy import next_members
from trestle_control.member_silence import take_over_silence
from trestle_control.membership import MemberSet
from trestle_control.peer_calls import (
    quorum_acked_at,
    quorum_match_index,
    refresh_peers,
)
from trestle_control.peer_replication import replicate_to
from trestle_control.replica_log import append_entries, term_at
from trestle_control.replica_quorum import needs_confirmation
from trestle_control.replica_state import ReplicaState, Role
from trestle_control.replica_tasks import spawn_task
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.codec import encode_message

_QUORUM_ELECTION_TIMEOUTS: Final = 2

_log = part_logger('replica')


def become_leader(state: ReplicaState, term: int) -> None:
    """Become the leader of a term whose election this member won."""
    state.leading_since = monotonic()
    state.handing_over = False
    refresh_peers(state)
    for peer in state.peers.values():
        peer.start_term(state.log.last_index)
    take_over_silence(state)
    state.set_role(Role.LEADER, state.member_identity)
    # Committing an entry of this term also commits the entries that earlier
    # terms left uncommitted.
    propose_entry(state, EntryKind.NO_OP, b'')
    spawn_task(state, _run_leader_checks, term)
    spawn_task(state, _commit_synced, term)


def propose_entry(state: ReplicaState, kind: EntryKind, payload: bytes) -> int:
    """Append an entry of the current term; return its index."""
    index = state.log.last_index + 1
    append_entries(state, [LogEntry(index, state.term, kind, payload)])
    if kind is EntryKind.MEMBERS:
        _start_peers(state, state.term)
    for peer in state.peers.values():
        peer.send_immediately()
    return index


def has_committed_own_term(state: ReplicaState) -> bool:
    """Return whether the leader has committed an entry of its own term.

    From then on its commit index covers everything that was committed in
    earlier terms.
    """
    return term_at(state, state.commit_index) == state.term


def record_freshness(state: ReplicaState) -> None:
    """Record on the leader when its applied state was last confirmed current."""
    is_applied = state.applied_index >= state.commit_index
    if state.is_leader and is_applied and has_committed_own_term(state):
        acked_at = quorum_acked_at(state, monotonic())
        state.fresh_at = max(state.fresh_at, acked_at)


def commit_replicated_entries(state: ReplicaState) -> None:
    """Raise the commit index to the last entry that a quorum stores."""
    index = quorum_match_index(state)
    # An entry of an earlier term is committed only by committing an entry of
    # this term: being stored by a quorum does not yet decide its register.
    if index <= state.commit_index or term_at(state, index) != state.term:
        return
    state.advance_commit(index)
    for peer in state.peers.values():
        peer.wake.set()


def _run_leader_checks(state: ReplicaState, term: int) -> None:
    _start_peers(state, term)
    while state.leads(term):
        sleep(state.heartbeat_seconds)
        if state.leads(term):
            _check_quorum(state)
            _change_members(state)


def _start_peers(state: ReplicaState, term: int) -> None:
    refresh_peers(state)
    for peer in state.peers.values():
        if peer.replication_term != term:
            peer.replication_term = term
            spawn_task(
                state, replicate_to, peer, term, commit_replicated_entries
            )


def _commit_synced(state: ReplicaState, term: int) -> None:
    while state.leads(term):
        try:
            state.log.wait_synced(state.log.synced_index + 1)
        except TrestleError as error:
            state.fail(error)
            return
        if state.leads(term):
            commit_replicated_entries(state)


def _check_quorum(state: ReplicaState) -> None:
    now = monotonic()
    acked_at = max(quorum_acked_at(state, now), state.leading_since)
    if now - acked_at > state.election_seconds * _QUORUM_ELECTION_TIMEOUTS:
        _log.warning('No quorum for {:.1f} s; stepping down.', now - acked_at)
        state.local_identity.metrics.count('replica_step_downs', 'no-quorum')
        state.set_role(Role.FOLLOWER, None)
    elif not state.is_voter and state.commit_index >= state.members_index:
        _log.info('Removed from the group; stepping down.')
        state.set_role(Role.FOLLOWER, None)


def _change_members(state: ReplicaState) -> None:
    is_settled = state.commit_index >= state.members_index
    if (
        not is_settled
        or not has_committed_own_term(state)
        or not state.is_leader
    ):
        return
    if needs_confirmation(state):
        propose_members(state, state.members)
        return
    changed = next_members(state)
    if changed:
        propose_members(state, changed)


def propose_members(state: ReplicaState, changed: MemberSet) -> None:
    """Propose a member set that differs from the last one by one member."""
    listed = ', '.join(
        f'{member.host}/{member.incarnation[:8]} '
        f'{"voter" if member.voter else "learner"}'
        for member in changed.members
    )
    _log.info('Proposing the members {}.', listed)
    propose_entry(state, EntryKind.MEMBERS, encode_message(changed))
