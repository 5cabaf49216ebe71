"""Single-server changes of the member set.

Members change one at a time, through the log, and each member uses the latest
set in its log, committed or not. If two sets differ by one voter, any quorum
of one overlaps any quorum of the other, so two leaders cannot both commit
under different sets. A set is proposed only when the previous one is committed
and the leader has committed an entry of its own term.
"""

from collections.abc import Callable

from trestle_control.membership import (
    ListedHost,
    Member,
    MemberSet,
    find_member,
    is_designated_voter,
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
    """Promote a learner to voter."""
    changed = [
        member._replace(voter=True)
        if member.incarnation == incarnation
        else member
        for member in member_set.members
    ]
    return member_set._replace(members=changed)


def with_host(member_set: MemberSet, listed: ListedHost) -> MemberSet:
    """List a host, or change its address or whether it votes.

    A member whose host no longer votes is demoted to learner immediately.
    """
    others = [other for other in member_set.hosts if other.host != listed.host]
    members = [
        member._replace(
            address=listed.address, voter=member.voter and listed.votes
        )
        if member.host == listed.host
        else member
        for member in member_set.members
    ]
    return MemberSet(member_set.group, members, sorted([*others, listed]))


def without_host(member_set: MemberSet, host: str) -> MemberSet:
    """Unlist a host and remove one of its members.

    The host may have several incarnations in the set; each call removes one.
    """
    hosts = [listed for listed in member_set.hosts if listed.host != host]
    unlisted = member_set._replace(hosts=hosts)
    for member in member_set.members:
        if member.host == host:
            return without_member(unlisted, member.incarnation)
    return unlisted


def next_member_set(
    current: MemberSet,
    joining_members: list[Member],
    is_caught_up: Callable[[Member], bool],
    is_silent: Callable[[Member], bool],
) -> MemberSet | None:
    """Return the set after the next single change, or None without one.

    A joining member becomes a learner. When it has caught up, the earlier
    identity of its host is removed; then the learner is promoted to voter if
    its host should vote.
    """
    for joining in joining_members:
        if find_member(current, joining.incarnation) is None:
            return with_learner(current, joining)
    for learner in current.members:
        if not learner.voter and is_caught_up(learner):
            changed = _change_after_catch_up(current, learner, is_silent)
            if changed:
                return changed
    return None


def _change_after_catch_up(
    current: MemberSet,
    learner: Member,
    is_silent: Callable[[Member], bool],
) -> MemberSet | None:
    earlier = _earlier_identity(current, learner)
    if earlier is None and is_designated_voter(current, learner):
        return with_voter(current, learner.incarnation)
    if earlier is not None and is_silent(earlier):
        return without_member(current, earlier.incarnation)
    return None


def _earlier_identity(current: MemberSet, learner: Member) -> Member | None:
    for member in current.members:
        is_same_host = member.host == learner.host
        if is_same_host and member.incarnation != learner.incarnation:
            return member
    return None
