"""Steps that feed damaged files and frames to one member."""

from collections.abc import Callable
from pathlib import Path

from behave import given, then
from behave.runner import Context
from hypothesis import HealthCheck, settings
from hypothesis import given as any_value
from hypothesis import strategies as some
from msgpack import packb

from testbed.log_fixtures import (
    LEADER,
    NO_CHANNEL,
    group_of,
    header_of,
    member_state,
    snapshot_at,
)
from trestle_control.control_errors import DamagedLogError
from trestle_control.log_records import EntryKind, LogEntry, pack_entry
from trestle_control.replica_follower import append_handler, snapshot_handler
from trestle_control.replica_messages import (
    AppendAsk,
    PeerAnswer,
    SnapshotPart,
    VoteAsk,
    VoteReply,
)
from trestle_control.replica_state import ReplicaState
from trestle_control.snapshots import load_snapshot, store_snapshot
from trestle_control.vote_file import VoteFile
from trestle_core.errors import TrestleError
from trestle_links.codec import (
    BadFrameError,
    FrameReader,
    Message,
    encode_frame,
    encode_message,
)

EXAMPLES = 300
FUZZ = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
HOST = 'plovdiv-a'


def opens(folder: Path) -> bool:
    """Tell whether the vote and the snapshot of a folder can be read."""
    try:
        VoteFile.open(folder, HOST)
        load_snapshot(folder)
    except DamagedLogError:
        return False
    return True


def frames_in(stream: bytes) -> list[Message | None] | None:
    """Return the messages of a stream, or None if one is malformed."""
    try:
        return [frame.body for frame in FrameReader().feed(stream)]
    except BadFrameError:
        return None


def picture(state: ReplicaState) -> tuple[object, ...]:
    """Return what a malformed request must not change."""
    return (
        list(state.log.entries),
        state.log.synced_index,
        state.snapshot,
        state.commit_index,
        state.members,
    )


@given('a data folder with a vote and a snapshot')
def step_folder(context: Context) -> None:
    state = member_state(context.folder)
    store_snapshot(context.folder, snapshot_at(state, 3, 'x' * 200))
    state.log.stop()
    assert opens(context.folder)


@then('a changed byte or a cut anywhere in the {name} file is damage')
def step_damage(context: Context, name: str) -> None:
    path = next(context.folder.glob(f'{name}*'))
    content = path.read_bytes()

    @FUZZ
    @any_value(some.integers(0, len(content) - 1), some.integers(1, 255))
    def change(offset: int, mask: int) -> None:
        changed = bytearray(content)
        changed[offset] ^= mask
        path.write_bytes(changed)
        assert not opens(context.folder), offset

    change()
    for size in range(len(content)):
        path.write_bytes(content[:size])
        assert not opens(context.folder), size
    path.write_bytes(content)
    assert opens(context.folder)


@then('malformed entries and snapshots change nothing')
def step_entries(context: Context) -> None:
    state: ReplicaState = context.state
    before = picture(state)
    index = state.log.last_index + 1
    good = pack_entry(LogEntry(index, 2, EntryKind.COMMAND, b'x'))
    members = encode_message(group_of(state))

    @FUZZ
    @any_value(some.binary(max_size=60), some.integers(0, len(good) - 1))
    def feed(noise: bytes, size: int) -> None:
        for entry in (noise, good[:size], good + b'\x00', packb([noise])):
            ask = AppendAsk(header_of(state, 2), index - 1, 1, [entry], 0)
            check_refused(state, append_handler, ask)
        for content in (noise, packb([100, 1, members]), members[:size]):
            part = SnapshotPart(header_of(state, 2), 100, 0, content, True)
            check_refused(state, snapshot_handler, part)
        assert picture(state) == before

    feed()


def check_refused(
    state: ReplicaState, handler: Callable[..., Message], ask: Message
) -> None:
    """Check that a handler raises; the link answers with an error then."""
    try:
        handler(state, ask, NO_CHANNEL)
    except (ValueError, TypeError, TrestleError):
        return
    raise AssertionError('a malformed request was taken')


@then('a changed peer frame is a message or malformed, and nothing else')
def step_frames(context: Context) -> None:
    state: ReplicaState = context.state
    header = header_of(state, 2)
    answer = PeerAnswer('group', 2, LEADER.incarnation)
    bodies: list[Message] = [
        AppendAsk(header, 1, 1, [b'entry'], 1),
        VoteAsk(header, 1, 1, False, False),
        VoteReply(answer, True),
        SnapshotPart(header, 1, 0, b'part', True),
    ]
    frames = [encode_frame(1, body) for body in bodies]

    @FUZZ
    @any_value(some.sampled_from(frames), some.data())
    def change(frame: bytes, data: some.DataObject) -> None:
        offset = data.draw(some.integers(0, len(frame) - 1))
        changed = bytearray(frame)
        changed[offset] ^= data.draw(some.integers(1, 255))
        # Another code may make it another message, of the right types.
        for body in frames_in(bytes(changed)) or []:
            assert body is None or isinstance(body, tuple), body

    @FUZZ
    @any_value(some.binary(max_size=200))
    def feed(noise: bytes) -> None:
        frames_in(noise)

    change()
    feed()
