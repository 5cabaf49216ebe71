"""Who belongs to the group: voters and learners, each with its identity.

An identity is a host and an incarnation, which is written to the host's disk
at its first start. A host whose disk was replaced comes back with another
incarnation: it is not the member that voted and acknowledged before, so it
starts as a learner, which counts for no quorum.
"""

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
    """A host that may belong to the group, and its peer address.

    One that does not vote stays a learner: it serves streams and sends
    commands on, and no quorum waits for it.
    """

    host: str
    address: str
    votes: bool = True


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


def is_to_vote(member_set: MemberSet, member: Member) -> bool:
    """Tell whether a member is a voter or is to become one."""
    return member.voter or any(
        listed.votes
        for listed in member_set.hosts
        if listed.host == member.host
    )
