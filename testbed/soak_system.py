"""A whole system under random faults of every kind, from one seed.

Callers read and book without a pause while processes are killed, paused and
cut off, disks are lost, endpoints are withdrawn, sets are published and
engines are ordered. Then all is healed and every promise is judged from the
records of callers, services and engines. The exit status is 1 if one broke.
"""

from gevent import monkey

monkey.patch_all()

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from json import loads
from pathlib import Path
from random import Random
from sys import exit as sys_exit
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic, time
from typing import Annotated, Any, Final, NamedTuple

from cappa import Arg, parse
from gevent import joinall, sleep, spawn

from testbed.callers import Answer, Completion, ServiceCall, call_service
from testbed.callers import complete as send_completion
from testbed.cluster import Cluster
from testbed.firms import DESK, medena_layout, publish_when_ready
from testbed.processes import Processes, poll_until
from testbed.soak_claims import Sent, faults_of
from testbed.soak_faults import Faults

READERS: Final = 4
DESKS: Final = 2
CALL_SECONDS: Final = 25.0
SENDS: Final = 12
HEAL_SECONDS: Final = 60.0
LONG_SHARE: Final = 0.2
LONG_WORDS: Final = 5000
LINKS: Final = (
    *(f'entry-{one}>control-{two}' for one in (1, 2) for two in (1, 2, 3)),
    *(
        f'control-{one}>control-{two}'
        for one in (1, 2, 3)
        for two in (1, 2, 3)
        if one != two
    ),
    'entry>reader-1',
    'entry>desk-1',
)


@dataclass(kw_only=True)
class Options:
    """A system under random faults, judged by its records."""

    seed: Annotated[int, Arg(long=True)] = 1
    minutes: Annotated[float, Arg(long=True)] = 1


class Read(NamedTuple):
    """One model request and its answer."""

    request: Completion
    answer: Answer


class SystemReport(NamedTuple):
    """What a run did, and every promise that it saw broken."""

    faults: Counter[str]
    reads: Counter[str]
    sends: Counter[str]
    executions: int
    orders: int
    publications: int
    violations: list[str]


class SystemSoak:
    """One run: its callers, its faults and what they left."""

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        self.cluster = cluster
        self.seed = seed
        self.until = monotonic() + seconds
        self.reads: list[Read] = []
        self.sent: dict[str, list[Sent]] = {}
        self.faults = Faults(cluster, Random(seed))

    def run(self) -> SystemReport:
        """Call and break until the time is over, heal, then judge."""
        tasks = [spawn(self.read, one) for one in range(4)]
        tasks += [spawn(self.book, one) for one in range(4)]
        while monotonic() < self.until:
            self.faults.one()
        self.faults.heal()
        joinall(tasks, raise_error=True)
        return self.judge()

    def read(self, worker: int) -> None:
        """Read one document after another."""
        random = Random(f'{self.seed} read {worker}')
        number = 0
        while monotonic() < self.until:
            number += 1
            words = LONG_WORDS if random.random() < LONG_SHARE else 5
            prompt = ' '.join(f'{worker}.{number}.{w}' for w in range(words))
            request = Completion('trader', 'certificate-grades', prompt, 30)
            address = self.entry(random)
            if address:
                answer = send_completion(address, request, CALL_SECONDS)
                self.reads.append(Read(request, answer))
            sleep(random.uniform(0, 0.2))

    def book(self, worker: int) -> None:
        """Reserve one lot after another, each until its outcome is known."""
        random = Random(f'{self.seed} book {worker}')
        number = 0
        while monotonic() < self.until:
            number += 1
            key = f'{self.seed}-{worker}-{number}'
            self.sent[key] = []
            for _ in range(SENDS):
                answer = self.reserve(key, random)
                if answer and answer.status and answer.verdict != 'not-run':
                    break
                sleep(random.uniform(0, 0.3))

    def reserve(self, key: str, random: Random) -> Answer | None:
        """Send a reservation once."""
        call = ServiceCall('trader', DESK, 'reserve', key, {'sacks': 10})
        address = self.entry(random)
        if address is None:
            return None
        began = time()
        answer = call_service(address, call, CALL_SECONDS)
        self.sent[key].append(Sent(key, began, time(), answer))
        return answer

    def entry(self, random: Random) -> str | None:
        """Return the address of an entry that runs, or None."""
        host = random.choice(self.cluster.entry_hosts)
        process = self.cluster.process(host)
        if process.running() and process.address_file.exists():
            return process.address_file.read_text(encoding='utf-8').strip()
        sleep(0.05)
        return None

    def judge(self) -> SystemReport:
        """Check every promise against the records."""
        runs = self.executions()
        lines = self.order_lines()
        violations = [
            *self.wrong_bookings(runs),
            *self.wrong_reads(),
            *wrong_orders(lines),
            *self.wrong_versions(),
        ]
        sends = [sent for sends in self.sent.values() for sent in sends]
        return SystemReport(
            faults=self.faults.done,
            reads=Counter(
                'whole' if read.answer.whole else read.answer.code
                for read in self.reads
            ),
            sends=Counter(
                sent.answer.verdict if sent.answer.status else 'unanswered'
                for sent in sends
            ),
            executions=sum(map(len, runs.values())),
            orders=len(lines),
            publications=len(self.faults.accepted),
            violations=violations,
        )

    def executions(self) -> dict[str, list[float]]:
        """Return the times at which each key was executed."""
        runs: dict[str, list[float]] = {}
        for desk in range(1, DESKS + 1):
            for line in self.cluster.record(f'desk-{desk}'):
                runs.setdefault(line['key'], []).append(line['time'])
        return runs

    def order_lines(self) -> list[dict[str, Any]]:
        """Return every order that an engine was given."""
        return [
            line
            for reader in range(1, READERS + 1)
            for line in self.cluster.record(f'reader-{reader}')
            if line['event'] == 'order'
        ]

    def wrong_bookings(self, runs: dict[str, list[float]]) -> Iterator[str]:
        """Yield what the answers of bookings break."""
        for key, sends in self.sent.items():
            yield from faults_of(key, sends, runs.get(key, []), 'reserve')

    def wrong_reads(self) -> Iterator[str]:
        """Yield answers that are whole by their marker and wrong."""
        for request, answer in self.reads:
            if answer.whole and not request.correct(answer):
                yield f'wrong answer: {answer} to {request.prompt[:40]}'
            if not answer.whole and not answer.code:
                yield f'answer cut without an error: {answer}'

    def wrong_versions(self) -> Iterator[str]:
        """Yield what is wrong with the set in force at the end."""
        highest = max(self.faults.accepted)

        def in_force() -> bool:
            shown = self.cluster.operate('status', '--json')
            status = loads(shown.stdout) if shown.returncode == 0 else {}
            nodes = READERS + DESKS + len(self.cluster.entry_hosts)
            reached = int(status.get('set_version', 0)) >= highest
            return reached and int(status['nodes_in_force']) == nodes

        try:
            poll_until(in_force, HEAL_SECONDS, f'version {highest} in force')
        except AssertionError as error:
            yield str(error)


def wrong_orders(lines: list[dict[str, Any]]) -> Iterator[str]:
    """Yield orders that conflicted or cut a request."""
    for line in lines:
        if line['outcome'] == 'begun' and line['conflict']:
            yield f'conflicting order: {line}'
        if line['cut']:
            yield f'order cut requests: {line}'


def run_system(folder: Path, seed: int, seconds: float) -> SystemReport:
    """Start a system in a folder and run it under faults."""
    layout = medena_layout(
        READERS,
        DESKS,
        ('--no-fencing', '--order-seconds=1'),
        links=LINKS,
        settings={'endpoint': {'order_timeout_ms': 5000}},
    )
    with Processes(folder) as processes:
        cluster = Cluster.from_config(processes, layout)
        publish_when_ready(cluster)
        return SystemSoak(cluster, seed, seconds).run()


def main() -> int:
    """Run the soak and print its report."""
    options = parse(Options)
    with TemporaryDirectory(prefix='trestle-') as folder:
        report = run_system(Path(folder), options.seed, options.minutes * 60)
    for name, figure in report._asdict().items():
        stdout.write(f'{name}: {figure}\n')
    return int(bool(report.violations))


if __name__ == '__main__':
    sys_exit(main())
