"""The platform's host list: withdraws hosts that are listed as leaving.

Only the leader reads the list. The list lags and may show an older state
for a while, so a host is restored only after several reads in a row showed
it live, and only if the list had caused its withdrawal.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final, Literal, Self
from urllib.parse import urlsplit

from gevent import sleep
from geventhttpclient import HTTPClient
from msgspec import Struct
from msgspec.json import decode

from trestle_control.apply import ControlStateMachine
from trestle_control.endpoint_commands import PLATFORM
from trestle_control.replica_api import ReplicaApi
from trestle_core.addresses import resolve_address
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.fleet_messages import RestoreEndpoint, WithdrawEndpoint

LIVE_READS: Final = 3
_HTTP_SECONDS: Final = 2.0
_SUBMIT_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000
_HTTP_OK: Final = 200

_log = part_logger('host-list')


class ListedHost(Struct, frozen=True):
    """One host of the platform's list."""

    host: str
    state: Literal['live', 'leaving']


class HostList(Struct, frozen=True):
    """The document of `GET /hosts`."""

    hosts: list[ListedHost]


ReadList = Callable[[], HostList]


def http_reader(url: str) -> ReadList:
    """Return a reader of the list at `http://ip:port`, or `@file`.

    The reader raises `OSError` or `ValueError`.
    """

    def read() -> HostList:
        address = resolve_address(urlsplit(url).netloc or url)
        client = HTTPClient(
            address.ip,
            address.port,
            connection_timeout=_HTTP_SECONDS,
            network_timeout=_HTTP_SECONDS,
        )
        try:
            response = client.get('/hosts')
            if response.status_code != _HTTP_OK:
                raise OSError(f'the host list answers {response.status_code}')
            return decode(bytes(response.read()), type=HostList)
        finally:
            client.close()

    return read


class HostListReader:
    """The greenlet that reads the list and submits what follows."""

    def __init__(
        self,
        read: ReadList,
        every_seconds: float,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Prepare; `read` returns the present list."""
        self.read = read
        self.every_seconds = every_seconds
        self.state_machine = state_machine
        self.replica = replica
        self.metrics = metrics
        self.live_reads: Counter[str] = Counter()

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> Self:
        """Make a reader over HTTP."""
        return cls(
            http_reader(settings.host_list_url),
            settings.host_list_every_ms / _MS_PER_SECOND,
            state_machine,
            replica,
            metrics,
        )

    def run(self) -> None:
        """Follow the list while this host leads, for ever."""
        while True:
            if self.replica.is_leader:
                self._follow_list()
            sleep(self.every_seconds)

    def _follow_list(self) -> None:
        try:
            listed = self.read().hosts
        except (OSError, ValueError) as error:
            self.metrics.count('host_list_failures')
            _log.warning('The host list cannot be read: {}.', error)
            return
        for entry in listed:
            try:
                self._follow_host(entry)
            except TrestleError as error:
                # The next read tries again.
                _log.warning('Host {}: {}.', entry.host, error)

    def _follow_host(self, entry: ListedHost) -> None:
        host = entry.host
        state = self.state_machine.state
        withdrawal = state.withdrawals.get(host)
        if entry.state == 'leaving':
            self.live_reads.pop(host, None)
            if host in state.endpoints and withdrawal is None:
                command = WithdrawEndpoint(host, 'listed as leaving', PLATFORM)
                self.replica.submit(command, _SUBMIT_SECONDS)
            return
        if withdrawal is None or withdrawal.operator != PLATFORM:
            return
        self.live_reads[host] += 1
        if self.live_reads[host] >= LIVE_READS:
            self.live_reads.pop(host)
            restore = RestoreEndpoint(host, 'listed as live', PLATFORM)
            self.replica.submit(restore, _SUBMIT_SECONDS)
