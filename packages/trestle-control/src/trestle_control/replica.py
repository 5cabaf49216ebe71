"""A member of the replicated log: the parts put together.

The greenlets: the log's writer, elections, the applier, announcements and
freshness asks run on every member; a leader adds one for each peer, one that
checks its quorum and changes members, and one that commits what is synced.
"""

from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any, Self, TextIO

from gevent import Greenlet

from trestle_control.control_errors import StorageFailedError
from trestle_control.membership import voters_of
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
from trestle_control.replica_opening import lock_folder, open_state
from trestle_control.replica_state import ReplicaState
from trestle_control.replica_status import (
    group_status,
    group_status_handler,
    status_handler,
    status_of,
)
from trestle_control.replica_tasks import spawn_part
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
    """One member; the API that the rest of the control process uses."""

    def __init__(self, state: ReplicaState, lock_file: TextIO) -> None:
        """Wrap an opened state; `lock_file` guards the data folder."""
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
        me: Identity,
    ) -> Self:
        """Open the data folder and restore the state machine.

        Raises `DamagedLogError`, `StorageFailedError`, or `TrestleError` when
        another process uses the folder.
        """
        folder = Path(settings.data_folder)
        try:
            lock_file = lock_folder(folder)
            state = open_state(settings, machine, me)
        except OSError as error:
            raise StorageFailedError(str(error)) from error
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
    def member_addresses(self) -> list[str]:
        """Peer addresses of all members, for nodes that know seeds only.

        Nodes whose settings list the control hosts keep to that list.
        """
        if not self.state.settings.seeds:
            return []
        return [member.address for member in self.state.members.members]

    @property
    def bears_losses(self) -> bool:
        """Tell whether a quorum is left after the losses to be borne."""
        voters = voters_of(self.state.members)
        return len(voters) >= self.state.settings.wanted_voters

    @property
    def term(self) -> int:
        """The current term, as synced."""
        return self.state.term

    @property
    def leading_seconds(self) -> float:
        """How long this member has led; 0 when it does not."""
        if not self.is_leader:
            return 0
        return monotonic() - self.state.leading_since

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
            GroupStatusAsk: _bind(state, group_status_handler),
            AddControlHost: _bind(state, add_host_handler),
            RemoveControlHost: _bind(state, remove_host_handler),
        }

    def add_seeds(self, seeds: list[str]) -> None:
        """Announce to more addresses while this member is outside."""
        self.state.seeds.update(seeds)

    def start(self) -> None:
        """Start the greenlets; the link server must be listening."""
        state = self.state
        # A leader that lives sends within a heartbeat, and a pre-vote does
        # not disturb it: after a restart of all, nobody waits for long.
        state.heard_at = monotonic() - state.election_seconds
        state.log.on_failed.append(state.fail)
        state.log.start()
        loops = (
            run_elections,
            run_applier,
            run_announcements,
            run_freshness,
        )
        for loop in loops:
            self.tasks.append(spawn_part(state, loop))

    def stop(self) -> None:
        """Hand leadership over, sync the log and stop."""
        if self.state.is_leader:
            hand_over(self.state)
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

    def group_status(self) -> ReplicaStatus:
        """Return the leader's view of the group; waits for its answer."""
        return group_status(self.state)


def _bind(
    state: ReplicaState,
    handler: Callable[[ReplicaState, Any, Any], Message],
) -> Callable[[Any, Any], Message]:
    return lambda ask, channel: handler(state, ask, channel)
