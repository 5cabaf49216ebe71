"""Messages between the members of the group; codes 100 to 119.

A request of a leader or candidate carries a `PeerHeader`. The receiver replies
only if it is the addressed incarnation, and its reply contains its identity.
"""

from typing import NamedTuple

from trestle_control.membership import MemberIdentity
from trestle_links.codec import message


class PeerHeader(NamedTuple):
    """Sender, receiver and term of a request.

    `acked_index` is the highest index that the receiver has acknowledged to
    the sender as durable; a receiver whose log ends before it has lost data.
    """

    group: str
    term: int
    sender: MemberIdentity
    to_incarnation: str
    acked_index: int = 0


class PeerAnswer(NamedTuple):
    """Identity and term of a receiver."""

    group: str
    term: int
    incarnation: str


@message(100)
class Announce(NamedTuple):
    """Identity and address of a process that is not a member."""

    identity: MemberIdentity
    address: str = ''


@message(101)
class AnnounceReply(NamedTuple):
    """Identity and group of the receiver; `group` is empty without one.

    `forms` is true if the receiver may bootstrap the first group; `members`
    are the peer addresses of its group.
    """

    identity: MemberIdentity
    group: str
    forms: bool
    members: list[str] = []


@message(102)
class VoteAsk(NamedTuple):
    """Request a vote; with `pre_vote` only whether it would be granted.

    `handover` is true if the leader requested the sender to take over.
    """

    header: PeerHeader
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool


@message(103)
class VoteReply(NamedTuple):
    """Whether the vote, or the pre-vote, is granted."""

    answer: PeerAnswer
    granted: bool


class SilentMember(NamedTuple):
    """A voter that the leader does not hear of, and for how long."""

    incarnation: str
    silent_ms: int


@message(104)
class AppendAsk(NamedTuple):
    """Entries after `previous_index`; without entries it is a heartbeat.

    `silent` are the voters that the leader does not hear of, so that the next
    leader knows, too.
    """

    header: PeerHeader
    previous_index: int
    previous_term: int
    entries: list[bytes]
    commit_index: int
    silent: list[SilentMember] = []


@message(105)
class AppendReply(NamedTuple):
    """If accepted, the durable log matches the leader's up to `match_index`.

    If not accepted, the entry at `previous_index` differs: `match_index` is
    the last index that may match, and `conflict_term` the term of the
    entries that follow it.
    """

    answer: PeerAnswer
    accepted: bool
    match_index: int
    conflict_term: int


@message(106)
class SnapshotPart(NamedTuple):
    """Part of a packed snapshot; `end` is true for the last part."""

    header: PeerHeader
    log_index: int
    offset: int
    content: bytes
    end: bool


@message(107)
class SnapshotReply(NamedTuple):
    """Bytes received so far; a part at any other offset is ignored."""

    answer: PeerAnswer
    received: int


@message(108)
class LeadNow(NamedTuple):
    """Request from the leader to a caught-up voter: start an election now."""

    header: PeerHeader


@message(109)
class ForwardCommand(NamedTuple):
    """Request to the leader to propose a packed command."""

    packed: bytes
    timeout_ms: int


@message(110)
class ForwardReply(NamedTuple):
    """The packed reply of the state machine to a forwarded command."""

    packed: bytes


@message(111)
class ReadIndexAsk(NamedTuple):
    """Request a read index from the leader.

    Without `urgent` it waits for the next heartbeats instead of starting a
    round of its own.
    """

    timeout_ms: int
    urgent: bool


@message(112)
class ReadIndexReply(NamedTuple):
    """The state at `read_index` was current `age_us` before the request."""

    read_index: int
    age_us: int
