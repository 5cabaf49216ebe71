"""The state that the greenlets of one replica share.

The log is an array of write-once registers, one per index, all under one
view number, here called the term (Abraham, "From Single-Shot Consensus to
State Machine Replication", array path). The register at an index is decided
when a quorum stores an entry of the current term there. The committed log is
the longest prefix of decided indexes. A stable leader fills the array without
an election or a read round per index.

Invariants:
- `term` and the vote are synced before any message carries them.
- `commit_index` never decreases, and an entry at or below it is removed from
  the log only when a snapshot replaces it.
- Only the leader of the current term proposes entries, and only a follower of
  the current term's leader truncates its log.
"""

from collections.abc import Callable
from enum import Enum
from math import inf
from pathlib import Path
from time import monotonic
from typing import Final, NamedTuple

from gevent.event import AsyncResult, Event
from gevent.lock import RLock

from trestle_control.control_errors import (
    CommitUnknownError,
    StorageFailedError,
)
from trestle_control.folder_work import FolderWork
from trestle_control.log_segments import SegmentLog
from trestle_control.membership import (
    EMPTY_MEMBER_SET,
    MemberIdentity,
    MemberSet,
    find_member,
    is_voter,
)
from trestle_control.peers import Peer
from trestle_control.signals import Signal
from trestle_control.snapshots import Snapshot
from trestle_control.state_machine import StateMachine
from trestle_control.vote_file import VoteFile
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.settings import ControlSettings
from trestle_links.codec import Message
from trestle_links.link import Identity, LinkPool

_MS_PER_SECOND: Final = 1000

_log = part_logger('replica')


class Role(str, Enum):
    """Role of a member in the current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class PendingProposal(NamedTuple):
    """A proposal of `term` that waits for its reply; keyed by log index."""

    term: int
    reply: 'AsyncResult[Message]'


class JoiningMember(NamedTuple):
    """An identity that has announced itself but is not yet a member."""

    incarnation: str
    announced_at: float
    address: str = ''


class IncomingSnapshot(NamedTuple):
    """The parts of a snapshot received so far, and its term and log index."""

    term_and_index: tuple[int, int]
    received: bytearray


AppliedHook = Callable[[int, Message, Message], None]


class ReplicaState:
    """State of this member, shared by all modules of the replica."""

    def __init__(
        self,
        settings: ControlSettings,
        local_identity: Identity,
        log: SegmentLog,
        vote_file: VoteFile,
        machine: StateMachine,
    ) -> None:
        """Start as a follower without a known leader."""
        self.settings = settings
        self.local_identity = local_identity
        self.heartbeat_seconds = settings.heartbeat_ms / _MS_PER_SECOND
        self.election_seconds = settings.election_ms / _MS_PER_SECOND
        self.folder = Path(settings.data_folder)
        self.log = log
        self.vote_file = vote_file
        self.machine = machine
        self.folder_work = FolderWork()
        log.folder_work = self.folder_work
        vote_file.folder_work = self.folder_work
        self.snapshot: Snapshot | None = None
        self.member_sets: list[tuple[int, MemberSet]] = [(0, EMPTY_MEMBER_SET)]
        self.role = Role.FOLLOWER
        self.leader: MemberIdentity | None = None
        self.leading_since = -inf
        self.leader_contact_at = monotonic()
        self.election_timer_reset_at = -inf
        self.commit_index = 0
        self.applied_index = 0
        self.peers: dict[str, Peer] = {}
        self.forward_links = LinkPool(local_identity)
        # When the last leader was heard of, and voters that it did not hear of.
        self.silent_since: dict[str, float] = {}
        self.joining_members: dict[str, JoiningMember] = {}
        # Incarnations whose disks are proven to be lost.
        self.lost_members: set[str] = set()
        # Addresses to announce to while this process is not a member.
        self.seeds = set(settings.seeds)
        self.incoming_snapshot = IncomingSnapshot((0, 0), bytearray())
        self.fresh_at = -inf
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.log_lock = RLock()
        self.apply_lock = RLock()
        self.role_signal = Signal()
        self.commit_signal = Signal()
        self.apply_signal = Signal()
        self.ack_signal = Signal()
        self.election_requested = Event()
        self.handing_over = False
        self.running = True
        self.failure: TrestleError | None = None
        self.on_failed: list[Callable[[TrestleError], None]] = []
        self.on_applied: list[AppliedHook] = []
        self.on_restored: list[Callable[[], None]] = []

    @property
    def term(self) -> int:
        """The current term, already synced."""
        return self.vote_file.record.term

    @property
    def incarnation(self) -> str:
        """The incarnation of this data folder."""
        return self.vote_file.record.incarnation

    @property
    def member_identity(self) -> MemberIdentity:
        """The host and incarnation of this member."""
        return MemberIdentity(self.settings.host, self.incarnation)

    @property
    def members(self) -> MemberSet:
        """The latest member set in the log, committed or not."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """The log index of the latest member set."""
        return self.member_sets[-1][0]

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the current term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in the latest member set."""
        return is_voter(self.members, self.incarnation)

    @property
    def snapshot_index(self) -> int:
        """The last log index that the snapshot covers, 0 without one."""
        return self.snapshot.log_index if self.snapshot else 0

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader, or None if it is not known."""
        if self.leader is None:
            return None
        return self.address_of(self.leader)

    def leads(self, term: int) -> bool:
        """Return whether this member runs and is the leader of a term."""
        return self.running and self.is_leader and self.term == term

    def address_of(self, identity: MemberIdentity) -> str | None:
        """Return a member's address; the settings override the log."""
        for listed in self.settings.members:
            if listed.host == identity.host:
                return listed.address
        member = find_member(self.members, identity.incarnation)
        return member.address if member else None

    def set_role(self, role: Role, leader: MemberIdentity | None) -> None:
        """Change the role and the leader, and notify the waiting greenlets."""
        if (role, leader) == (self.role, self.leader):
            return
        name = leader.host if leader else 'none'
        _log.info('Term {}: {}, leader {}.', self.term, role.value, name)
        self.role = role
        self.leader = leader
        self.local_identity.metrics.count('replica_role_changes', role.value)
        self.role_signal.notify()
        self.ack_signal.notify()

    def adopt_term(self, term: int) -> None:
        """Sync a higher term and become a follower.

        A term that is not higher changes nothing. Raises
        `StorageFailedError`.
        """
        with self.vote_file.lock:
            if term > self.term:
                self.store_vote(term, '')
                self.set_role(Role.FOLLOWER, None)

    def store_vote(self, term: int, voted_for: str) -> None:
        """Sync a term and a vote; raises `StorageFailedError`."""
        try:
            self.vote_file.store(term, voted_for)
        except StorageFailedError as error:
            self.fail(error)
            raise

    def advance_commit(self, index: int) -> None:
        """Raise the commit index; a lower index changes nothing."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_signal.notify()

    def end(self) -> None:
        """End every task and every wait of this replica."""
        self.running = False
        self.role_signal.notify()

    def fail(self, error: TrestleError) -> None:
        """Stop this replica permanently and fail its pending proposals.

        Its disk or its log can no longer be trusted.
        """
        if self.failure or not self.running:
            # One that stops as planned has given its folder up.
            return
        self.failure = error
        self.end()
        _log.error('Replica stopped: {} ({}).', error.message, error.code.code)
        self.local_identity.metrics.count('replica_failures', error.code.code)
        self.set_role(Role.FOLLOWER, None)
        _fail_pending_proposals(self.pending_proposals, error)
        for hook in self.on_failed:
            hook(error)


def _fail_pending_proposals(
    pending_proposals: dict[int, PendingProposal], error: TrestleError
) -> None:
    # The proposed commands may be on the disk of this or another member, so
    # their outcome is unknown.
    if not isinstance(error, StorageFailedError):
        error = CommitUnknownError(error.message)
    failed = list(pending_proposals.values())
    pending_proposals.clear()
    for pending in failed:
        pending.reply.set_exception(error)
