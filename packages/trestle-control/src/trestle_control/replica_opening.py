"""Opening a data folder: lock, vote, snapshot and log, in this order."""

from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from typing import TextIO

from trestle_control.control_errors import DamagedLogError
from trestle_control.durable_files import sync_folder
from trestle_control.log_segments import SegmentLog
from trestle_control.replica_log import note_members
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


def open_state(
    settings: ControlSettings, machine: StateMachine, me: Identity
) -> ReplicaState:
    """Open the data folder and restore the state machine.

    Raises `DamagedLogError` and `OSError`.
    """
    folder = Path(settings.data_folder)
    # A rename that a killed process did not sync is shown by the kernel.
    sync_folder(folder)
    votes = VoteFile.open(folder, settings.host)
    log = SegmentLog(folder, settings.segment_bytes)
    state = ReplicaState(settings, me, log, votes, machine)
    _restore(state)
    return state


def lock_folder(folder: Path) -> TextIO:
    """Lock the folder for this process; raises `TrestleError`."""
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
        # A crash while a leader's snapshot was installed leaves the old log.
        entry = log.entry_at(snapshot.log_index)
        is_older = log.last_index < snapshot.log_index
        if is_older or (entry and entry.term != snapshot.term):
            log.reset(snapshot.log_index + 1)
        state.snapshot = snapshot
        restore_snapshot(state, snapshot)
    if log.first_index > state.snapshot_index + 1:
        raise DamagedLogError(
            f'The log starts at {log.first_index}, '
            f'the snapshot ends at {state.snapshot_index}.'
        )
    for entry in log.entries:
        if entry.log_index > state.snapshot_index:
            note_members(state, entry)
    _log.info(
        'Opened: term {}, snapshot {}, log up to {}.',
        state.term,
        state.snapshot_index,
        log.last_index,
    )
