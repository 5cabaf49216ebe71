"""Messages between the members of the group; codes 100 to 119.

Every request of a member carries a `PeerHeader`. The receiver answers only if
it is the identity that the sender means, and says which one it is.
"""

from typing import NamedTuple

from trestle_control.membership import MemberIdentity
from trestle_links.codec import message


class PeerHeader(NamedTuple):
    """Sender, receiver and term of a request.

    `acked_index` is the highest index that the sender knows to be durable
    at the receiver; a receiver whose log ends before it has lost data.
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
    """A process that is not a member tells its identity and address."""

    identity: MemberIdentity
    address: str = ''


@message(101)
class AnnounceReply(NamedTuple):
    """`group` is empty while the receiver belongs to none.

    `forms` tells that the receiver may form the first group, `members` are
    the addresses of the group.
    """

    identity: MemberIdentity
    group: str
    forms: bool
    members: list[str] = []


@message(102)
class VoteAsk(NamedTuple):
    """Ask for a vote; `pre_vote` asks only whether it would be given.

    `handover` tells that the leader asked the sender to take over.
    """

    header: PeerHeader
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool


@message(103)
class VoteReply(NamedTuple):
    """Whether the vote is given."""

    answer: PeerAnswer
    granted: bool


@message(104)
class AppendAsk(NamedTuple):
    """Entries behind `previous_index`; without entries it is a heartbeat."""

    header: PeerHeader
    previous_index: int
    previous_term: int
    entries: list[bytes]
    commit_index: int


@message(105)
class AppendReply(NamedTuple):
    """The durable log up to `match_index` equals the leader's.

    If not accepted, the entry before the batch differs: `match_index` is the
    last index that may match. `conflict_term` is the term at that place.
    """

    answer: PeerAnswer
    accepted: bool
    match_index: int
    conflict_term: int


@message(106)
class SnapshotPart(NamedTuple):
    """Part of a packed snapshot; the last one has `end` set."""

    header: PeerHeader
    log_index: int
    offset: int
    content: bytes
    end: bool


@message(107)
class SnapshotReply(NamedTuple):
    """Bytes received so far; a part at another offset is not taken."""

    answer: PeerAnswer
    received: int


@message(108)
class LeadNow(NamedTuple):
    """The leader asks a caught-up voter to start an election at once."""

    header: PeerHeader


@message(109)
class ForwardCommand(NamedTuple):
    """Propose a packed command at the leader."""

    packed: bytes
    timeout_ms: int


@message(110)
class ForwardReply(NamedTuple):
    """The packed reply of the state machine."""

    packed: bytes


@message(111)
class ReadIndexAsk(NamedTuple):
    """Ask the leader for an index that is safe to read at.

    One that is not `urgent` waits for the next heartbeats instead of a round
    of its own.
    """

    timeout_ms: int
    urgent: bool


@message(112)
class ReadIndexReply(NamedTuple):
    """State up to `read_index` was in force `age_us` before the ask."""

    read_index: int
    age_us: int
