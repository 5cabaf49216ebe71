"""Steps on the storage and the follower of one member, in the test itself."""

from pathlib import Path
from time import monotonic

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, monkey, sleep, spawn
from hypothesis import given as any_value
from hypothesis import settings
from hypothesis import strategies as some

from testbed.log_fixtures import (
    BATCH_ENTRIES,
    NO_CHANNEL,
    SEGMENT_BYTES,
    batch_from,
    group_of,
    header_of,
    member_state,
    open_log,
    part_of,
    snapshot_at,
)
from testbed.log_member import PutValue
from trestle_control.control_errors import DamagedLogError, StorageFailedError
from trestle_control.log_records import (
    EntryKind,
    LogEntry,
    pack_entry,
)
from trestle_control.log_segments import SegmentLog
from trestle_control.peer_calls import refresh_peers
from trestle_control.read_barrier import freshness_age_seconds
from trestle_control.replica_follower import append_handler, snapshot_handler
from trestle_control.replica_log import append_entries
from trestle_control.replica_messages import (
    AppendAsk,
)
from trestle_control.replica_state import Role
from trestle_control.snapshots import pack_snapshot
from trestle_links.codec import encode_message

BATCHES = 8
SLOW_SECONDS = 0.3
LIMIT_SECONDS = 20.0
EXAMPLES = 300

block = monkey.get_original('time', 'sleep')


def write_batch(log: SegmentLog) -> None:
    """Append a batch and wait until it is synced."""
    log.append(batch_from(log.last_index + 1))
    log.wait_synced(log.last_index)


def read_folder(folder: Path) -> dict[Path, bytes]:
    """Return the content of every segment, in order."""
    return {path: path.read_bytes() for path in sorted(folder.glob('log-*'))}


def restore_folder(contents: dict[Path, bytes]) -> None:
    """Write back what `read_folder` returned."""
    for path, content in contents.items():
        path.write_bytes(content)


def is_damaged(folder: Path) -> bool:
    """Tell whether a log refuses to open."""
    try:
        SegmentLog(folder, SEGMENT_BYTES)
    except DamagedLogError as error:
        return error.code.code == 'damaged-log'
    return False


@given('a log of several batches in several segments')
def step_write_log(context: Context) -> None:
    log = open_log(context.folder)
    sizes = []
    for _ in range(BATCHES):
        sizes.append(log.files.size)
        write_batch(log)
    log.stop()
    context.last_batch_at = sizes[-1]
    context.contents = read_folder(context.folder)
    assert len(context.contents) > 1


@then('a changed byte anywhere before the last batch is damage')
def step_change_any_byte(context: Context) -> None:
    paths = list(context.contents)
    last = paths[-1]
    whole = sum(len(context.contents[path]) for path in paths[:-1])
    total = whole + context.last_batch_at

    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @any_value(some.integers(0, total - 1), some.integers(1, 255))
    def check(place: int, flip: int) -> None:
        restore_folder(context.contents)
        path = last
        for candidate in paths:
            if place < len(context.contents[candidate]):
                path = candidate
                break
            place -= len(context.contents[candidate])
        changed = bytearray(context.contents[path])
        changed[place] ^= flip
        path.write_bytes(bytes(changed))
        assert is_damaged(context.folder), (path.name, place, flip)

    assert context.last_batch_at > 0
    check()


@then('a log cut anywhere in its last batch keeps all before it')
def step_cut_anywhere(context: Context) -> None:
    last = list(context.contents)[-1]
    size = len(context.contents[last])
    kept = (BATCHES - 1) * BATCH_ENTRIES

    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @any_value(some.integers(context.last_batch_at, size - 1))
    def check(length: int) -> None:
        restore_folder(context.contents)
        last.write_bytes(context.contents[last][:length])
        log = SegmentLog(context.folder, SEGMENT_BYTES)
        assert kept <= log.last_index < kept + BATCH_ENTRIES
        assert log.entry_at(kept) == batch_from(kept)[0]

    check()


@when('the first segment is emptied')
def step_empty_segment(context: Context) -> None:
    first = next(iter(context.contents))
    first.write_bytes(b'')


@then('the log refuses to open')
def step_refuses(context: Context) -> None:
    assert is_damaged(context.folder)


@when('the log is opened with a recorded sync')
def step_open_recorded(context: Context) -> None:
    context.synced = []
    SegmentLog(context.folder, SEGMENT_BYTES, context.synced.append)


@then('its last segment was synced')
def step_was_synced(context: Context) -> None:
    assert context.synced


@given('a log whose syncs take a while')
def step_slow_log(context: Context) -> None:
    context.synced = []

    def sync_slowly(descriptor: int) -> None:
        block(SLOW_SECONDS)
        context.synced.append(descriptor)

    context.log = SegmentLog(context.folder, SEGMENT_BYTES, sync_slowly)
    context.log.start()


@when('a batch is written')
def step_write_batch(context: Context) -> None:
    write_batch(context.log)


@then('its sync had ended')
def step_sync_ended(context: Context) -> None:
    assert context.synced


@given('a log whose writes fail after the first batch')
def step_failing_log(context: Context) -> None:
    log = open_log(context.folder)
    write_batch(log)

    def refuse_sync(descriptor: int) -> None:
        raise OSError(28, 'No space left on device')

    log.files.sync_file = refuse_sync
    context.log = log


@given('a log whose writes fail in an unknown way after the first batch')
def step_odd_log(context: Context) -> None:
    step_failing_log(context)

    def fail(descriptor: int) -> None:
        raise LookupError(f'descriptor {descriptor}')

    context.log.files.sync_file = fail


@when('another batch is appended')
def step_append(context: Context) -> None:
    context.log.append(batch_from(BATCH_ENTRIES + 1))


@then('waiting for it raises storage-failed')
def step_storage_failed(context: Context) -> None:
    try:
        with Timeout(LIMIT_SECONDS):
            context.log.wait_synced(BATCH_ENTRIES + 1)
    except StorageFailedError as error:
        assert error.code.code == 'storage-failed'
    else:
        raise AssertionError('the batch was acknowledged')
    assert context.log.synced_index == BATCH_ENTRIES


@then('after a restart the first batch is there')
def step_reopen(context: Context) -> None:
    log = SegmentLog(context.folder, SEGMENT_BYTES)
    assert log.last_index >= BATCH_ENTRIES


@given('a follower with an entry of an earlier term')
def step_follower(context: Context) -> None:
    state = member_state(context.folder)
    packed = encode_message(group_of(state))
    append_entries(state, [LogEntry(1, 1, EntryKind.MEMBERS, packed)])
    append_entries(state, batch_from(2))
    state.log.wait_synced(state.log.last_index)
    context.state = state


@when('a later term begins while a conflict is truncated')
def step_truncate_slowly(context: Context) -> None:
    state = context.state
    truncate = state.log.files.truncate_from

    def truncate_slowly(index: int) -> None:
        block(SLOW_SECONDS)
        truncate(index)

    state.log.files.truncate_from = truncate_slowly
    entries = [pack_entry(entry) for entry in batch_from(2, term=2)]
    ask = AppendAsk(header_of(state, 2), 1, 1, entries, 0)
    handler = spawn(append_handler, state, ask, NO_CHANNEL)
    sleep(SLOW_SECONDS / 3)
    # This member wins the next term meanwhile and starts with an entry.
    state.store_vote(3, state.incarnation)
    state.set_role(Role.LEADER, state.member_identity)
    append_entries(state, [LogEntry(2, 3, EntryKind.NO_OP, b'')])
    context.reply = handler.get(timeout=SLOW_SECONDS * 10)


@then('no entry of the deposed leader was appended')
def step_only_own(context: Context) -> None:
    terms = [entry.term for entry in context.state.log.entries]
    assert terms == [1, 3], terms
    assert not context.reply.accepted


@when('a part of an older snapshot arrives between two parts')
def step_mix_parts(context: Context) -> None:
    state = context.state
    # The same length, so that nothing but the content tells them apart.
    older = snapshot_at(state, 100, 'a' * 100)
    context.newer = snapshot_at(state, 101, 'b' * 100)
    size = len(pack_snapshot(older))
    half = size - 50
    snapshot_handler(state, part_of(state, context.newer, 0, half), NO_CHANNEL)
    snapshot_handler(state, part_of(state, older, half, size), NO_CHANNEL)
    snapshot_handler(
        state, part_of(state, context.newer, half, size), NO_CHANNEL
    )


@then('the member holds the newer snapshot')
def step_holds_newer(context: Context) -> None:
    assert context.state.snapshot == context.newer, context.state.snapshot


@when('the snapshot is installed on a slow disk')
def step_install_slowly(context: Context) -> None:
    state = context.state
    truncate = state.log.files.truncate_from

    def truncate_slowly(index: int) -> None:
        block(SLOW_SECONDS)
        truncate(index)

    state.log.files.truncate_from = truncate_slowly
    snapshot = snapshot_at(state, 100, 'a')
    part = part_of(state, snapshot, 0, len(pack_snapshot(snapshot)))
    handler = spawn(snapshot_handler, state, part, NO_CHANNEL)
    context.sets = []
    while not handler.ready():
        context.sets.append(list(state.member_sets))
        sleep(SLOW_SECONDS / 10)
    handler.get()


@then('the member set was known all the time')
def step_set_known(context: Context) -> None:
    assert len(context.sets) > 3
    assert all(context.sets), context.sets


@given('a leader whose peers answer while it has not applied')
def step_lagging_leader(context: Context) -> None:
    state = member_state(context.folder)
    packed = encode_message(group_of(state))
    command = encode_message(PutValue('lot', 'value', 0))
    append_entries(state, [LogEntry(1, 2, EntryKind.MEMBERS, packed)])
    append_entries(state, [LogEntry(2, 2, EntryKind.COMMAND, command)])
    state.log.wait_synced(2)
    state.set_role(Role.LEADER, state.member_identity)
    refresh_peers(state)
    state.commit_index = 2
    for peer in state.peers.values():
        peer.acked_at = monotonic()
    context.state = state


@then('its state is as old as what it applied')
def step_not_fresh(context: Context) -> None:
    state = context.state
    assert freshness_age_seconds(state) > SLOW_SECONDS
    state.applied_index = 2
    assert freshness_age_seconds(state) < SLOW_SECONDS
