"""The members of the group: voters and learners, each with its identity.

An identity consists of a host and an incarnation, which is written to the
host's disk at its first start. A host whose disk was replaced returns with
another incarnation. It is not the member that voted and acknowledged entries
before, so it starts as a learner, which is not counted in any quorum.
"""

from typing import NamedTuple

from trestle_links.codec import message


class MemberIdentity(NamedTuple):
    """A host and the incarnation of its data folder."""

    host: str
    incarnation: str


class Member(NamedTuple):
    """A member of the group; a learner receives the log but has no vote."""

    host: str
    incarnation: str
    address: str
    voter: bool

    @property
    def identity(self) -> MemberIdentity:
        """The identity of the member."""
        return MemberIdentity(self.host, self.incarnation)


class ListedHost(NamedTuple):
    """A host that may join the group, and its peer address.

    Without `votes` its member stays a learner: it serves streams and forwards
    commands, but no quorum depends on it.
    """

    host: str
    address: str
    votes: bool = True


@message(120)
class MemberSet(NamedTuple):
    """All members; `group` is an id generated when the group was formed.

    Only a process on one of `hosts` is admitted as a member.
    """

    group: str
    members: list[Member]
    hosts: list[ListedHost]


EMPTY_MEMBER_SET = MemberSet('', [], [])


def voters_of(member_set: MemberSet) -> list[Member]:
    """Return the voters of a member set."""
    return [member for member in member_set.members if member.voter]


def quorum_size(member_set: MemberSet) -> int:
    """Return the number of voters that form a quorum."""
    return len(voters_of(member_set)) // 2 + 1


def find_member(member_set: MemberSet, incarnation: str) -> Member | None:
    """Return the member with an incarnation, or None."""
    for member in member_set.members:
        if member.incarnation == incarnation:
            return member
    return None


def is_voter(member_set: MemberSet, incarnation: str) -> bool:
    """Return whether the member with an incarnation is a voter."""
    member = find_member(member_set, incarnation)
    return member is not None and member.voter


def is_designated_voter(member_set: MemberSet, member: Member) -> bool:
    """Return whether a member is a voter or should become one."""
    return member.voter or any(
        listed.votes
        for listed in member_set.hosts
        if listed.host == member.host
    )
