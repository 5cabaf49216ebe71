"""Disks of control hosts that are full by turns, beside other trouble.

One disk at a time refuses every write (by a limit that the process does not
see) for a few seconds, while operators send changes and, by the seed, hosts
are killed, frozen or lose their disks. When all have had room again for a
while, every change must be acknowledged in time and read back at every host,
what was acknowledged before must not be lost, and no process may have ended by
itself. The exit status is 1 if something was violated.
"""

from gevent import monkey

monkey.patch_all()

from random import Random
from resource import RLIM_INFINITY, RLIMIT_FSIZE, prlimit
from shutil import rmtree
from sys import exit as sys_exit
from time import monotonic
from typing import Final

from cappa import parse
from gevent import joinall, sleep, spawn

from testbed.platform_fleet import PlatformFleet, document, in_force
from testbed.processes import Processes, poll_until
from testbed.soak_runs import SoakOptions, SoakReport, run_seeds

CORES: Final = tuple(f'core-{number}' for number in range(1, 6))
OPERATORS: Final = 6
LIMIT_SECONDS: Final = 30.0
# The platform's bounds of an acknowledgement, and of recovery.
ACK_SECONDS: Final = 4.0
RECOVERY_SECONDS: Final = 12.0
LAST_CHANGES: Final = 10
# A disk may be empty again for a member that is back, after this time.
CATCH_UP_SECONDS: Final = 4.0
_LONGEST_FULL_SECONDS: Final = 4.0
_LONGEST_FREEZE_SECONDS: Final = 2.0


class DiskSoak:
    """One run on a group of its own."""

    def __init__(self, processes: Processes, seed: int) -> None:
        """Start the group."""
        self.random = Random(seed)
        self.processes = processes
        self.fleet = PlatformFleet(processes)
        self.report = SoakReport()
        self.version = 0
        self.acknowledged = 0
        self.is_over = False
        for name in CORES:
            self.fleet.start(name, bootstrap=True)

    def run(self, seconds: float) -> SoakReport:
        """Let disks fill up for a time, then judge."""
        poll_until(
            lambda: self._change(CORES[0]), LIMIT_SECONDS, 'a first change'
        )
        operators = [spawn(self._operate) for _ in range(OPERATORS)]
        until = monotonic() + seconds
        while monotonic() < until:
            self._fill_one()
            sleep(self.random.choice((0.0, 0.3, 1.0)))
        self.is_over = True
        joinall(operators, timeout=LIMIT_SECONDS)
        sleep(RECOVERY_SECONDS)
        self._judge()
        self.fleet.stop()
        return self.report

    def _fill_one(self) -> None:
        """Fill one disk, and trouble another host meanwhile."""
        full, other = self.random.sample(CORES, 2)
        self.report.events['full'] += 1
        self._limit(full, 0)
        seconds = self.random.uniform(0.3, _LONGEST_FULL_SECONDS)
        trouble = self.random.choice(('none', 'kill', 'freeze', 'lose', 'kill'))
        self.report.events[trouble] += 1
        sleep(self.random.uniform(0, seconds))
        if trouble == 'kill':
            self._restart(other, empty=False)
        elif trouble == 'lose':
            self._restart(other, empty=True)
        elif trouble == 'freeze':
            self._freeze(other)
        sleep(seconds / 2)
        self._limit(full, RLIM_INFINITY)
        if trouble == 'lose':
            # No other disk is lost before this one is there again.
            sleep(CATCH_UP_SECONDS)

    def _limit(self, name: str, most_bytes: int) -> None:
        process = self.processes.started[name].popen
        if process.poll() is None:
            prlimit(process.pid, RLIMIT_FSIZE, (most_bytes, RLIM_INFINITY))

    def _restart(self, name: str, *, empty: bool) -> None:
        self._note_end(name)
        self.processes.started[name].kill()
        if empty:
            rmtree(self.fleet.data_folder(name), ignore_errors=True)
        self.fleet.start(name, bootstrap=False)

    def _freeze(self, name: str) -> None:
        process = self.processes.started[name]
        process.pause()
        sleep(self.random.uniform(0.3, _LONGEST_FREEZE_SECONDS))
        process.resume()

    def _note_end(self, name: str) -> None:
        process = self.processes.started[name]
        if not process.running():
            self.report.violations.append(
                f'{name} ended by itself with {process.wait()}'
            )

    def _operate(self) -> None:
        while not self.is_over:
            self._change(self.random.choice(CORES))
            sleep(0.1)

    def _change(self, name: str) -> bool:
        self.version += 1
        version = self.version
        try:
            status = self.fleet.publish(name, document(version)).status
        except OSError:
            status = 0
        self.report.outcomes[str(status)] += 1
        if status == 200:
            self.acknowledged = max(self.acknowledged, version)
        return status == 200

    def _judge(self) -> None:
        for name in CORES:
            self._note_end(name)
        for _ in range(LAST_CHANGES):
            self._check_change(self.random.choice(CORES))
        for name in CORES:
            self._check_read(name)

    def _check_change(self, name: str) -> None:
        began = monotonic()
        while not self._change(name):
            if monotonic() - began > ACK_SECONDS:
                self.report.violations.append(
                    f'no change is acknowledged at {name}'
                )
                return

    def _check_read(self, name: str) -> None:
        try:
            found = in_force(self.fleet.read_document(name))
        except OSError:
            found = 0
        if found < self.acknowledged:
            self.report.violations.append(
                f'{name} tells version {found} of {self.acknowledged}'
            )


def run_soak(processes: Processes, seed: int, seconds: float) -> SoakReport:
    """Run the soak of a seed."""
    return DiskSoak(processes, seed).run(seconds)


def main() -> None:
    """Run the seeds; exit with 1 if one was violated."""
    sys_exit(not run_seeds(parse(SoakOptions), run_soak))


if __name__ == '__main__':
    main()
