"""Random orders of elections, commits, changes of voters and lost disks.

A group with one voter more than wanted loses as many disks as the wanted
voters bear, at any moment, while messages are late and members restart. At
every step:

* a term has one leader at most;
* a leader has every entry that was committed in an earlier term;
* no two entries are committed at one index.

Each variant of the quorum rule breaks one of its conditions; the model must
find it. Run `python -m testbed.quorum_model VARIANT [WALKS [SEED]]`.
"""

from collections.abc import Callable
from itertools import count
from random import Random
from sys import argv, stdout
from sys import exit as sys_exit
from typing import Final

from testbed.quorum_rules import PROTOCOL, RULES
from testbed.quorum_world import (
    Ack,
    Append,
    Entry,
    Frame,
    ModelMember,
    Rule,
    Vote,
    VoteRequest,
)

WALKS: Final = 400
STEPS: Final = 250
MOST_TERMS: Final = 5
MOST_ENTRIES: Final = 12
SIZES: Final = (3, 5)


class ViolationError(Exception):
    """A step broke a promise."""


class World:
    """One walk: the members, the messages on their way, what was seen."""

    def __init__(self, random: Random, wanted: int, rule: Rule) -> None:
        """Start with the wanted voters, or with one more that is confirmed."""
        self.random = random
        self.wanted = wanted
        self.rule = rule
        self.numbers = count(1)
        names = [str(number) for number in range(1, wanted + 2)]
        sets = random.choice([[wanted], [wanted, wanted + 1, wanted + 1]])
        first = [
            Entry(0, next(self.numbers), tuple(names[:size])) for size in sets
        ]
        self.members = {name: ModelMember(name, wanted) for name in names}
        for name in names:
            self.members[name].entries = first.copy()
        self.lost: set[str] = set()
        # Messages to others arrive only now and then.
        self.near = set(names)
        self.patience = random.choice([0, 0.5, 0.8])
        self.turns = random.choice([0, 0.1, 0.4])
        self.frames: list[Frame] = []
        self.leaders: dict[int, str] = {}
        self.committed = first.copy()
        # The term of the leader that committed each of them first.
        self.committed_in = [0] * len(first)
        self.actions: list[Callable[[], None]] = [
            self.deliver,
            self.deliver,
            self.deliver,
            self.deliver,
            self.replicate,
            self.replicate,
            self.campaign,
            self.propose,
            self.change,
            self.change,
            self.learn,
            self.learn,
            self.lose,
            self.restart,
            self.turn,
        ]

    def happens(self, share: float) -> bool:
        """Return true in this share of the cases."""
        return self.random.random() < share

    def pick(self) -> ModelMember:
        """Return a member with its disk."""
        return self.members[self.random.choice(sorted(self.members))]

    def leader(self) -> ModelMember | None:
        """Return a member that takes itself for a leader, if any."""
        leaders = [
            name for name in sorted(self.members) if self.is_leader(name)
        ]
        return self.members[self.random.choice(leaders)] if leaders else None

    def is_leader(self, name: str) -> bool:
        """Return whether a member takes itself for a leader."""
        return self.members[name].role == 'leader'

    def campaign(self) -> None:
        """Let a voter ask for votes in the next term."""
        member = self.pick()
        is_idle = member.role != 'leader' and member.name in member.voters
        if not is_idle or member.term >= MOST_TERMS:
            return
        if self.happens(self.patience):
            return
        member.adopt(member.term + 1)
        member.voted_for = member.name
        member.role = 'candidate'
        member.granted = {member.name}
        self.frames += [
            VoteRequest(member.name, other, member.term, member.last)
            for other in member.voters
            if other != member.name
        ]

    def propose(self) -> None:
        """Let a leader append a command."""
        leader = self.leader()
        if leader:
            self.append(leader, ())

    def change(self) -> None:
        """Let a leader propose the next member set."""
        leader = self.leader()
        if not leader or not leader.may_change_members:
            return
        if leader.needs_confirmation():
            self.append(leader, leader.voters)
            return
        voters = list(leader.voters)
        if len(voters) > self.wanted:
            # Any voter may go: who is gone is not part of the rule.
            voters.remove(self.random.choice(voters))
        else:
            outside = [name for name in self.members if name not in voters]
            if not outside:
                return
            voters.append(self.random.choice(sorted(outside)))
        self.append(leader, tuple(sorted(voters)))

    def append(self, leader: ModelMember, voters: tuple[str, ...]) -> None:
        """Append an entry to a leader's log."""
        if len(leader.entries) < MOST_ENTRIES:
            entry = Entry(leader.term, next(self.numbers), voters)
            leader.entries.append(entry)
            self.commit(leader)

    def replicate(self) -> None:
        """Let a leader send its log to another member."""
        leader = self.leader()
        if leader:
            entries = tuple(leader.entries)
            self.frames += [
                Append(
                    leader.name, name, leader.term, entries, leader.commit_index
                )
                for name in leader.voters
                if name != leader.name and self.happens(0.7)
            ]

    def learn(self) -> None:
        """Let a member hear of the new identities on lost hosts."""
        self.pick().lost_members = set(self.lost)

    def lose(self) -> None:
        """Let a member lose its disk, as long as that is to be borne."""
        if len(self.lost) < self.wanted // 2 and self.happens(0.3):
            member = self.pick()
            self.lost.add(self.members.pop(member.name).name)
            new_name = f'{member.name}+'
            self.members[new_name] = ModelMember(new_name, self.wanted)

    def restart(self) -> None:
        """Let a member restart."""
        if self.happens(0.3):
            self.pick().restart()

    def turn(self) -> None:
        """Let other members be near."""
        if self.happens(self.turns):
            names = sorted(self.members)
            self.near = {name for name in names if self.happens(0.6)}

    def deliver(self) -> None:
        """Let any message on its way arrive, or be lost."""
        if not self.frames:
            return
        position = self.random.randrange(len(self.frames))
        frame = self.frames[position]
        if frame.receiver not in self.near and self.happens(0.8):
            return
        self.frames.pop(position)
        receiver = self.members.get(frame.receiver)
        if receiver is None or self.happens(0.05):
            return
        if isinstance(frame, VoteRequest):
            self.vote(receiver, frame)
        elif isinstance(frame, Vote):
            self.count_vote(receiver, frame)
        elif isinstance(frame, Append):
            self.store(receiver, frame)
        else:
            self.count_ack(receiver, frame)

    def vote(self, member: ModelMember, request: VoteRequest) -> None:
        """Grant a vote once a term, to a log that is as long."""
        member.adopt(request.term)
        is_free = member.voted_for in {'', request.sender}
        if request.term < member.term or not is_free:
            return
        if request.last >= member.last and member.role != 'leader':
            member.voted_for = request.sender
            self.frames.append(Vote(member.name, request.sender, member.term))

    def count_vote(self, member: ModelMember, vote: Vote) -> None:
        """Let a candidate lead once a quorum voted for it."""
        if member.role != 'candidate' or member.term != vote.term:
            return
        member.granted.add(vote.sender)
        if not member.has_quorum(self.rule, member.granted):
            return
        other = self.leaders.setdefault(member.term, member.name)
        if other != member.name:
            raise ViolationError('two leaders in one term')
        before = sum(term < member.term for term in self.committed_in)
        if member.entries[:before] != self.committed[:before]:
            raise ViolationError('a leader without a committed entry')
        member.role = 'leader'
        member.acked = {}
        self.append(member, ())

    def store(self, member: ModelMember, request: Append) -> None:
        """Take over a leader's log, entry by entry."""
        member.adopt(request.term)
        if request.term < member.term or member.role == 'leader':
            return
        member.role = ''
        for position, entry in enumerate(request.entries):
            local = member.entries[position : position + 1]
            if local and local[0].term == entry.term:
                continue
            kept = member.entries[:position]
            member.entries = [*kept, *request.entries[position:]]
            break
        index = len(request.entries)
        member.commit_index = max(member.commit_index, request.committed)
        self.frames.append(Ack(member.name, request.sender, member.term, index))

    def count_ack(self, member: ModelMember, ack: Ack) -> None:
        """Let a leader commit what a quorum has."""
        if member.role == 'leader' and member.term == ack.term:
            known = member.acked.get(ack.sender, 0)
            member.acked[ack.sender] = max(known, ack.matched)
            self.commit(member)

    def commit(self, leader: ModelMember) -> None:
        """Commit the last entry of this term that a quorum has."""
        acked = {**leader.acked, leader.name: len(leader.entries)}
        for index in range(len(leader.entries), leader.commit_index, -1):
            if leader.entries[index - 1].term != leader.term:
                return
            holders = {name for name, own in acked.items() if own >= index}
            if leader.has_quorum(self.rule, holders):
                leader.commit_index = index
                self.note_committed(leader.entries[:index], leader.term)
                return

    def note_committed(self, entries: list[Entry], term: int) -> None:
        """Compare what is committed with what was committed before."""
        length = min(len(entries), len(self.committed))
        if entries[:length] != self.committed[:length]:
            raise ViolationError('two entries committed at one index')
        self.committed_in = [
            *(min(term, known) for known in self.committed_in[:length]),
            *self.committed_in[length:],
            *(term for _ in entries[length:]),
        ]
        self.committed += entries[length:]


def walk(random: Random, wanted: int, rule: Rule) -> str:
    """Take one walk; return what was broken, or nothing."""
    world = World(random, wanted, rule)
    try:
        for _ in range(STEPS):
            random.choice(world.actions)()
    except ViolationError as error:
        return str(error)
    return ''


def explore(variant: str, walks: int = WALKS, seed: int = 1) -> str:
    """Take walks of each size; return the first violation with its seed."""
    rule = RULES[variant]
    for number in range(walks):
        for wanted in SIZES:
            text = f'{seed} {number} {wanted}'
            violation = walk(Random(text), wanted, rule)
            if violation:
                return f'{violation} (seed {text})'
    return ''


def main() -> None:
    """Print the first violation of a variant; exit with 1 if there is one."""
    defaults = [PROTOCOL, str(WALKS), '1']
    variant, walks, seed = [*argv[1:], *defaults[len(argv) - 1 :]]
    violation = explore(variant, int(walks), int(seed))
    stdout.write(f'{variant}: {violation or "no violation"}\n')
    sys_exit(bool(violation))


if __name__ == '__main__':
    main()
