"""Steps on a data folder that is opened, given up and opened again."""

import gc
from collections.abc import Callable
from errno import EIO, ENOSPC
from os import fstat
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import monkey, sleep, spawn

from testbed.log_fixtures import (
    SEGMENT_BYTES,
    batch_from,
    member_state,
    snapshot_at,
)
from testbed.log_member import Dictionary
from trestle_control import segment_files, vote_file
from trestle_control.durable_files import write_checked_file
from trestle_control.log_segments import SegmentLog
from trestle_control.replica import Replica
from trestle_control.snapshots import store_snapshot
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.link import Identity

SNAPSHOT_INDEX = 40
TERM = 5
POLL_SECONDS = 0.01

# Does not let other greenlets run, as it is called in threads.
block = monkey.get_original('time', 'sleep')


def open_replica(folder: Path) -> Replica:
    """Open a replica as a process does."""
    settings = ControlSettings(
        host='plovdiv-a',
        zone='plovdiv-a',
        key_file='key',
        control=['127.0.0.1:1'],
        data_folder=str(folder),
        seeds=['127.0.0.1:1'],
    )
    me = Identity('plovdiv-a', b'key', Metrics.empty())
    return Replica.from_config(settings, Dictionary(), me)


def code_of(work: Callable[[], object]) -> str:
    """Return the code with which some work is refused, or nothing."""
    try:
        work()
    except TrestleError as error:
        return error.code.code
    return ''


@given('a data folder whose log is older than its snapshot')
def step_older_log(context: Context) -> None:
    """Leave what a crash leaves while a leader's snapshot is installed."""
    state = member_state(context.folder)
    state.log.append(batch_from(1))
    state.log.wait_synced(state.log.last_index)
    state.log.stop()
    store_snapshot(context.folder, snapshot_at(state, SNAPSHOT_INDEX, 'x'))


@when('a replica is opened while the disk refuses to remove the log')
def step_open_refused(context: Context) -> None:
    """Try once; no collection of garbage may hide a lock that is kept."""
    gc.disable()
    context.add_cleanup(gc.enable)
    refuse = OSError(ENOSPC, 'No space left on device')
    with patch.object(segment_files, 'sync_folder', side_effect=refuse):
        context.code = code_of(lambda: open_replica(context.folder))


@then('opening it was refused with "{code}"')
@then('storing it was refused with "{code}"')
def step_code(context: Context, code: str) -> None:
    """Check the refusal."""
    assert context.code == code, context.code


@then('the next try opens the folder')
def step_opens(context: Context) -> None:
    """Open it in the same process."""
    code = code_of(lambda: open_replica(context.folder).stop())
    assert not code, code


@given('a replica whose vote hangs on the disk')
def step_hanging_vote(context: Context) -> None:
    """Begin to store a vote, which waits in its thread."""
    context.replica = open_replica(context.folder)
    context.disk_hangs = True

    def write_later(path: Path, content: bytes) -> None:
        while context.disk_hangs:
            block(POLL_SECONDS)
        write_checked_file(path, content)

    patched = patch.object(vote_file, 'write_checked_file', write_later)
    patched.start()
    context.add_cleanup(patched.stop)
    context.store = spawn(context.replica.state.store_vote, TERM, 'other')
    sleep(0.05)


@when('the replica stops')
def step_stop(context: Context) -> None:
    """Stop it, with the greenlet that waits for the vote."""
    context.store.kill()
    context.replica.stop()


@then('the folder cannot be opened, and no further write begins')
def step_locked(context: Context) -> None:
    """Try both."""
    code = code_of(lambda: open_replica(context.folder))
    assert code == 'data-folder-in-use', code
    state = context.replica.state
    code = code_of(lambda: state.vote_file.store(TERM + 1, 'third'))
    assert code == 'storage-failed', code


@when('the disk goes on')
def step_goes_on(context: Context) -> None:
    """Let the write end."""
    context.disk_hangs = False
    sleep(20 * POLL_SECONDS)


@then('the folder opens with the vote that was written')
def step_vote(context: Context) -> None:
    """Read the vote back."""
    replica = open_replica(context.folder)
    context.add_cleanup(replica.stop)
    record = replica.state.vote_file.record
    assert (record.term, record.voted_for) == (TERM, 'other'), record


@given('a replica that has stopped as planned')
def step_stopped(context: Context) -> None:
    """Open and stop it."""
    context.replica = open_replica(context.folder)
    context.failures = []
    context.replica.on_failed.append(context.failures.append)
    context.replica.stop()


@when('a vote is stored')
def step_late_vote(context: Context) -> None:
    """Store it as the handler of a late request does."""
    state = context.replica.state
    context.code = code_of(lambda: state.store_vote(TERM, 'other'))


@then('the replica has not failed')
def step_not_failed(context: Context) -> None:
    """Check that nobody was told of a failure."""
    assert context.failures == [], context.failures
    assert context.replica.state.failure is None


class DroppingDisk:
    """What would be on a disk after a loss of power.

    As the kernel does, a failed sync drops what it should have written: it can
    still be read, but no later sync of that file writes it.
    """

    def __init__(self, failing_sync: int) -> None:
        """Fail one sync, counted from 1."""
        self.failing_sync = failing_sync
        self.syncs = 0
        self.durable: dict[int, bytes] = {}
        self.dropped: set[int] = set()

    def sync(self, descriptor: int) -> None:
        """Sync a file; raises `OSError`."""
        self.syncs += 1
        inode = fstat(descriptor).st_ino
        if self.syncs == self.failing_sync:
            self.dropped.add(inode)
            raise OSError(EIO, 'Input/output error')
        if inode not in self.dropped:
            path = Path(f'/proc/self/fd/{descriptor}')
            self.durable[inode] = path.read_bytes()

    def lose_power(self, folder: Path) -> None:
        """Leave only what is durable."""
        for path in folder.glob('log-*'):
            path.write_bytes(self.durable.get(path.stat().st_ino, b''))


@given('a disk that drops what a failed sync should have written')
def step_disk(context: Context) -> None:
    """Use it for the log."""
    context.folder_of_log = context.folder


@when('the sync of batch {batch:d} fails, and the log is opened again')
def step_sync_fails(context: Context, batch: int) -> None:
    """Write until the failure, then open the log anew."""
    context.disk = DroppingDisk(batch)
    log = SegmentLog(context.folder, SEGMENT_BYTES, context.disk.sync)
    log.start()
    for _ in range(batch):
        log.append(batch_from(log.last_index + 1))
        code = code_of(lambda: log.wait_synced(log.last_index))
    assert code == 'storage-failed', code
    log.stop()
    opened = SegmentLog(context.folder, SEGMENT_BYTES, context.disk.sync)
    context.durable_index = opened.synced_index
    opened.stop()


@when('the power is lost')
def step_power(context: Context) -> None:
    """Drop what is not on the disk."""
    context.disk.lose_power(context.folder)


@then('the log has all that counted as durable before')
def step_all_there(context: Context) -> None:
    """Open it once more."""
    found = SegmentLog(context.folder, SEGMENT_BYTES).last_index
    assert found >= context.durable_index, (found, context.durable_index)


@given('a data folder with drafts of a vote and of snapshots')
def step_drafts(context: Context) -> None:
    """Leave what failed writes leave."""
    for name in ('vote', 'snapshot-1', 'snapshot-2'):
        (context.folder / f'{name}.draft').write_bytes(b'half')


@when('a replica is opened')
def step_open(context: Context) -> None:
    """Open the folder."""
    context.add_cleanup(open_replica(context.folder).stop)


@then('no draft is left in the folder')
def step_no_draft(context: Context) -> None:
    """Look at the files."""
    left = list(context.folder.glob('*.draft'))
    assert not left, left
