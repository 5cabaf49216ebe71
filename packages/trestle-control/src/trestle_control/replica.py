"""A member of the replicated log: the parts put together.

The greenlets: the log's writer, elections, the applier, announcements and
freshness asks run on every member; a leader adds one for each peer, one that
checks its quorum and changes members, and one that commits what is synced.
"""

from collections.abc import Callable
from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from time import monotonic
from typing import Any, Final, Self, TextIO

from gevent import Greenlet, sleep, spawn

from trestle_control.control_errors import DamagedLogError
from trestle_control.log_segments import SegmentLog
from trestle_control.peer_calls import call_peer, header_for
from trestle_control.peers import Peer
from trestle_control.read_barrier import (
    freshness_age_seconds,
    read_barrier,
    read_index_handler,
    run_freshness,
    wait_applied,
)
from trestle_control.replica_apply import propose, run_applier
from trestle_control.replica_election import run_elections, vote_handler
from trestle_control.replica_follower import (
    append_handler,
    lead_now_handler,
    snapshot_handler,
)
from trestle_control.replica_formation import (
    announce_handler,
    run_announcements,
)
from trestle_control.replica_forward import forward_handler, submit
from trestle_control.replica_log import note_members
from trestle_control.replica_messages import (
    Announce,
    AppendAsk,
    ForwardCommand,
    LeadNow,
    ReadIndexAsk,
    SnapshotPart,
    VoteAsk,
)
from trestle_control.replica_snapshots import restore_snapshot
from trestle_control.replica_state import ReplicaState
from trestle_control.replica_status import status_handler, status_of
from trestle_control.snapshots import load_snapshot
from trestle_control.state_machine import StateMachine
from trestle_control.status_messages import ReplicaStatus, StatusAsk
from trestle_control.vote_file import VoteFile
from trestle_core.errorcodes import DATA_FOLDER_IN_USE, INTERNAL
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.settings import ControlSettings
from trestle_links.codec import Message
from trestle_links.link import Identity
from trestle_links.link_messages import Done
from trestle_links.link_server import Handlers

_HANDOVER_SECONDS: Final = 2.0
_POLL_SECONDS: Final = 0.01

_log = part_logger('replica')


class Replica:
    """One member; the API that the rest of the control process uses."""

    def __init__(self, state: ReplicaState, lock_file: TextIO) -> None:
        """Wrap an opened state; `lock_file` guards the data folder."""
        self.state = state
        self.lock_file = lock_file
        self.tasks: list[Greenlet[..., Any]] = []
        self.on_applied = state.on_applied
        self.on_restored = state.on_restored
        self.on_failed = state.on_failed

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        machine: StateMachine,
        me: Identity,
    ) -> Self:
        """Open the data folder and restore the state machine.

        Raises `DamagedLogError`, or `TrestleError` when another process uses
        the folder.
        """
        folder = Path(settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        lock_file = _lock_folder(folder)
        votes = VoteFile.open(folder, settings.host)
        log = SegmentLog(folder, settings.segment_bytes)
        state = ReplicaState(settings, me, log, votes, machine)
        _restore(state)
        return cls(state, lock_file)

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""
        return self.state.is_leader

    @property
    def leader_address(self) -> str | None:
        """Where the leader listens, if it is known."""
        return self.state.leader_address

    @property
    def applied_index(self) -> int:
        """The last index that the state machine has applied."""
        return self.state.applied_index

    def handlers(self) -> Handlers:
        """Return the link handlers of the replica."""
        state = self.state
        return {
            Announce: _bind(state, announce_handler),
            VoteAsk: _bind(state, vote_handler),
            AppendAsk: _bind(state, append_handler),
            SnapshotPart: _bind(state, snapshot_handler),
            LeadNow: _bind(state, lead_now_handler),
            ForwardCommand: _bind(state, forward_handler),
            ReadIndexAsk: _bind(state, read_index_handler),
            StatusAsk: _bind(state, status_handler),
        }

    def start(self) -> None:
        """Start the greenlets; the link server must be listening."""
        state = self.state
        state.heard_at = monotonic()
        state.log.on_failed.append(state.fail)
        state.log.start()
        loops = (
            run_elections,
            run_applier,
            run_announcements,
            run_freshness,
        )
        for loop in loops:
            task = spawn(loop, state)
            task.link_exception(self._fail_on_bug)
            self.tasks.append(task)

    def stop(self) -> None:
        """Hand leadership over, sync the log and stop."""
        if self.state.is_leader:
            _hand_over(self.state)
        self.state.running = False
        for task in self.tasks:
            task.kill()
        self.state.log.stop()
        for peer in list(self.state.peers.values()):
            peer.link.close()
        self.state.forward_links.close()
        self.lock_file.close()

    def propose(self, command: Message, timeout_seconds: float) -> Message:
        """Propose on the leader; return the reply of the state machine.

        Raises `NotLeaderError` (not run) or `CommitUnknownError`.
        """
        return propose(self.state, command, timeout_seconds)

    def submit(self, command: Message, timeout_seconds: float) -> Message:
        """Propose from any member.

        Raises `NotLeaderError` (not run) or `CommitUnknownError`.
        """
        return submit(self.state, command, timeout_seconds)

    def read_barrier(self, timeout_seconds: float) -> int:
        """Wait until a local read is linearizable; return its index.

        Raises `NoQuorumError`.
        """
        return read_barrier(self.state, timeout_seconds)

    def freshness_age_seconds(self) -> float:
        """Return how long ago the local state was certainly the newest."""
        return freshness_age_seconds(self.state)

    def wait_applied(self, index: int, timeout_seconds: float) -> bool:
        """Wait until an index is applied; return whether it is."""
        return wait_applied(self.state, index, timeout_seconds)

    def status(self) -> ReplicaStatus:
        """Return this member's view of the group."""
        return status_of(self.state)

    def _fail_on_bug(self, task: 'Greenlet[..., Any]') -> None:
        _log.error('A greenlet failed: {!r}.', task.exception)
        self.state.fail(TrestleError(INTERNAL, repr(task.exception)))


def _bind(
    state: ReplicaState,
    handler: Callable[[ReplicaState, Any, Any], Message],
) -> Callable[[Any, Any], Message]:
    return lambda ask, channel: handler(state, ask, channel)


def _lock_folder(folder: Path) -> TextIO:
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


def _hand_over(state: ReplicaState) -> None:
    state.handing_over = True
    deadline = monotonic() + _HANDOVER_SECONDS
    asked = False
    while state.is_leader and monotonic() < deadline:
        peer = _caught_up_voter(state)
        if peer and not asked:
            asked = _ask_to_lead(state, peer)
        sleep(_POLL_SECONDS)


def _caught_up_voter(state: ReplicaState) -> Peer | None:
    for peer in state.peers.values():
        is_live = peer.silent_seconds() < state.election_seconds
        matches = peer.match_index == state.log.last_index
        if peer.member.voter and is_live and matches:
            return peer
    return None


def _ask_to_lead(state: ReplicaState, peer: Peer) -> bool:
    header = header_for(state, peer, state.term)
    try:
        call_peer(state, peer, LeadNow(header), Done)
    except TrestleError as error:
        _log.info('{} does not take over: {}.', peer.member.host, error.message)
        return False
    _log.info('Asked {} to lead.', peer.member.host)
    return True
