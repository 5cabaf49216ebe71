"""A group of `testbed.log_member` processes in a temporary folder."""

from collections.abc import Callable
from json import dumps
from pathlib import Path
from signal import SIGKILL, SIGTERM
from subprocess import Popen
from sys import executable
from time import monotonic
from typing import Any, Final, TypeVar

from gevent import sleep

from testbed.log_member import PutReply, PutValue, ReadValue, ValueReply
from trestle_control.status_messages import ReplicaStatus, StatusAsk
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.link import Identity, Link

HOSTS: Final = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')
CALL_SECONDS: Final = 5.0
_POLL_SECONDS: Final = 0.02
_EXIT_SECONDS: Final = 20
_MS_PER_SECOND: Final = 1000

Value = TypeVar('Value')


def poll(what: str, get: Callable[[], Value], seconds: float = 30) -> Value:
    """Return the first true value; raises `AssertionError` at the limit."""
    deadline = monotonic() + seconds
    while monotonic() < deadline:
        value = get()
        if value:
            return value
        sleep(_POLL_SECONDS)
    raise AssertionError(f'not within {seconds} s: {what}')


class LogGroup:
    """Processes, settings and links of one group."""

    def __init__(self, folder: Path, **overrides: Any) -> None:
        """Write the settings of three members; `overrides` change them."""
        self.folder = folder
        self.processes: dict[str, Popen[bytes]] = {}
        self.peer_addresses = {
            host: f'@{folder}/{host}.address' for host in HOSTS
        }
        self.overrides = overrides
        (folder / 'key').write_bytes(b'0' * 32)
        me = Identity('test', b'0' * 32, Metrics.empty())
        self.links = {
            host: Link.to_address(f'@{folder}/{host}.address', me)
            for host in HOSTS
        }

    def data_folder(self, host: str) -> Path:
        """Return the data folder of a member."""
        return self.folder / f'{host}.data'

    def start(self, host: str, **overrides: Any) -> None:
        """Start a member; returns before it is ready."""
        settings = {
            'role': 'control',
            'host': host,
            'zone': host,
            'key_file': f'{self.folder}/key',
            'control': list(self.peer_addresses.values()),
            'address_file': f'{self.folder}/{host}.address',
            'data_folder': str(self.data_folder(host)),
            'bootstrap': True,
            'log_level': 'DEBUG',
            'members': [
                {'host': other, 'address': address}
                for other, address in self.peer_addresses.items()
            ],
            **self.overrides,
            **overrides,
        }
        path = self.folder / f'{host}.json'
        path.write_text(dumps(settings))
        (self.folder / f'{host}.address').unlink(missing_ok=True)
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = Popen(
                [executable, '-m', 'testbed.log_member', str(path)],
                stderr=log,
            )

    def start_all(self) -> None:
        """Start every member."""
        for host in HOSTS:
            self.start(host)

    def kill(self, host: str) -> None:
        """Kill a member at once."""
        self.end(host, SIGKILL)

    def end(self, host: str, signal_number: int = SIGTERM) -> int:
        """Signal a member and return its exit status."""
        process = self.processes.pop(host)
        process.send_signal(signal_number)
        return process.wait(_EXIT_SECONDS)

    def stop(self) -> None:
        """End every process that still runs."""
        for host in list(self.processes):
            self.kill(host)
        for link in self.links.values():
            link.close()

    def status(self, host: str) -> ReplicaStatus | None:
        """Return the status of a member, or None when it does not answer."""
        try:
            return self.links[host].call(StatusAsk(), ReplicaStatus, 1)
        except TrestleError:
            return None

    def leader(self, among: tuple[str, ...] = HOSTS) -> str:
        """Wait until one of the hosts leads and has committed."""

        def get() -> str:
            for host in among:
                status = self.status(host)
                if status and status.role == 'leader' and status.commit_index:
                    return host
            return ''

        return poll('a leader', get)

    def put(
        self, host: str, key: str, value: str, seconds: float = CALL_SECONDS
    ) -> PutReply:
        """Set a key through a member."""
        command = PutValue(key, value, int(seconds * _MS_PER_SECOND))
        return self.links[host].call(command, PutReply, seconds + 1)

    def read(
        self,
        host: str,
        key: str,
        *,
        local: bool = False,
        seconds: float = CALL_SECONDS,
    ) -> ValueReply:
        """Read a key through a member."""
        ask = ReadValue(key, local, int(seconds * _MS_PER_SECOND))
        return self.links[host].call(ask, ValueReply, seconds + 1)
