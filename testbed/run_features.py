"""Runs the feature files side by side and prints each scenario's result."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from json import loads
from os import environ
from pathlib import Path
from subprocess import PIPE, STDOUT, Popen, TimeoutExpired
from sys import argv, executable, stdout
from sys import exit as sys_exit
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Final, NamedTuple

from testbed.processes import ROOT

WORKERS: Final = 5
FILE_LIMIT_SECONDS: Final = 420
STOP_LIMIT_SECONDS: Final = 30
KNOWN_RED_FILE: Final = ROOT / 'KNOWN-RED.txt'


class Outcome(NamedTuple):
    """The result of one scenario, and seconds for a whole file."""

    test: str
    status: str


class FileRun(NamedTuple):
    """The scenarios of one feature file and what behave printed."""

    outcomes: list[Outcome]
    output: str
    seconds: float


def read_known_red(path: Path) -> dict[str, str]:
    """Return the excused tests; a line is `FILE: SCENARIO | why`."""
    if not path.exists():
        return {}
    lines = path.read_text(encoding='utf-8').splitlines()
    entries = [line.partition(' | ') for line in lines if ' | ' in line]
    return {
        test.strip(): why
        for test, _, why in entries
        if not test.startswith('#')
    }


def run_file(feature: Path) -> FileRun:
    """Run one feature file in a process of its own."""
    began = monotonic()
    with TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [executable, '-m', 'behave', str(feature)]
        command += ['--no-capture', '-f', 'json', '-o', str(report)]
        command += ['-f', 'plain', '--no-color']
        process = Popen(
            command,
            cwd=ROOT,
            stdout=PIPE,
            stderr=STDOUT,
            text=True,
            env={**environ, 'PYTHONPATH': str(ROOT)},
        )
        output = wait_for_output(process)
        outcomes = read_outcomes(feature, report, process.returncode)
    return FileRun(outcomes, output, monotonic() - began)


def wait_for_output(process: 'Popen[str]') -> str:
    """Wait for behave; on a timeout let it clean up before it is killed."""
    try:
        return process.communicate(timeout=FILE_LIMIT_SECONDS)[0]
    except TimeoutExpired:
        process.terminate()
    try:
        return process.communicate(timeout=STOP_LIMIT_SECONDS)[0]
    except TimeoutExpired:
        process.kill()
    return process.communicate()[0]


def read_outcomes(
    feature: Path, report: Path, exit_status: int
) -> list[Outcome]:
    """Return a file's results; a run that broke is a failure of its own."""
    try:
        features = loads(report.read_text(encoding='utf-8'))
    except (OSError, ValueError):
        features = []
    outcomes = [
        Outcome(f'{feature.name}: {element["name"].strip()}', element['status'])
        for content in features
        for element in content.get('elements', [])
        if element['type'] == 'scenario'
    ]
    failed = any(outcome.status != 'passed' for outcome in outcomes)
    if not outcomes or (exit_status and not failed):
        outcomes.append(Outcome(f'{feature.name}: the run', 'broken'))
    return outcomes


def run_all(features: list[Path]) -> Iterator[FileRun]:
    """Yield the run of each file as it ends."""
    with ThreadPoolExecutor(WORKERS) as pool:
        runs = [pool.submit(run_file, feature) for feature in features]
        for run in as_completed(runs):
            yield run.result()


def print_run(run: FileRun, known_red: dict[str, str]) -> None:
    """Print a file's scenarios, and behave's output if one failed."""
    for test, status in run.outcomes:
        note = ''
        if test in known_red:
            note = f'  (known red: {known_red[test]})'
        stdout.write(f'{status:8}{test}{note}\n')
    if any(outcome.status != 'passed' for outcome in run.outcomes):
        stdout.write(f'{run.output}\n')
    stdout.write(f'        {run.seconds:.1f} s\n')
    stdout.flush()


def main() -> int:
    """Run the named feature files, or all; 1 if any failed unexcused."""
    known_red = read_known_red(KNOWN_RED_FILE)
    names = argv[1:] or sorted(map(str, ROOT.glob('features/*.feature')))
    passed = 0
    failures = []
    for run in run_all([Path(name) for name in names]):
        print_run(run, known_red)
        passed += sum(one.status == 'passed' for one in run.outcomes)
        failures += [one.test for one in run.outcomes if one.status != 'passed']
    excused = [test for test in failures if test in known_red]
    for test in excused:
        stdout.write(f'known red, let pass: {test}\n')
    stdout.write(f'{passed} passed, {len(failures)} failed\n')
    return int(len(failures) > len(excused))


if __name__ == '__main__':
    sys_exit(main())
