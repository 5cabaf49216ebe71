"""Bookings under random kills of entries and endpoint processes.

Everything random comes from one seed. Callers send each key until it ran or
its outcome is in doubt for good; some keys are sent twice at once. The
execution files of the services then judge every answer. The exit status is 1
if a rule was broken.
"""

from gevent import monkey

monkey.patch_all()

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from sys import exit as sys_exit
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic, time
from typing import Annotated, Final, NamedTuple

from cappa import Arg, parse
from gevent import joinall, sleep, spawn

from testbed.bookings import ENTRIES, Bookings
from testbed.callers import Answer
from testbed.fake_service import expected_receipt
from testbed.processes import Processes

WORKERS: Final = 6
SENDS: Final = 16
# Below the number of workers: many sends are refused as `not-run`.
CALLER_CONCURRENCY: Final = 2
SACKS: Final = 10
PAIR_SHARE: Final = 0.2
# What a run does at least, however long it takes up to the limit.
FEWEST: Final = 220
FEWEST_KILLS: Final = 2
LIMIT_SECONDS: Final = 120
SERVICE_SECONDS: Final = 0.03
PAUSE_SECONDS: Final = (0.3, 1.5)
VICTIMS: Final = ('entry-1', 'entry-2', 'ledger-1', 'ledger-2')


@dataclass(kw_only=True)
class Options:
    """Bookings under random kills, judged by the execution files."""

    seed: Annotated[int, Arg(long=True)] = 1
    minutes: Annotated[float, Arg(long=True)] = 1


class Sent(NamedTuple):
    """One send of a key; times are wall-clock seconds of this host."""

    key: str
    began: float
    ended: float
    answer: Answer


class SoakReport(NamedTuple):
    """What a run did, and every rule that it saw broken."""

    keys: int
    sends: Counter[str]
    kills: Counter[str]
    executions: int
    replays: int
    violations: list[str]


class Soak:
    """One run: its random choices and everything that was sent."""

    def __init__(self, bookings: Bookings, seed: int, seconds: float) -> None:
        self.bookings = bookings
        self.seed = seed
        self.until = monotonic() + seconds
        self.limit = self.until + LIMIT_SECONDS
        self.sent: dict[str, list[Sent]] = {}
        self.kills: Counter[str] = Counter()

    def run(self) -> SoakReport:
        """Send and kill until the time is over, then judge."""
        tasks = [spawn(self.send_keys, one) for one in range(WORKERS)]
        self.kill_at_random()
        joinall(tasks, raise_error=True)
        return self.judge()

    def is_over(self) -> bool:
        """Tell whether the time is over and the run has done its least.

        A busy machine takes longer for the same work; a run that does not
        get it done within the limit is too short to prove anything.
        """
        now = monotonic()
        if now < self.until:
            return False
        answers = [s.answer for sends in self.sent.values() for s in sends]
        verdicts = Counter(answer.verdict for answer in answers)
        done = (
            len(self.sent) > FEWEST
            and verdicts['not-run'] > FEWEST
            and self.kills.total() > FEWEST_KILLS
        )
        return done or now > self.limit

    def send_keys(self, worker: int) -> None:
        """Send one key after another."""
        random = Random(f'{self.seed} {worker}')
        number = 0
        while not self.is_over():
            number += 1
            key = f'{self.seed}-{worker}-{number}'
            self.sent[key] = []
            if random.random() < PAIR_SHARE:
                pair = [spawn(self.send, key, one) for one in ENTRIES]
                joinall(pair, raise_error=True)
            self.send_until_known(key, random)

    def send_until_known(self, key: str, random: Random) -> None:
        """Send a key until two sends told its outcome."""
        known = 0
        for _ in range(SENDS):
            sent = self.send(key, random.choice(ENTRIES))
            known += sent.answer.verdict != 'not-run' and sent.answer.status > 0
            if known > 1:
                return

    def send(self, key: str, entry: str) -> Sent:
        """Send a key once and keep the answer."""
        began = time()
        try:
            answer = self.bookings.book(key, entry)
        except AssertionError:
            # The entry is being started: its address file is not there.
            sleep(0.1)
            answer = self.bookings.book(key, other_entry(entry))
        sent = Sent(key, began, time(), answer)
        self.sent[key].append(sent)
        if not answer.status:
            sleep(0.05)
        return sent

    def kill_at_random(self) -> None:
        """Kill and restart one process after another."""
        random = Random(self.seed)
        processes = self.bookings.cluster.processes
        while not self.is_over():
            sleep(random.uniform(*PAUSE_SECONDS))
            victim = random.choice(VICTIMS)
            processes.started[victim].kill()
            self.kills[victim] += 1
            sleep(random.uniform(0, 0.5))
            processes.restart(victim)
            processes.started[victim].read_address()

    def judge(self) -> SoakReport:
        """Check every answer against the execution files."""
        runs = self.executions()
        every = [sent for sends in self.sent.values() for sent in sends]
        verdicts = Counter(
            sent.answer.verdict if sent.answer.status else 'unanswered'
            for sent in every
        )
        violations = [
            fault
            for key, sends in self.sent.items()
            for fault in faults_of(key, sends, runs.get(key, []))
        ]
        return SoakReport(
            keys=len(self.sent),
            sends=verdicts,
            kills=self.kills,
            executions=sum(map(len, runs.values())),
            replays=sum(sent.answer.replayed for sent in every),
            violations=violations,
        )

    def executions(self) -> dict[str, list[float]]:
        """Return the times at which each key was executed."""
        runs: dict[str, list[float]] = {}
        for host in ('ledger-1', 'ledger-2'):
            for line in self.bookings.cluster.record(host):
                runs.setdefault(line['key'], []).append(line['time'])
        return runs


def faults_of(key: str, sends: list[Sent], runs: list[float]) -> Iterator[str]:
    """Yield every rule that the answers of a key break."""
    if len(runs) > 1:
        yield f'{key}: executed {len(runs)} times'
    receipt = expected_receipt('book', key, {'sacks': SACKS})
    for sent in sends:
        verdict = sent.answer.verdict
        if verdict == 'ran' and not (runs and receipt in sent.answer.text):
            yield f'{key}: "ran" without its execution: {sent.answer}'
        if verdict == 'not-run' and runs and runs[0] < run_allowed(sent, sends):
            yield f'{key}: executed around a "not-run": {sent}, {runs}'


def run_allowed(refused: Sent, sends: list[Sent]) -> float:
    """Return when a refused key may run: once it was sent again.

    Sends that overlap the refused one may have opened after its refusal.
    """
    later = [one.began for one in sends if one.ended > refused.ended]
    return max(refused.began, min(later, default=time()))


def other_entry(entry: str) -> str:
    """Return the entry that is not the given one."""
    return ENTRIES[1 - ENTRIES.index(entry)]


def run_soak(folder: Path, seed: int, seconds: float) -> SoakReport:
    """Start a system in a folder and run bookings on it."""
    with Processes(folder) as processes:
        bookings = Bookings.from_config(processes, 2)
        bookings.limit_caller(CALLER_CONCURRENCY)
        bookings.set_service('delay', seconds=SERVICE_SECONDS)
        try:
            return Soak(bookings, seed, seconds).run()
        finally:
            bookings.close()


def main() -> int:
    """Run the soak and print its report."""
    options = parse(Options)
    with TemporaryDirectory(prefix='trestle-') as folder:
        report = run_soak(Path(folder), options.seed, options.minutes * 60)
    for name, figure in report._asdict().items():
        stdout.write(f'{name}: {figure}\n')
    return int(bool(report.violations))


if __name__ == '__main__':
    sys_exit(main())
