"""The quorum rule, applied to the member sets and the losses that are known."""

from collections.abc import Callable, Mapping, Set
from math import inf

from trestle_control.membership import MemberSet, voters_of
from trestle_control.quorums import (
    VotersInForce,
    has_spare_voter,
    is_quorum,
)
from trestle_control.replica_state import ReplicaState


def is_quorum_of(state: ReplicaState, members: Set[str]) -> bool:
    """Return whether members, by incarnation, form a quorum of this log."""
    return _quorum_rule(state)(members)


def quorum_value(state: ReplicaState, values: Mapping[str, float]) -> float:
    """Return the highest value that a quorum has reached.

    `values` are by incarnation. The result is negative infinity without one.
    """
    is_quorum_now = _quorum_rule(state)
    for value in sorted(set(values.values()), reverse=True):
        reached = {key for key, own in values.items() if own >= value}
        if is_quorum_now(reached):
            return value
    return -inf


def _quorum_rule(state: ReplicaState) -> Callable[[Set[str]], bool]:
    """Return the rule as the log and the known losses have it now."""
    in_force = voters_in_force(state)
    wanted = state.settings.wanted_voters
    return lambda members: is_quorum(
        in_force, members, state.lost_members, wanted
    )


def voters_in_force(state: ReplicaState) -> VotersInForce:
    """Return the voters of the last set, and of the one before it."""
    voters = _incarnations(state.members)
    previous = _previous_voters(state)
    # A set is proposed only when the one before it is committed.
    is_committed = (
        state.commit_index >= state.members_index or previous == voters
    )
    return VotersInForce(voters, previous, is_committed)


def needs_confirmation(state: ReplicaState) -> bool:
    """Return whether a member that restarts must see that a set is committed.

    It knows no commit index. The same set once more in its log proves it.
    """
    voters = _incarnations(state.members)
    previous = _previous_voters(state)
    wanted = state.settings.wanted_voters
    return voters != previous and (
        has_spare_voter(voters, wanted) or has_spare_voter(previous, wanted)
    )


def _previous_voters(state: ReplicaState) -> frozenset[str]:
    """Return the voters before the last set; the same if that is committed."""
    if state.members_index <= state.snapshot_index:
        return _incarnations(state.members)
    if len(state.member_sets) < 2:
        return frozenset()
    return _incarnations(state.member_sets[-2][1])


def _incarnations(member_set: MemberSet) -> frozenset[str]:
    return frozenset(voter.incarnation for voter in voters_of(member_set))
