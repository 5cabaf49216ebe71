"""The next membership change, as decided by the leader.

Joining members become learners, and learners that have caught up become
voters. A silent voter is removed once there are more voters than wanted, so
only after another one has taken its place, and only while as many as wanted
are current without it: then nothing is lost with one that was not gone for
good, and it joins again. With fewer, several are silent, and none is removed:
nothing tells the one that is gone from one that is dark, with its disk, for a
moment. What was acknowledged meanwhile is on a majority of all of them.
"""

from functools import partial
from time import monotonic
from typing import Final

from trestle_control.membership import (
    ListedHost,
    Member,
    MemberSet,
    quorum_size,
    voters_of,
)
from trestle_control.membership_changes import (
    next_member_set,
    with_host,
    without_host,
    without_member,
)
from trestle_control.replica_state import JoiningMember, ReplicaState

_MAX_LEARNER_LAG_ENTRIES: Final = 16
_JOINING_TIMEOUTS: Final = 3
# Election timeouts of silence after which a surplus voter is removed.
_SILENT_TIMEOUTS: Final = 2


def next_members(state: ReplicaState) -> MemberSet | None:
    """Return a set that differs from the last one by one member, or None."""
    changed = next_member_set(
        _with_joining_hosts(state),
        _joining_members(state),
        lambda learner: _is_caught_up(state, learner),
        lambda earlier: _is_silent(state, earlier),
    )
    return changed or _without_surplus(state)


def _with_joining_hosts(state: ReplicaState) -> MemberSet:
    """Add the hosts of joining members, if any holder of the key may join."""
    if not state.settings.seeds:
        return state.members
    listed = state.members
    known = {entry.host: entry.address for entry in listed.hosts}
    for host, joining_member in _recent_joining_members(state).items():
        if joining_member.address and known.get(host) != joining_member.address:
            listed = with_host(listed, ListedHost(host, joining_member.address))
    return listed


def _without_surplus(state: ReplicaState) -> MemberSet | None:
    """Return the set without a silent voter, if there is a surplus."""
    voters = voters_of(state.members)
    wanted = state.settings.wanted_voters
    if not wanted or len(voters) <= wanted:
        return None
    leading_seconds = monotonic() - state.leading_since
    if leading_seconds <= state.election_seconds * _SILENT_TIMEOUTS:
        # Others may not have answered this leader yet.
        return None
    current = [voter for voter in voters if _is_current(state, voter)]
    if len(current) < wanted:
        return None
    others = [voter for voter in voters if voter.incarnation in state.peers]
    silent = min(others, key=partial(_last_heard_at, state))
    silent_seconds = monotonic() - _last_heard_at(state, silent)
    if silent_seconds <= state.election_seconds * _SILENT_TIMEOUTS:
        return None
    remaining = _without_voter(state, silent)
    return remaining if keeps_quorum(state, remaining) else None


def _last_heard_at(state: ReplicaState, voter: Member) -> float:
    return state.peers[voter.incarnation].last_heard_at


def _is_current(state: ReplicaState, voter: Member) -> bool:
    """Return whether a voter responds and has the log up to the last set."""
    if voter.incarnation == state.incarnation:
        return True
    peer = state.peers.get(voter.incarnation)
    if peer is None or peer.match_index < state.members_index:
        return False
    return _is_responsive(state, voter.incarnation)


def _without_voter(state: ReplicaState, voter: Member) -> MemberSet:
    """Remove a voter; its host stays listed if it has another identity."""
    identities = {
        member.incarnation
        for member in state.members.members
        if member.host == voter.host
    }
    if len(identities) > 1 or voter.host in _recent_joining_members(state):
        return without_member(state.members, voter.incarnation)
    return without_host(state.members, voter.host)


def keeps_quorum(state: ReplicaState, changed: MemberSet) -> bool:
    """Return whether the responsive voters of a set are a quorum of it."""
    voters = voters_of(changed)
    if not voters:
        return False
    responsive = [
        voter for voter in voters if _is_responsive(state, voter.incarnation)
    ]
    return len(responsive) >= quorum_size(changed)


def _is_responsive(state: ReplicaState, incarnation: str) -> bool:
    if incarnation == state.incarnation:
        return True
    peer = state.peers.get(incarnation)
    return peer is not None and peer.silent_seconds() < state.election_seconds


def _joining_members(state: ReplicaState) -> list[Member]:
    members = _with_joining_hosts(state)
    listed = {entry.host: entry.address for entry in members.hosts}
    return [
        Member(host, joining_member.incarnation, listed[host], voter=False)
        for host, joining_member in _recent_joining_members(state).items()
        if host in listed
    ]


def _recent_joining_members(state: ReplicaState) -> dict[str, JoiningMember]:
    oldest = monotonic() - state.election_seconds * _JOINING_TIMEOUTS
    return {
        host: joining_member
        for host, joining_member in state.joining_members.items()
        if joining_member.announced_at > oldest
    }


def _is_caught_up(state: ReplicaState, learner: Member) -> bool:
    peer = state.peers.get(learner.incarnation)
    if peer is None or peer.silent_seconds() > state.election_seconds:
        return False
    return peer.match_index + _MAX_LEARNER_LAG_ENTRIES >= state.commit_index


def _is_silent(state: ReplicaState, earlier: Member) -> bool:
    if monotonic() - state.leading_since < state.election_seconds:
        return False
    peer = state.peers.get(earlier.incarnation)
    return peer is None or peer.silent_seconds() > state.election_seconds
