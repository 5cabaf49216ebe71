"""Status of the group from the view of one member."""

from trestle_control.membership import Member, is_designated_voter, quorum_size
from trestle_control.replica_forward import call_leader
from trestle_control.replica_state import ReplicaState
from trestle_control.status_messages import (
    MemberStatus,
    ReplicaStatus,
    StatusAsk,
)
from trestle_core.errors import TrestleError
from trestle_links.connection import Channel
from trestle_links.member_messages import GroupStatusAsk


def status_handler(
    state: ReplicaState, _request: StatusAsk, _channel: Channel
) -> ReplicaStatus:
    """Handle a request for this member's view of the group."""
    return status_of(state)


def status_of(state: ReplicaState) -> ReplicaStatus:
    """Return this member's view of the group."""
    members = [_member_status(state, entry) for entry in state.members.members]
    return ReplicaStatus(
        host=state.settings.host,
        incarnation=state.incarnation,
        group=state.members.group,
        term=state.term,
        role=state.role.value,
        leader=state.leader.host if state.leader else '',
        leader_address=state.leader_address or '',
        commit_index=state.commit_index,
        applied_index=state.applied_index,
        last_index=state.log.last_index,
        snapshot_index=state.snapshot_index,
        members=members,
        second_loss_safe=_is_second_loss_safe(state, members),
    )


def group_status(state: ReplicaState) -> ReplicaStatus:
    """Return the leader's view, or the local one if no leader replies."""
    if state.is_leader:
        return status_of(state)
    try:
        return call_leader(
            state, StatusAsk(), ReplicaStatus, state.election_seconds
        )
    except TrestleError:
        return status_of(state)


def group_status_handler(
    state: ReplicaState, _request: GroupStatusAsk, _channel: Channel
) -> ReplicaStatus:
    """Handle a request for the leader's view of the group."""
    return group_status(state)


def _member_status(state: ReplicaState, member: Member) -> MemberStatus:
    if member.incarnation == state.incarnation:
        match_index, reachable = state.log.synced_index, True
    else:
        peer = state.peers.get(member.incarnation)
        is_silent = (
            peer is None or peer.silent_seconds() > state.election_seconds
        )
        match_index = peer.match_index if peer else 0
        reachable = state.is_leader and not is_silent
    return MemberStatus(*member, match_index, reachable)


def _is_second_loss_safe(
    state: ReplicaState, members: list[MemberStatus]
) -> bool:
    is_settled = state.commit_index >= state.members_index
    if not state.is_leader or not is_settled:
        return False
    is_changing = any(
        is_designated_voter(state.members, member) and not member.voter
        for member in state.members.members
    )
    if is_changing:
        return False
    # Every committed entry is stored by a quorum of the current set, so by at
    # least one member of any remaining quorum, which replicates it to voters
    # that lag.
    live_voters = [
        member
        for member in members
        if member.voter
        and member.reachable
        and member.match_index >= state.members_index
    ]
    return len(live_voters) - 1 >= quorum_size(state.members)
