"""Changes of the member set.

Members change one at a time, through the log, and each member follows the
last set in its log, committed or not. Two sets that differ by one voter have
a common member in any two of their quorums, so no two leaders can commit
under different sets. A set is proposed only when the last one is committed
and the leader has committed an entry of its own term.
"""

from collections.abc import Callable

from trestle_control.membership import (
    ListedHost,
    Member,
    MemberSet,
    find_member,
    is_to_vote,
)


def with_learner(member_set: MemberSet, learner: Member) -> MemberSet:
    """Add a learner."""
    return member_set._replace(members=[*member_set.members, learner])


def without_member(member_set: MemberSet, incarnation: str) -> MemberSet:
    """Remove a member."""
    kept = [
        member
        for member in member_set.members
        if member.incarnation != incarnation
    ]
    return member_set._replace(members=kept)


def with_voter(member_set: MemberSet, incarnation: str) -> MemberSet:
    """Give a learner its vote."""
    changed = [
        member._replace(voter=True)
        if member.incarnation == incarnation
        else member
        for member in member_set.members
    ]
    return member_set._replace(members=changed)


def with_host(member_set: MemberSet, listed: ListedHost) -> MemberSet:
    """List a host, or change its address or whether it votes.

    A host that is no longer to vote loses its vote at once.
    """
    kept = [other for other in member_set.hosts if other.host != listed.host]
    members = [
        member._replace(
            address=listed.address, voter=member.voter and listed.votes
        )
        if member.host == listed.host
        else member
        for member in member_set.members
    ]
    return MemberSet(member_set.group, members, sorted([*kept, listed]))


def without_host(member_set: MemberSet, host: str) -> MemberSet:
    """Drop a host and one of its identities; again for the next one."""
    hosts = [listed for listed in member_set.hosts if listed.host != host]
    unlisted = member_set._replace(hosts=hosts)
    for member in member_set.members:
        if member.host == host:
            return without_member(unlisted, member.incarnation)
    return unlisted


def next_member_set(
    current: MemberSet,
    newcomers: list[Member],
    is_caught_up: Callable[[Member], bool],
    is_silent: Callable[[Member], bool],
) -> MemberSet | None:
    """Return the next single change of the members, or None.

    A newcomer becomes a learner. When it has caught up, the earlier identity
    of its host is removed, and then the learner becomes a voter if its host
    is to vote.
    """
    for newcomer in newcomers:
        if find_member(current, newcomer.incarnation) is None:
            return with_learner(current, newcomer)
    for learner in current.members:
        if not learner.voter and is_caught_up(learner):
            changed = _after_catch_up(current, learner, is_silent)
            if changed:
                return changed
    return None


def _after_catch_up(
    current: MemberSet,
    learner: Member,
    is_silent: Callable[[Member], bool],
) -> MemberSet | None:
    earlier = _earlier_identity(current, learner)
    if earlier is None and is_to_vote(current, learner):
        return with_voter(current, learner.incarnation)
    if earlier is not None and is_silent(earlier):
        return without_member(current, earlier.incarnation)
    return None


def _earlier_identity(current: MemberSet, learner: Member) -> Member | None:
    for member in current.members:
        same_host = member.host == learner.host
        if same_host and member.incarnation != learner.incarnation:
            return member
    return None
