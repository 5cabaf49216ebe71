"""A member of the replicated log, assembled from the replica modules.

Every member runs greenlets for the log writer, elections, the applier,
announcements and freshness requests. A leader also runs one greenlet per
peer, one that checks its quorum and changes the members, and one that commits
synced entries.
"""

from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any, Self, TextIO

from gevent import Greenlet

from trestle_control.control_errors import NotLeaderError, StorageFailedError
from trestle_control.membership import voters_of
from trestle_control.read_barrier import (
    confirm_leads,
    freshness_age_seconds,
    read_barrier,
    read_index_handler,
    run_freshness,
)
from trestle_control.replica_api import Lead
from trestle_control.replica_apply import propose, run_applier
from trestle_control.replica_bootstrap import (
    announce_handler,
    run_announcements,
)
from trestle_control.replica_election import run_elections, vote_handler
from trestle_control.replica_follower import (
    append_handler,
    lead_now_handler,
    snapshot_handler,
)
from trestle_control.replica_forward import forward_handler, submit
from trestle_control.replica_handover import hand_over
from trestle_control.replica_members import (
    add_host_handler,
    remove_host_handler,
)
from trestle_control.replica_messages import (
    Announce,
    AppendAsk,
    ForwardCommand,
    LeadNow,
    ReadIndexAsk,
    SnapshotPart,
    VoteAsk,
)
from trestle_control.replica_recovery import lock_folder, recover_state
from trestle_control.replica_state import ReplicaState
from trestle_control.replica_status import (
    group_status,
    group_status_handler,
    status_handler,
    status_of,
)
from trestle_control.replica_tasks import spawn_task
from trestle_control.state_machine import StateMachine
from trestle_control.status_messages import ReplicaStatus, StatusAsk
from trestle_core.settings import ControlSettings
from trestle_links.codec import Message
from trestle_links.link import Identity
from trestle_links.link_server import Handlers
from trestle_links.member_messages import (
    AddControlHost,
    GroupStatusAsk,
    RemoveControlHost,
)


class Replica:
    """One member, with the API for the rest of the control process."""

    def __init__(self, state: ReplicaState, lock_file: TextIO) -> None:
        """Wrap a recovered state; `lock_file` locks the data folder."""
        self.state = state
        self.lock_file = lock_file
        self.tasks: list['Greenlet[..., Any]'] = []
        self.on_applied = state.on_applied
        self.on_restored = state.on_restored
        self.on_failed = state.on_failed

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        machine: StateMachine,
        local_identity: Identity,
    ) -> Self:
        """Recover the replica and its state machine from the data folder.

        Raises `DamagedLogError`, `StorageFailedError`, or `TrestleError` when
        another process has locked the folder.
        """
        folder = Path(settings.data_folder)
        try:
            lock_file = lock_folder(folder)
        except OSError as error:
            raise StorageFailedError(str(error)) from error
        try:
            return cls(
                recover_state(settings, machine, local_identity), lock_file
            )
        except BaseException as error:
            # The next try of this process needs the lock.
            lock_file.close()
            if isinstance(error, OSError):
                raise StorageFailedError(str(error)) from error
            raise

    @property
    def is_leader(self) -> bool:
        """Whether this member acts as leader; another may have replaced it."""
        return self.state.is_leader

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader, or None if it is not known."""
        return self.state.leader_address

    @property
    def member_addresses(self) -> list[str]:
        """Peer addresses of all members, for nodes configured with seeds.

        Empty without seeds: nodes whose settings list the control hosts use
        that list.
        """
        if not self.state.settings.seeds:
            return []
        return [member.address for member in self.state.members.members]

    @property
    def has_wanted_voters(self) -> bool:
        """Whether there are enough voters to tolerate the configured losses."""
        voters = voters_of(self.state.members)
        return len(voters) >= self.state.settings.wanted_voters

    @property
    def lead(self) -> Lead:
        """What this member leads; its term is 0 if it does not."""
        if not self.is_leader:
            return Lead(0, 0)
        return Lead(self.state.term, monotonic() - self.state.leading_since)

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
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
            GroupStatusAsk: _bind(state, group_status_handler),
            AddControlHost: _bind(state, add_host_handler),
            RemoveControlHost: _bind(state, remove_host_handler),
        }

    def add_seeds(self, seeds: list[str]) -> None:
        """Add addresses to announce to while this process is no member."""
        self.state.seeds.update(seeds)

    def start(self) -> None:
        """Start the greenlets; the link server must be listening."""
        state = self.state
        # Shortens the first election timeout, so that a restart of all
        # members causes no long wait. A live leader sends a heartbeat before
        # the timeout ends, and a pre-vote does not disturb it.
        state.leader_contact_at = monotonic() - state.election_seconds
        state.log.on_failed.append(state.fail)
        state.log.start()
        loops = (
            run_elections,
            run_applier,
            run_announcements,
            run_freshness,
        )
        for loop in loops:
            self.tasks.append(spawn_task(state, loop))

    def stop(self) -> None:
        """Hand over leadership, sync the log, stop and give the folder up.

        The folder stays locked as long as an operation on it hangs.
        """
        if self.state.is_leader:
            hand_over(self.state)
        self.state.end()
        for task in self.tasks:
            task.kill()
        self.state.log.stop()
        for peer in list(self.state.peers.values()):
            peer.link.close()
        self.state.forward_links.close()
        self.state.folder_work.close(self.lock_file.close)

    def submit(self, command: Message, timeout_seconds: float) -> Message:
        """Propose a command from any member, through the leader.

        Raises `NotLeaderError` (not run) or `CommitUnknownError`.
        """
        return submit(self.state, command, timeout_seconds)

    def submit_as_leader(
        self, command: Message, term: int, timeout_seconds: float
    ) -> Message:
        """Propose what this member decided as leader, in that term only.

        A host that was frozen meanwhile may follow a leader that knows better.
        Raises `NotLeaderError` (not run) or `CommitUnknownError`.
        """
        if not self.state.leads(term):
            raise NotLeaderError(self.state.leader_address)
        return propose(self.state, command, timeout_seconds)

    def read_barrier(self, timeout_seconds: float) -> int:
        """Wait until local reads are linearizable; return the read index.

        Raises `NoQuorumError`.
        """
        return read_barrier(self.state, timeout_seconds)

    def confirm_leads(self, term: int, timeout_seconds: float) -> None:
        """Return once a quorum confirms that this member leads in a term.

        Raises `NoQuorumError`.
        """
        confirm_leads(self.state, term, timeout_seconds)

    def freshness_age_seconds(self) -> float:
        """Return the seconds since the local state was known to be current."""
        return freshness_age_seconds(self.state)

    def status(self) -> ReplicaStatus:
        """Return this member's view of the group."""
        return status_of(self.state)

    def group_status(self) -> ReplicaStatus:
        """Return the leader's view of the group; waits for its reply."""
        return group_status(self.state)


def _bind(
    state: ReplicaState,
    handler: Callable[[ReplicaState, Any, Any], Message],
) -> Callable[[Any, Any], Message]:
    return lambda request, channel: handler(state, request, channel)
