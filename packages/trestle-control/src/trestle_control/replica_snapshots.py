"""Log compaction by snapshots, and installation of a leader's snapshot."""

from typing import Final

from trestle_control.control_errors import (
    CommitUnknownError,
    StorageFailedError,
)
from trestle_control.membership import MemberSet
from trestle_control.replica_log import reset_log, term_at
from trestle_control.replica_state import ReplicaState
from trestle_control.snapshots import Snapshot, store_snapshot
from trestle_core.logs import part_logger
from trestle_links.codec import decode_message, encode_message

# Kept for followers that lag slightly: sending entries costs less than
# sending the whole state.
_KEPT_ENTRIES: Final = 512

_log = part_logger('replica')


def needs_snapshot(state: ReplicaState) -> bool:
    """Return whether enough entries were applied since the last snapshot."""
    applied = state.applied_index - state.snapshot_index
    return applied >= state.settings.snapshot_entries


def take_snapshot(state: ReplicaState) -> None:
    """Store a snapshot of the applied state and compact the log.

    Raises `StorageFailedError`.
    """
    index = state.applied_index
    snapshot = Snapshot(
        index,
        term_at(state, index) or 0,
        encode_message(_members_at(state, index)),
        state.machine.snapshot(),
    )
    _store(state, snapshot)
    state.snapshot = snapshot
    _log.info('Took snapshot {} of {} bytes.', index, len(snapshot.state))
    state.local_identity.metrics.count('replica_snapshots_taken')
    kept = min(_KEPT_ENTRIES, state.settings.snapshot_entries)
    state.log.drop_before(index - kept)


def install_snapshot(state: ReplicaState, snapshot: Snapshot) -> None:
    """Replace the state, and a log that differs, by the leader's snapshot.

    Raises `StorageFailedError`.
    """
    with state.apply_lock, state.log_lock:
        if snapshot.log_index <= state.commit_index:
            return
        _store(state, snapshot)
        keeps_log = term_at(state, snapshot.log_index) == snapshot.term
        state.snapshot = snapshot
        if not keeps_log:
            # The member set must already be replaced while the log is reset,
            # because other greenlets run during the disk operation.
            state.member_sets = [_members_in(snapshot)]
            reset_log(state, snapshot.log_index + 1)
        _fail_covered_proposals(state, snapshot.log_index)
        restore_snapshot(state, snapshot)
        state.commit_index = max(state.commit_index, snapshot.log_index)
    _log.info('Installed snapshot {}.', snapshot.log_index)
    state.local_identity.metrics.count('replica_snapshots_installed')
    state.commit_signal.notify()
    state.apply_signal.notify()
    for hook in state.on_restored:
        hook()


def restore_snapshot(state: ReplicaState, snapshot: Snapshot) -> None:
    """Load a snapshot into the state machine and the member sets."""
    state.machine.restore(snapshot.state)
    state.applied_index = snapshot.log_index
    state.commit_index = max(state.commit_index, snapshot.log_index)
    later = [
        indexed_set
        for indexed_set in state.member_sets
        if indexed_set[0] > snapshot.log_index
    ]
    state.member_sets = [_members_in(snapshot), *later]


def _members_in(snapshot: Snapshot) -> tuple[int, MemberSet]:
    members = decode_message(snapshot.members)
    assert isinstance(members, MemberSet)
    return snapshot.log_index, members


def _store(state: ReplicaState, snapshot: Snapshot) -> None:
    try:
        state.folder_work.run(lambda: store_snapshot(state.folder, snapshot))
    except StorageFailedError as error:
        state.fail(error)
        raise


def _fail_covered_proposals(state: ReplicaState, index: int) -> None:
    covered = [
        proposed for proposed in state.pending_proposals if proposed <= index
    ]
    for proposed in covered:
        error = CommitUnknownError(
            'An installed snapshot covers the proposed index.'
        )
        state.pending_proposals.pop(proposed).reply.set_exception(error)


def _members_at(state: ReplicaState, index: int) -> MemberSet:
    indexed_sets = [entry for entry in state.member_sets if entry[0] <= index]
    return indexed_sets[-1][1]
