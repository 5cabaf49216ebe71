"""The status of the group; codes 113 and 114."""

from typing import NamedTuple

from trestle_links.codec import message


@message(113)
class StatusAsk(NamedTuple):
    """Ask a member for its view of the group."""


class MemberStatus(NamedTuple):
    """One member as the leader sees it."""

    host: str
    incarnation: str
    address: str
    voter: bool
    match_index: int
    reachable: bool


@message(114)
class ReplicaStatus(NamedTuple):
    """A member's view of the group.

    `second_loss_safe`: after the loss of any one more host, the rest still
    has a quorum that holds everything committed. Only the leader knows; on
    other members it is false.
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
