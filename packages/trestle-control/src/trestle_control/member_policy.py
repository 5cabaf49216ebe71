"""The next change of the members, as the leader sees them.

Newcomers become learners, learners that caught up become voters, and a voter
that is gone for good leaves once there are more voters than wanted. Nobody
is taken out before another has its place, so the number of disks that may be
lost at once never falls below the wanted one.
"""

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
)
from trestle_control.replica_state import JoiningMember, ReplicaState

_LEARNER_LAG_ENTRIES: Final = 16
_NEWCOMER_TIMEOUTS: Final = 3
# Election timeouts of silence after which a voter whose place is taken is
# removed; long enough for a host that only restarts.
_GONE_TIMEOUTS: Final = 10


def next_members(state: ReplicaState) -> MemberSet | None:
    """Return a set that differs from the last one by one member, or None."""
    changed = next_member_set(
        _with_listed_newcomers(state),
        _newcomers(state),
        lambda learner: _is_caught_up(state, learner),
        lambda earlier: _is_silent(state, earlier),
    )
    return changed or _without_surplus(state)


def _with_listed_newcomers(state: ReplicaState) -> MemberSet:
    """List the hosts of newcomers where any holder of the key may join."""
    if not state.settings.seeds:
        return state.members
    listed = state.members
    known = {entry.host: entry.address for entry in listed.hosts}
    for host, newcomer in _recent_newcomers(state).items():
        if newcomer.address and known.get(host) != newcomer.address:
            listed = with_host(listed, ListedHost(host, newcomer.address))
    return listed


def _without_surplus(state: ReplicaState) -> MemberSet | None:
    """Take out a voter that is gone once others have its place."""
    voters = voters_of(state.members)
    wanted = state.settings.wanted_voters
    if not wanted or len(voters) <= wanted:
        return None
    gone_seconds = state.election_seconds * _GONE_TIMEOUTS
    if monotonic() - state.leading_since < gone_seconds:
        return None
    for voter in voters:
        if voter.incarnation == state.incarnation:
            continue
        peer = state.peers.get(voter.incarnation)
        if peer is None or peer.silent_seconds() > gone_seconds:
            remaining = without_host(state.members, voter.host)
            return remaining if keeps_quorum(state, remaining) else None
    return None


def keeps_quorum(state: ReplicaState, changed: MemberSet) -> bool:
    """Tell whether the voters of a set that answer now are a quorum of it."""
    voters = voters_of(changed)
    if not voters:
        return False
    answering = [
        voter for voter in voters if _answers(state, voter.incarnation)
    ]
    return len(answering) >= quorum_size(changed)


def _answers(state: ReplicaState, incarnation: str) -> bool:
    if incarnation == state.incarnation:
        return True
    peer = state.peers.get(incarnation)
    return peer is not None and peer.silent_seconds() < state.election_seconds


def _newcomers(state: ReplicaState) -> list[Member]:
    members = _with_listed_newcomers(state)
    listed = {entry.host: entry.address for entry in members.hosts}
    return [
        Member(host, newcomer.incarnation, listed[host], voter=False)
        for host, newcomer in _recent_newcomers(state).items()
        if host in listed
    ]


def _recent_newcomers(state: ReplicaState) -> dict[str, JoiningMember]:
    oldest = monotonic() - state.election_seconds * _NEWCOMER_TIMEOUTS
    return {
        host: newcomer
        for host, newcomer in state.joining_members.items()
        if newcomer.announced_at > oldest
    }


def _is_caught_up(state: ReplicaState, learner: Member) -> bool:
    peer = state.peers.get(learner.incarnation)
    if peer is None or peer.silent_seconds() > state.election_seconds:
        return False
    return peer.match_index + _LEARNER_LAG_ENTRIES >= state.commit_index


def _is_silent(state: ReplicaState, earlier: Member) -> bool:
    if monotonic() - state.leading_since < state.election_seconds:
        return False
    peer = state.peers.get(earlier.incarnation)
    return peer is None or peer.silent_seconds() > state.election_seconds
