"""Operators' changes of the control hosts, through the log.

The member set names the hosts that may join. The leader admits a process only
if its host is listed there, so a removed host that still runs stays out. Each
step changes at most one voter and is committed before the next one begins.
Every command is safe to repeat.
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

CHANGE_SECONDS: Final = 5.0

# Returns the next member set, or the same one when nothing is left to do.
NextSet = Callable[[MemberSet], MemberSet]


def add_host_handler(
    state: ReplicaState, ask: AddControlHost, _: Channel
) -> ControlHosts:
    """Let a host join; a follower sends the command on to the leader."""
    if not state.is_leader:
        return call_leader(state, ask, ControlHosts, CHANGE_SECONDS)
    listed = ListedHost(*ask)
    return _change(state, lambda current: with_host(current, listed))


def remove_host_handler(
    state: ReplicaState, ask: RemoveControlHost, _: Channel
) -> ControlHosts:
    """Take a host out; a follower sends the command on to the leader."""
    if not state.is_leader:
        return call_leader(state, ask, ControlHosts, CHANGE_SECONDS)
    return _change(state, lambda current: without_host(current, ask.host))


def _change(state: ReplicaState, next_set: NextSet) -> ControlHosts:
    term = state.term
    deadline = monotonic() + CHANGE_SECONDS
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

    state.commits.wait_until(
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

    state.commits.wait_until(
        lambda: not state.leads(term) or is_committed(), deadline - monotonic()
    )
    if not is_committed() or state.term != term:
        raise CommitUnknownError('The member set was not committed in time.')
