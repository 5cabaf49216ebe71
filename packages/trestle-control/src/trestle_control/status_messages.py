"""The status of the group; codes 113 and 114."""

from typing import NamedTuple

from trestle_links.codec import message


@message(113)
class StatusAsk(NamedTuple):
    """Requests a member's view of the group."""


class MemberStatus(NamedTuple):
    """The state of one member, as tracked by the leader."""

    host: str
    incarnation: str
    address: str
    voter: bool
    match_index: int
    reachable: bool


@message(114)
class ReplicaStatus(NamedTuple):
    """A member's view of the group.

    `second_loss_safe`: after the loss of any one more host, the remaining
    members still have a quorum with all committed entries. Only the leader
    can determine it; on other members it is false.
    """

    host: str
    incarnation: str
    group: str
    term: int
    role: str
    leader: str
    leader_address: str
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    members: list[MemberStatus]
    second_loss_safe: bool
