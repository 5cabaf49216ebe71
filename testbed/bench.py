"""Runs policies in turn on the same seeds and prints one table."""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import groupby, product
from json import dumps
from os import getloadavg
from statistics import median
from sys import stdout
from typing import Annotated, Any, Final

from cappa import Arg, parse

from testbed.bench_figures import Figures
from testbed.bench_system import Run, execute
from testbed.firm_workloads import FIRMS
from testbed.processes import ROOT
from testbed.serving import JsonObject

RESULTS: Final = ROOT / 'bench'
POLICIES: Final = (
    'random',
    'round-robin',
    'least-load',
    'two-choices',
    'permits',
)
PERCENT: Final = 100
P95: Final = 1


@dataclass(kw_only=True)
class Options:
    """Measures policies side by side; lists take several values."""

    name: Annotated[str, Arg(long=True, help='bench/NAME.json')] = 'policies'
    firm: Annotated[list[str], Arg(long=True)] = field(default_factory=list)
    routing: Annotated[list[str], Arg(long=True)] = field(default_factory=list)
    role: Annotated[list[str], Arg(long=True)] = field(default_factory=list)
    fault: Annotated[list[str], Arg(long=True)] = field(default_factory=list)
    seeds: Annotated[int, Arg(long=True)] = 5
    first_seed: Annotated[int, Arg(long=True)] = 1
    seconds: Annotated[float, Arg(long=True)] = 32
    load: Annotated[float, Arg(long=True, help='Multiplies rates.')] = 1


def runs_of(options: Options) -> Iterator[Run]:
    """Yield the runs; policies take turns on each seed."""
    for firm, fault, seed, routing, role in product(
        options.firm or ['medena'],
        options.fault or ['none'],
        range(options.first_seed, options.first_seed + options.seeds),
        options.routing or POLICIES,
        options.role or ['never'],
    ):
        yield Run(
            firm, routing, role, fault, seed, options.seconds, options.load
        )


def spread(values: list[float], digits: int) -> str:
    """Return minimum, median and maximum as one text."""
    return '/'.join(
        f'{number:.{digits}f}'
        for number in (min(values), median(values), max(values))
    )


def columns_of(firm: str) -> dict[str, Callable[[Figures], float]]:
    """Return the table's columns: a name and how its figure is read."""
    short = FIRMS[firm].models[-1].route
    columns: dict[str, Callable[[Figures], float]] = {
        'goodput %': lambda one: one['goodput'] * PERCENT,
    }
    for model in FIRMS[firm].models:
        columns[f'{model.route} %'] = class_column(model.route)
    return columns | {
        'short p95 ms': lambda one: one['classes'][short]['first_token_ms'][
            P95
        ],
        'others %': lambda one: one['others'] * PERCENT,
        'calls': lambda one: one['calls_per_request'],
        'asks': lambda one: one['asks_per_request'],
        'changes': lambda one: one['role_changes'],
        'broken': lambda one: sum(one['broken'].values()),
    }


def class_column(route: str) -> Callable[[Figures], float]:
    """Return how a class's goodput in percent is read."""

    def goodput(figures: Figures) -> float:
        return figures['classes'][route]['goodput'] * PERCENT

    return goodput


def print_table(results: list[tuple[Run, Figures]]) -> None:
    """Print a row for each policy and fault: min/median/max over seeds."""

    def key(result: tuple[Run, Figures]) -> tuple[str, str, str]:
        return result[0].firm, result[0].fault, result[0].policy

    for (firm, fault, policy), group in groupby(sorted(results, key=key), key):
        figures = [one for _, one in group]
        cells = [
            f'{name} {spread([read(one) for one in figures], digits_of(name))}'
            for name, read in columns_of(firm).items()
        ]
        stdout.write(f'{firm} {fault} {policy} (n={len(figures)})\n')
        stdout.write(f'    {" | ".join(cells)}\n')


def digits_of(column: str) -> int:
    """Return how many decimals a column shows."""
    return 2 if column in {'calls', 'asks'} else 0


def write_results(name: str, results: list[tuple[Run, Figures]]) -> None:
    """Write every run's figures as JSON."""
    RESULTS.mkdir(exist_ok=True)
    content: list[JsonObject] = [
        {**run._asdict(), 'figures': figures} for run, figures in results
    ]
    path = RESULTS / f'{name}.json'
    path.write_text(dumps(content, indent=1), encoding='utf-8')


def describe(figures: Any) -> str:
    """Return a run's figures in short, for its progress line."""
    return (
        f'goodput {figures["goodput"]:.3f} retries {figures["retries"]} '
        f'broken {sum(figures["broken"].values())} '
        f'late {figures["late_ms"]:.0f} ms'
    )


def main() -> None:
    """Run all, print progress and the table, write the results."""
    options = parse(Options)
    results = []
    for run in runs_of(options):
        figures = execute(run)
        results.append((run, figures))
        write_results(options.name, results)
        load = getloadavg()[0]
        stdout.write(
            f'{run.firm} {run.fault} {run.policy} seed {run.seed}: '
            f'{describe(figures)} (machine load {load:.1f})\n'
        )
        stdout.flush()
    print_table(results)


if __name__ == '__main__':
    main()
