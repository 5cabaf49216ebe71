"""Starts programs as real processes and ends only those it started."""

from collections.abc import Callable, Mapping, Sequence
from json import loads
from os import environ
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from subprocess import Popen, TimeoutExpired
from sys import executable
from time import monotonic, sleep
from typing import Final, TypeVar, cast

ROOT: Final = Path(__file__).resolve().parent.parent
START_LIMIT_SECONDS: Final = 30.0
STOP_LIMIT_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.02
LOG_TAIL_LINES: Final = 20

Found = TypeVar('Found')


def poll_until(
    condition: Callable[[], Found], limit_seconds: float, what: str
) -> Found:
    """Return the condition's first true value; fail after the limit."""
    limit = monotonic() + limit_seconds
    while not (found := condition()):
        if monotonic() > limit:
            raise AssertionError(f'not within {limit_seconds} s: {what}')
        sleep(POLL_SECONDS)
    return found


class Process:
    """One started program, its log file and its address file."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        folder: Path,
        address: Path,
        environment: Mapping[str, str],
    ) -> None:
        self.name = name
        self.command = command
        self.environment = environment
        self.log_file = folder / f'{name}.log'
        self.address_file = address
        self.paused = False
        with self.log_file.open('ab') as log:
            self.popen = Popen(
                command,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**environ, 'PYTHONUNBUFFERED': '1', **environment},
            )

    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def read_address(self) -> str:
        """Wait for the address file and return its text."""

        def written() -> bool:
            if not self.running():
                raise AssertionError(
                    f'{self.name} ended at its start:\n{self.log_tail()}'
                )
            return self.address_file.exists()

        poll_until(written, START_LIMIT_SECONDS, f'address of {self.name}')
        return self.address_file.read_text(encoding='utf-8').strip()

    @property
    def address(self) -> str:
        """The ip:port that the process got."""
        return self.read_address()

    @property
    def addresses(self) -> Mapping[str, str]:
        """The addresses of a process that listens on several ports."""
        return cast(Mapping[str, str], loads(self.read_address()))

    def log_tail(self) -> str:
        """Return the last lines that the process logged."""
        text = self.log_file.read_text(encoding='utf-8', errors='replace')
        return '\n'.join(text.splitlines()[-LOG_TAIL_LINES:])

    def pause(self) -> None:
        """Stop the process from running until it is resumed."""
        self.paused = True
        self.popen.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self.paused = False
        self.popen.send_signal(SIGCONT)

    def kill(self) -> None:
        """End the process at once and wait until it is gone."""
        self.popen.send_signal(SIGKILL)
        self.popen.wait(STOP_LIMIT_SECONDS)

    def terminate(self) -> None:
        """Ask the process to stop gracefully, without waiting."""
        if self.paused:
            self.resume()
        self.popen.send_signal(SIGTERM)

    def wait(self, limit_seconds: float = STOP_LIMIT_SECONDS) -> int:
        """Wait for the process to end and return its exit status."""
        return self.popen.wait(limit_seconds)


class Processes:
    """All processes of one test; leaving the context ends them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: dict[str, Process] = {}
        self.stopping = False

    def __enter__(self) -> 'Processes':
        """Return itself."""
        return self

    def __exit__(self, *exception: object) -> None:
        """End every process."""
        self.end()

    def start(
        self,
        name: str,
        command: Sequence[str],
        address: Path | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start a program, again under a name whose process has ended."""
        if self.stopping:
            # A test's task that restarts processes may outlive its scenario.
            raise AssertionError(f'{name} would start after the end')
        address = address or self.folder / f'{name}.address'
        earlier = self.started.get(name)
        if earlier and earlier.running():
            raise AssertionError(f'{name} runs already')
        # A reader must never take the address of an earlier process.
        address.unlink(missing_ok=True)
        process = Process(
            name, command, self.folder, address, environment or {}
        )
        self.started[name] = process
        return process

    def start_fake(self, name: str, program: str, *options: str) -> Process:
        """Start a program of the testbed, such as fake_engine."""
        address = self.folder / f'{name}.address'
        command = [executable, '-m', f'testbed.{program}']
        command += ['--address-file', str(address), *options]
        return self.start(name, command, address)

    def restart(self, name: str) -> Process:
        """Start a process that has ended with its command again."""
        earlier = self.started[name]
        return self.start(
            name, earlier.command, earlier.address_file, earlier.environment
        )

    def end(self) -> None:
        """End all processes and start none from now on."""
        self.stopping = True
        self.stop_all()

    def stop_all(self) -> None:
        """End all processes: gracefully first, then at once."""
        alive = [one for one in self.started.values() if one.running()]
        for process in alive:
            process.terminate()
        limit = monotonic() + STOP_LIMIT_SECONDS
        for process in alive:
            try:
                process.wait(max(limit - monotonic(), 0))
            except TimeoutExpired:
                process.kill()
