"""What the greenlets of one replica share.

The log is an array of write-once registers, one for each index, under one
view number, here called term (Abraham, "From Single-Shot Consensus to State
Machine Replication", array path). A register at an index is decided when a
quorum holds an entry of the current term there; the committed log is the
longest run of decided indexes from the start. One stable leader fills the
array without an election or a read round for each index.

Invariants:
- `term` and the vote are synced before a message carries them.
- `commit_index` never falls, and no entry at or below it is ever removed
  from the log except into a snapshot.
- Only the leader of the current term proposes, and only a follower of the
  current term's leader truncates.
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
from trestle_control.log_segments import SegmentLog
from trestle_control.membership import (
    EMPTY_SET,
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
    """What a member does in the current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Waiter(NamedTuple):
    """A proposal whose reply is awaited; it stands at an index of a term."""

    term: int
    reply: 'AsyncResult[Message]'


class Newcomer(NamedTuple):
    """An identity that announced itself and is not a member."""

    incarnation: str
    heard_at: float
    address: str = ''


class IncomingSnapshot(NamedTuple):
    """Parts received so far; `source` is the term and the log index."""

    source: tuple[int, int]
    received: bytearray


AppliedHook = Callable[[int, Message, Message], None]


class ReplicaState:
    """State of this member; every part of the replica works on it."""

    def __init__(
        self,
        settings: ControlSettings,
        me: Identity,
        log: SegmentLog,
        votes: VoteFile,
        machine: StateMachine,
    ) -> None:
        """Start as a follower that knows no leader."""
        self.settings = settings
        self.me = me
        self.heartbeat_seconds = settings.heartbeat_ms / _MS_PER_SECOND
        self.election_seconds = settings.election_ms / _MS_PER_SECOND
        self.folder = Path(settings.data_folder)
        self.log = log
        self.votes = votes
        self.machine = machine
        self.snapshot: Snapshot | None = None
        self.member_sets: list[tuple[int, MemberSet]] = [(0, EMPTY_SET)]
        self.role = Role.FOLLOWER
        self.leader: MemberIdentity | None = None
        self.leading_since = -inf
        self.heard_at = monotonic()
        self.campaigned_at = -inf
        self.commit_index = 0
        self.applied_index = 0
        self.peers: dict[str, Peer] = {}
        self.forward_links = LinkPool(me)
        self.newcomers: dict[str, Newcomer] = {}
        # Addresses to announce to while this member is outside.
        self.seeds = set(settings.seeds)
        self.incoming = IncomingSnapshot((0, 0), bytearray())
        self.fresh_at = -inf
        self.waiters: dict[int, Waiter] = {}
        self.log_lock = RLock()
        self.apply_lock = RLock()
        self.roles = Signal()
        self.commits = Signal()
        self.applies = Signal()
        self.acks = Signal()
        self.lead_now = Event()
        self.handing_over = False
        self.running = True
        self.failure: TrestleError | None = None
        self.on_failed: list[Callable[[TrestleError], None]] = []
        self.on_applied: list[AppliedHook] = []
        self.on_restored: list[Callable[[], None]] = []

    @property
    def term(self) -> int:
        """The current term, as synced."""
        return self.votes.record.term

    @property
    def incarnation(self) -> str:
        """The incarnation of this data folder."""
        return self.votes.record.incarnation

    @property
    def identity(self) -> MemberIdentity:
        """This member's identity."""
        return MemberIdentity(self.settings.host, self.incarnation)

    @property
    def members(self) -> MemberSet:
        """The last set in the log, committed or not."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the last set in the log."""
        return self.member_sets[-1][0]

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the current term."""
        return self.role is Role.LEADER

    @property
    def may_vote(self) -> bool:
        """Whether this identity has a vote in the current set."""
        return is_voter(self.members, self.incarnation)

    @property
    def snapshot_index(self) -> int:
        """The index up to which the snapshot stands for the log."""
        return self.snapshot.log_index if self.snapshot else 0

    @property
    def leader_address(self) -> str | None:
        """Where the leader listens, if it is known."""
        if self.leader is None:
            return None
        return self.address_of(self.leader)

    def leads(self, term: int) -> bool:
        """Tell whether this member leads a term and still runs."""
        return self.running and self.is_leader and self.term == term

    def address_of(self, identity: MemberIdentity) -> str | None:
        """Return a member's address; the settings go before the log."""
        for listed in self.settings.members:
            if listed.host == identity.host:
                return listed.address
        member = find_member(self.members, identity.incarnation)
        return member.address if member else None

    def set_role(self, role: Role, leader: MemberIdentity | None) -> None:
        """Change the role and wake who waits for it."""
        if (role, leader) == (self.role, self.leader):
            return
        name = leader.host if leader else 'none'
        _log.info('Term {}: {}, leader {}.', self.term, role.value, name)
        self.role = role
        self.leader = leader
        self.me.metrics.count('replica_role_changes', role.value)
        self.roles.notify()
        self.acks.notify()

    def adopt_term(self, term: int) -> None:
        """Sync a higher term and follow; raises `StorageFailedError`."""
        with self.votes.lock:
            if term > self.term:
                self.store_vote(term, '')
                self.set_role(Role.FOLLOWER, None)

    def store_vote(self, term: int, voted_for: str) -> None:
        """Sync a term and a vote; raises `StorageFailedError`."""
        try:
            self.votes.store(term, voted_for)
        except StorageFailedError as error:
            self.fail(error)
            raise

    def advance_commit(self, index: int) -> None:
        """Raise the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.commits.notify()

    def fail(self, error: TrestleError) -> None:
        """Stop for good: the disk or the log can no longer be trusted."""
        if self.failure:
            return
        self.failure = error
        self.running = False
        _log.error('Replica stops: {} ({}).', error.message, error.code.code)
        self.me.metrics.count('replica_failures', error.code.code)
        self.set_role(Role.FOLLOWER, None)
        _answer_waiters(self.waiters, error)
        for hook in self.on_failed:
            hook(error)


def _answer_waiters(waiters: dict[int, Waiter], error: TrestleError) -> None:
    # A proposed command may be on the disk of this member or another.
    if not isinstance(error, StorageFailedError):
        error = CommitUnknownError(error.message)
    waiting = list(waiters.values())
    waiters.clear()
    for waiter in waiting:
        waiter.reply.set_exception(error)
