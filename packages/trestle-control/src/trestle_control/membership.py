"""Who belongs to the group: voters and learners, each with its identity.

An identity is a host and an incarnation, which is written to the host's disk
at its first start. A host whose disk was replaced comes back with another
incarnation: it is not the member that voted and acknowledged before, so it
starts as a learner, which counts for no quorum.

Members change one at a time, through the log, and each member follows the
last set in its log, committed or not. Two sets that differ by one voter have
a common member in any two of their quorums, so no two leaders can commit
under different sets. A set is proposed only when the last one is committed
and the leader has committed an entry of its own term.
"""

from collections.abc import Callable
from typing import NamedTuple

from trestle_links.codec import message


class MemberIdentity(NamedTuple):
    """A host, and the data folder that it had when it was admitted."""

    host: str
    incarnation: str


class Member(NamedTuple):
    """A member of the group; a learner gets the log but has no vote."""

    host: str
    incarnation: str
    address: str
    voter: bool

    @property
    def identity(self) -> MemberIdentity:
        """The member without its address and rank."""
        return MemberIdentity(self.host, self.incarnation)


class ListedHost(NamedTuple):
    """A host that may belong to the group, and its peer address."""

    host: str
    address: str


@message(120)
class MemberSet(NamedTuple):
    """All members; `group` is an id made when the group was formed.

    Only a process on one of `hosts` is admitted.
    """

    group: str
    members: list[Member]
    hosts: list[ListedHost]


EMPTY_SET = MemberSet('', [], [])


def voters_of(member_set: MemberSet) -> list[Member]:
    """Return the members that have a vote."""
    return [member for member in member_set.members if member.voter]


def quorum_size(member_set: MemberSet) -> int:
    """Return how many voters are a majority."""
    return len(voters_of(member_set)) // 2 + 1


def find_member(member_set: MemberSet, incarnation: str) -> Member | None:
    """Return the member with an incarnation."""
    for member in member_set.members:
        if member.incarnation == incarnation:
            return member
    return None


def is_voter(member_set: MemberSet, incarnation: str) -> bool:
    """Tell whether an identity has a vote."""
    member = find_member(member_set, incarnation)
    return member is not None and member.voter


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


def with_host(member_set: MemberSet, host: str, address: str) -> MemberSet:
    """List a host, or change its address."""
    kept = [listed for listed in member_set.hosts if listed.host != host]
    moved = [
        member._replace(address=address) if member.host == host else member
        for member in member_set.members
    ]
    hosts = sorted([*kept, ListedHost(host, address)])
    return MemberSet(member_set.group, moved, hosts)


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
    of its host is removed, and then the learner becomes a voter.
    """
    for newcomer in newcomers:
        if find_member(current, newcomer.incarnation) is None:
            return with_learner(current, newcomer)
    for learner in current.members:
        if learner.voter or not is_caught_up(learner):
            continue
        earlier = _earlier_identity(current, learner)
        if earlier is None:
            return with_voter(current, learner.incarnation)
        if is_silent(earlier):
            return without_member(current, earlier.incarnation)
    return None


def _earlier_identity(current: MemberSet, learner: Member) -> Member | None:
    for member in current.members:
        same_host = member.host == learner.host
        if same_host and member.incarnation != learner.incarnation:
            return member
    return None
