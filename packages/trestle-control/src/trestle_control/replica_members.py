"""Handles operators' commands that add and remove control hosts.

The changes go through the log. The member set lists the hosts that may join.
The leader admits a process only if its host is listed, so a removed host that
still runs is not admitted again. Each step changes at most one voter and is
committed before the next step begins. All commands are idempotent.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final

from trestle_control.control_errors import (
    CommitUnknownError,
    NoQuorumError,
    NotLeaderError,
)
from trestle_control.member_policy import keeps_quorum
from trestle_control.membership import (
    ListedHost,
    MemberSet,
)
from trestle_control.membership_changes import with_host, without_host
from trestle_control.replica_forward import call_leader
from trestle_control.replica_leader import (
    has_committed_own_term,
    propose_members,
)
from trestle_control.replica_state import ReplicaState
from trestle_core.errorcodes import MEMBERS_REFUSED
from trestle_core.errors import TrestleError
from trestle_links.connection import Channel
from trestle_links.member_messages import (
    AddControlHost,
    ControlHosts,
    RemoveControlHost,
)

CHANGE_TIMEOUT_SECONDS: Final = 5.0

# Returns the next member set, or the same one when the change is complete.
NextMemberSet = Callable[[MemberSet], MemberSet]


def add_host_handler(
    state: ReplicaState, request: AddControlHost, _: Channel
) -> ControlHosts:
    """Add a host; a follower forwards the command to the leader."""
    if not state.is_leader:
        return call_leader(state, request, ControlHosts, CHANGE_TIMEOUT_SECONDS)
    listed = ListedHost(*request)
    return _change_member_set(state, lambda current: with_host(current, listed))


def remove_host_handler(
    state: ReplicaState, request: RemoveControlHost, _: Channel
) -> ControlHosts:
    """Remove a host; a follower forwards the command to the leader."""
    if not state.is_leader:
        return call_leader(state, request, ControlHosts, CHANGE_TIMEOUT_SECONDS)
    return _change_member_set(
        state, lambda current: without_host(current, request.host)
    )


def _change_member_set(
    state: ReplicaState, next_set: NextMemberSet
) -> ControlHosts:
    term = state.term
    deadline = monotonic() + CHANGE_TIMEOUT_SECONDS
    _wait_until_settled(state, term, deadline)
    changed = next_set(state.members)
    while changed != state.members:
        if not keeps_quorum(state, changed):
            raise TrestleError(MEMBERS_REFUSED)
        propose_members(state, changed)
        _wait_until_committed(state, term, deadline)
        changed = next_set(state.members)
    hosts = [listed.host for listed in state.members.hosts]
    return ControlHosts(state.members_index, hosts)


def _wait_until_settled(
    state: ReplicaState, term: int, deadline: float
) -> None:
    def is_settled() -> bool:
        is_committed = state.commit_index >= state.members_index
        return is_committed and has_committed_own_term(state)

    state.commit_signal.wait_until(
        lambda: not state.leads(term) or is_settled(), deadline - monotonic()
    )
    if not state.leads(term):
        raise NotLeaderError(state.leader_address)
    if not is_settled():
        raise NoQuorumError


def _wait_until_committed(
    state: ReplicaState, term: int, deadline: float
) -> None:
    index = state.members_index

    def is_committed() -> bool:
        return state.commit_index >= index

    state.commit_signal.wait_until(
        lambda: not state.leads(term) or is_committed(), deadline - monotonic()
    )
    if not is_committed() or state.term != term:
        raise CommitUnknownError(
            'The member set was not committed within the timeout.'
        )
