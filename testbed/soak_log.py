"""Randomised run of the replicated log: faults and clients from one seed.

`python -m testbed.soak_log SEED MINUTES` starts three members behind the
fault proxy, lets clients raise registers, append to lists and read while
faults come, and checks what the clients saw. Exits with 1 on a violation.
"""

from gevent import monkey

monkey.patch_all()

from collections import Counter
from collections.abc import Callable
from itertools import count
from pathlib import Path
from random import Random
from sys import argv, stdout
from sys import exit as sys_exit
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import Greenlet, sleep, spawn

from testbed.log_faults import inject_round, is_repaired
from testbed.log_group import LIMIT_SECONDS, LogGroup
from testbed.log_history import Operation, find_violations
from testbed.processes import Processes, poll_until
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict

CLIENTS_PER_HOST: Final = 3
REGISTERS: Final = 6
LIST_ITEMS: Final = 100
RECENT_LISTS: Final = 3
TIMEOUT_SECONDS: Final = 1.0
PAUSE_SECONDS: Final = 0.005
STAMP_SECONDS: Final = 0.001
SECONDS_PER_MINUTE: Final = 60
MS_PER_SECOND: Final = 1000
# Small, so that a run of seconds takes snapshots and closes segments.
SNAPSHOT_ENTRIES: Final = 300
SEGMENT_BYTES: Final = 32_768


class SoakResult(NamedTuple):
    """What a run did and found."""

    operations: Counter[str]
    faults: Counter[str]
    violations: list[str]


class FaultPlan(NamedTuple):
    """How long faults come, and after how much work they may end."""

    seed: int
    seconds: float
    fewest_commands: int


class Clients:
    """Clients that record each call."""

    def __init__(self, group: LogGroup, seed: int) -> None:
        """Start with an empty history."""
        self.group = group
        self.seed = seed
        self.numbers = count(1)
        self.appended = 0
        self.history: list[Operation] = []
        self.running = True

    def start(self) -> 'list[Greenlet[..., Any]]':
        """Start the clients of every member."""
        return [
            spawn(self._run, host, Random(f'{self.seed} {host} {number}'))
            for host in self.group.hosts
            for number in range(CLIENTS_PER_HOST)
        ]

    def acknowledged(self) -> int:
        """Return how many writes were acknowledged."""
        return sum(
            one.verdict is Verdict.RAN and one.kind != 'read'
            for one in self.history
        )

    def read(self, host: str, key: str, *, local: bool = False) -> None:
        """Read a key through a member."""
        asked_at = monotonic()
        try:
            reply = self.group.read(
                host, key, local=local, seconds=TIMEOUT_SECONDS
            )
        except TrestleError:
            self._note('read', key, '', Verdict.NOT_RUN, asked_at)
            return
        if local:
            asked_at -= reply.age_ms / MS_PER_SECOND + STAMP_SECONDS
        self._note('read', key, reply.value, Verdict.RAN, asked_at)

    def read_all(self, host: str) -> None:
        """Read every key through a member."""
        for key in sorted({one.key for one in self.history}):
            self.read(host, key)

    def _run(self, host: str, random: Random) -> None:
        while self.running:
            action = random.choice(
                (self._raise, self._append, self._read, self._read_local)
            )
            action(host, random)
            sleep(random.uniform(0, PAUSE_SECONDS))

    def _raise(self, host: str, random: Random) -> None:
        key = f'register-{random.randrange(REGISTERS)}'
        self._write('raise', host, key)

    def _append(self, host: str, _: Random) -> None:
        self.appended += 1
        self._write('append', host, f'list-{self.appended // LIST_ITEMS}')

    def _read(self, host: str, random: Random) -> None:
        self.read(host, self._any_key(random))

    def _read_local(self, host: str, random: Random) -> None:
        self.read(host, self._any_key(random), local=True)

    def _any_key(self, random: Random) -> str:
        if random.choice((True, False)):
            return f'register-{random.randrange(REGISTERS)}'
        last = self.appended // LIST_ITEMS
        return f'list-{max(0, last - random.randrange(RECENT_LISTS))}'

    def _write(self, kind: Any, host: str, key: str) -> None:
        value = str(next(self.numbers))
        asked_at = monotonic()
        try:
            reply = self.group.put(host, key, value, TIMEOUT_SECONDS, kind)
        except TrestleError as error:
            self._note(kind, key, value, error.verdict, asked_at)
            return
        self._note(kind, key, value, Verdict.RAN, asked_at, reply.log_index)

    def _note(
        self,
        kind: Any,
        key: str,
        value: str,
        verdict: Verdict,
        asked_at: float,
        log_index: int = 0,
    ) -> None:
        self.history.append(
            Operation(
                kind, key, value, verdict, asked_at, monotonic(), log_index
            )
        )


def run_soak(
    processes: Processes,
    seed: int,
    seconds: float,
    report: Callable[[str], Any],
    fewest_commands: int = 0,
) -> SoakResult:
    """Run clients and faults, heal, read everything and check.

    A busy machine takes longer for the same work: faults go on until so many
    commands were acknowledged, up to `LIMIT_SECONDS` longer.
    """
    group = LogGroup(
        processes,
        snapshot_entries=SNAPSHOT_ENTRIES,
        segment_bytes=SEGMENT_BYTES,
    )
    faults: Counter[str] = Counter()
    clients = Clients(group, seed)
    try:
        group.start_and_wait()
        _run_faults(clients, FaultPlan(seed, seconds, fewest_commands), faults)
        # A group whose faults have ended must repair itself.
        poll_until(lambda: is_repaired(group), LIMIT_SECONDS, 'repair')
        for host in group.hosts:
            clients.read_all(host)
    finally:
        clients.running = False
        group.close()
    report(f'seed {seed}: checks {len(clients.history)} operations')
    return SoakResult(
        Counter(f'{one.kind} {one.verdict.value}' for one in clients.history),
        faults,
        find_violations(clients.history),
    )


def _run_faults(
    clients: Clients, plan: FaultPlan, faults: Counter[str]
) -> None:
    random = Random(plan.seed)
    tasks = clients.start()
    end = monotonic() + plan.seconds
    latest = end + LIMIT_SECONDS
    while monotonic() < end or (
        monotonic() < latest and clients.acknowledged() < plan.fewest_commands
    ):
        inject_round(clients.group, random, faults)
    clients.running = False
    for task in tasks:
        task.get(timeout=LIMIT_SECONDS)


def main() -> int:
    """Run one seed and print its counts; 1 if a violation was found."""
    seed, minutes = int(argv[1]), float(argv[2])
    with TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        result = run_soak(
            processes,
            seed,
            minutes * SECONDS_PER_MINUTE,
            lambda line: stdout.write(f'{line}\n'),
        )
    for title, counts in (
        ('operations', result.operations),
        ('faults', result.faults),
    ):
        pairs = ', '.join(f'{name} {n}' for name, n in sorted(counts.items()))
        stdout.write(f'{title} {counts.total()}: {pairs}\n')
    for violation in result.violations:
        stdout.write(f'VIOLATION {violation[:500]}\n')
    stdout.write(f'seed {seed}: {len(result.violations)} violations\n')
    return int(bool(result.violations))


if __name__ == '__main__':
    sys_exit(main())
