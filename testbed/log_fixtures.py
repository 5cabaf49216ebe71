"""Parts of one member that run inside a test, without links."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from msgpack import packb

from testbed.log_member import Dictionary
from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.log_segments import SegmentLog
from trestle_control.membership import Member, MemberIdentity, MemberSet
from trestle_control.replica_messages import PeerHeader, SnapshotPart
from trestle_control.replica_state import ReplicaState
from trestle_control.snapshots import Snapshot, pack_snapshot
from trestle_control.vote_file import VoteFile
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings, MemberSettings
from trestle_links.codec import encode_message
from trestle_links.link import Identity
from trestle_links.link_server import Handlers, LinkServer

SEGMENT_BYTES: Final = 4096
BATCH_ENTRIES: Final = 5
PAYLOAD_BYTES: Final = 150
LEADER: Final = MemberIdentity('plovdiv-b', 'leader')
UNREACHABLE: Final = (
    MemberSettings('plovdiv-b', '127.0.0.1:1'),
    MemberSettings('asenovgrad', '127.0.0.1:1'),
)
# The handlers of the replica answer by their return value.
NO_CHANNEL: Any = None


def open_log(folder: Path) -> SegmentLog:
    """Open a log and start its writer."""
    log = SegmentLog(folder, SEGMENT_BYTES)
    log.start()
    return log


def batch_from(index: int, term: int = 1) -> list[LogEntry]:
    """Return a batch of entries that starts at an index."""
    return [
        LogEntry(index + number, term, EntryKind.COMMAND, b'x' * PAYLOAD_BYTES)
        for number in range(BATCH_ENTRIES)
    ]


def member_state(
    folder: Path, others: Sequence[MemberSettings] = UNREACHABLE
) -> ReplicaState:
    """Open one member of a group of three; the others have addresses only."""
    listed = [MemberSettings('plovdiv-a', '127.0.0.1:1'), *others]
    config = ControlSettings(
        host='plovdiv-a',
        zone='plovdiv-a',
        key_file='key',
        control=['127.0.0.1:1'],
        data_folder=str(folder),
        members=listed,
    )
    me = Identity('plovdiv-a', b'key', Metrics.empty())
    log = open_log(folder)
    votes = VoteFile.open(folder, 'plovdiv-a')
    state = ReplicaState(config, me, log, votes, Dictionary())
    votes.store(2, '')
    return state


def start_peer(name: str, handlers: Handlers) -> LinkServer:
    """Start the link server of another member of the group."""
    server = LinkServer(
        '127.0.0.1:0', Identity(name, b'key', Metrics.empty()), handlers
    )
    server.start()
    return server


def group_of(state: ReplicaState) -> MemberSet:
    """Return a set of three voters with this member in it."""
    identities = (
        state.member_identity,
        LEADER,
        MemberIdentity('asenovgrad', 'third'),
    )
    members = [
        Member(*identity, '127.0.0.1:1', voter=True) for identity in identities
    ]
    return MemberSet('group', members, [])


def header_of(state: ReplicaState, term: int) -> PeerHeader:
    """Return the header of a request of the leader."""
    return PeerHeader('group', term, LEADER, state.incarnation)


def snapshot_at(state: ReplicaState, index: int, value: str) -> Snapshot:
    """Return a snapshot with one value, random enough to need two parts."""
    members = encode_message(group_of(state))
    return Snapshot(index, 1, members, packb({'lot': value}))


def part_of(
    state: ReplicaState, snapshot: Snapshot, begin: int, end: int
) -> SnapshotPart:
    """Return some bytes of a snapshot as a part."""
    packed = pack_snapshot(snapshot)
    is_end = end >= len(packed)
    header = header_of(state, 2)
    return SnapshotPart(
        header, snapshot.log_index, begin, packed[begin:end], is_end
    )
