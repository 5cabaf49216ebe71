"""Recovers a replica from its data folder.

The folder is locked first, then the vote, the log and the snapshot are read.
"""

from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from typing import TextIO

from trestle_control.control_errors import DamagedLogError
from trestle_control.durable_files import remove_drafts, sync_folder
from trestle_control.log_segments import SegmentLog
from trestle_control.replica_log import record_member_set
from trestle_control.replica_snapshots import restore_snapshot
from trestle_control.replica_state import ReplicaState
from trestle_control.snapshots import load_snapshot
from trestle_control.state_machine import StateMachine
from trestle_control.vote_file import VoteFile
from trestle_core.errorcodes import DATA_FOLDER_IN_USE
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.settings import ControlSettings
from trestle_links.link import Identity

_log = part_logger('replica')


def recover_state(
    settings: ControlSettings, machine: StateMachine, local_identity: Identity
) -> ReplicaState:
    """Recover the state and the state machine from the data folder.

    Raises `DamagedLogError` and `OSError`.
    """
    folder = Path(settings.data_folder)
    remove_drafts(folder)
    # A killed process may have left a rename that the kernel shows but that
    # is not yet synced.
    sync_folder(folder)
    vote_file = VoteFile.open(
        folder, settings.host, is_original=settings.bootstrap
    )
    log = SegmentLog(folder, settings.segment_bytes)
    state = ReplicaState(settings, local_identity, log, vote_file, machine)
    _restore(state)
    return state


def lock_folder(folder: Path) -> TextIO:
    """Lock the folder for this process.

    Raises `TrestleError` when another process has locked it.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sync_folder(folder.parent)
    lock_file = (folder / 'lock').open('w')
    try:
        flock(lock_file, LOCK_EX | LOCK_NB)
    except OSError as error:
        lock_file.close()
        raise TrestleError(DATA_FOLDER_IN_USE, str(folder)) from error
    return lock_file


def _restore(state: ReplicaState) -> None:
    snapshot = load_snapshot(state.folder)
    log = state.log
    if snapshot:
        # A crash during the installation of a leader's snapshot leaves the
        # old log behind.
        entry = log.entry_at(snapshot.log_index)
        is_older = log.last_index < snapshot.log_index
        if is_older or (entry and entry.term != snapshot.term):
            log.reset(snapshot.log_index + 1)
        state.snapshot = snapshot
        restore_snapshot(state, snapshot)
    if log.first_index > state.snapshot_index + 1:
        raise DamagedLogError(
            f'The log starts at index {log.first_index}, '
            f'the snapshot ends at index {state.snapshot_index}.'
        )
    for entry in log.entries:
        if entry.log_index > state.snapshot_index:
            record_member_set(state, entry)
    _log.info(
        'Data folder opened: term {}, snapshot index {}, last index {}.',
        state.term,
        state.snapshot_index,
        log.last_index,
    )
