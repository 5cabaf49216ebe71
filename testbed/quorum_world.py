"""Members, messages and disks of the model of quorums.

A message may arrive at any later moment, or never, also after its sender has
lost its disk. A member that loses its disk is gone; its host may come back as
another member. A member that restarts has its term, its vote and its log, and
knows neither its commit index nor who is lost.
"""

from collections.abc import Callable, Set
from functools import cache
from types import SimpleNamespace
from typing import Any, NamedTuple

from trestle_control.membership import Member, MemberSet
from trestle_control.quorums import VotersInForce
from trestle_control.replica_quorum import needs_confirmation, voters_in_force

# Whether members are a quorum: the voters, members, those lost, voters wanted.
Rule = Callable[[VotersInForce, Set[str], Set[str], int], bool]


class Entry(NamedTuple):
    """An entry of a log; `voters` is empty unless it changes the members."""

    term: int
    number: int
    voters: tuple[str, ...] = ()


class VoteRequest(NamedTuple):
    """A candidate asks for a vote."""

    sender: str
    receiver: str
    term: int
    last: tuple[int, int]


class Vote(NamedTuple):
    """A vote for the receiver."""

    sender: str
    receiver: str
    term: int


class Append(NamedTuple):
    """The whole log of a leader."""

    sender: str
    receiver: str
    term: int
    entries: tuple[Entry, ...]
    committed: int


class Ack(NamedTuple):
    """The sender has the leader's log up to an index on its disk."""

    sender: str
    receiver: str
    term: int
    matched: int


Frame = VoteRequest | Vote | Append | Ack


class ModelMember:
    """One member, with the attributes that the quorum rule reads."""

    snapshot_index = 0

    def __init__(self, name: str, wanted: int) -> None:
        """Start with an empty log."""
        self.name = name
        self.settings = SimpleNamespace(wanted_voters=wanted)
        self.term = 0
        self.voted_for = ''
        self.entries: list[Entry] = []
        self.commit_index = 0
        self.lost_members: set[str] = set()
        self.role = ''
        self.granted: set[str] = set()
        self.acked: dict[str, int] = {}

    @property
    def member_sets(self) -> list[tuple[int, MemberSet]]:
        """The member sets in the log, each with its index."""
        found = [(0, member_set(()))]
        for index, entry in enumerate(self.entries, 1):
            if entry.voters:
                found.append((index, member_set(entry.voters)))
        return found

    @property
    def members(self) -> MemberSet:
        """The last member set in the log."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the last member set."""
        return self.member_sets[-1][0]

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the last member set."""
        return tuple(member.incarnation for member in self.members.members)

    @property
    def last(self) -> tuple[int, int]:
        """Term and index of the last entry."""
        term = self.entries[-1].term if self.entries else 0
        return term, len(self.entries)

    @property
    def may_change_members(self) -> bool:
        """Whether the last change, and an entry of this term, are committed."""
        if self.role != 'leader' or self.commit_index < self.members_index:
            return False
        if not self.commit_index:
            return False
        return self.entries[self.commit_index - 1].term == self.term

    def has_quorum(self, rule: Rule, members: Set[str]) -> bool:
        """Return whether members are a quorum of this log."""
        state: Any = self
        wanted = self.settings.wanted_voters
        return rule(voters_in_force(state), members, self.lost_members, wanted)

    def needs_confirmation(self) -> bool:
        """Return whether the leader has to log its member set once more."""
        state: Any = self
        return needs_confirmation(state)

    def adopt(self, term: int) -> None:
        """Follow a higher term."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
            self.role = ''

    def restart(self) -> None:
        """Lose what is not on the disk."""
        self.role = ''
        self.commit_index = 0
        self.lost_members = set()


@cache
def member_set(voters: tuple[str, ...]) -> MemberSet:
    """Return a member set of voters."""
    members = [Member(name, name, '', voter=True) for name in voters]
    return MemberSet('g', members, [])
