"""Runs a soak for one seed after another, and prints what was violated."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from sys import stdout
from tempfile import TemporaryDirectory
from typing import Annotated, Final

from cappa import Arg

from testbed.processes import Processes

_SHOWN_VIOLATIONS: Final = 10


@dataclass
class SoakReport:
    """What was done, what callers got, and what was violated."""

    events: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


@dataclass
class SoakOptions:
    """Run a soak, by seeds."""

    seed: Annotated[int, Arg(long='--seed', help='seed of the first run')] = 1
    runs: Annotated[int, Arg(long='--runs', help='seeds from there on')] = 1
    seconds: Annotated[float, Arg(long='--seconds', help='of each run')] = 30


# Runs the soak of a seed for so many seconds.
RunSoak = Callable[[Processes, int, float], SoakReport]


def run_seeds(options: SoakOptions, run_soak: RunSoak) -> bool:
    """Run every seed; return whether nothing was violated.

    The end of each process's log is printed where something was.
    """
    is_sound = True
    for seed in range(options.seed, options.seed + options.runs):
        with TemporaryDirectory() as folder, Processes(Path(folder)) as started:
            report = run_soak(started, seed, options.seconds)
            if report.violations:
                _print_logs(started)
        is_sound = is_sound and not report.violations
        _print_report(seed, report)
    return is_sound


def _print_logs(processes: Processes) -> None:
    for process in processes.started.values():
        stdout.write(f'--- {process.name}\n{process.log_tail()}\n')


def _print_report(seed: int, report: SoakReport) -> None:
    stdout.write(
        f'seed {seed}: {len(report.violations)} violations, '
        f'{dict(report.events)}, {dict(report.outcomes)}\n'
    )
    for violation in report.violations[:_SHOWN_VIOLATIONS]:
        stdout.write(f'  {violation}\n')
    stdout.flush()
