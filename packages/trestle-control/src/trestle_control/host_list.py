"""The platform's host list: withdraws the hosts that it lists as leaving.

Only the leader reads the list, and what it read is submitted in its own term
only, as a host that was frozen meanwhile knows an older list than its successor.
The list lags and may revert to an older
state for a while, so a host is restored only after several consecutive reads
listed it as live, and only if the list caused its withdrawal.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final, Literal, Self
from urllib.parse import urlsplit

from gevent import sleep
from msgspec import Struct
from msgspec.json import decode

from trestle_control.apply import ControlStateMachine
from trestle_control.endpoint_commands import PLATFORM_OPERATOR
from trestle_control.replica_api import ReplicaApi
from trestle_core.addresses import resolve_address
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.codec import Message
from trestle_links.fleet_messages import RestoreEndpoint, WithdrawEndpoint
from trestle_links.http_exchange import HttpRequest, fetch

RESTORE_AFTER_READS: Final = 3
_HTTP_TIMEOUT_SECONDS: Final = 2.0
_SUBMIT_TIMEOUT_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000
_HTTP_OK: Final = 200

_log = part_logger('host-list')


class ListedHost(Struct, frozen=True):
    """A host of the list."""

    host: str
    state: Literal['live', 'leaving']


class HostList(Struct, frozen=True):
    """The response body of `GET /hosts`."""

    hosts: list[ListedHost]


ReadHostList = Callable[[], HostList]


def http_reader(url: str) -> ReadHostList:
    """Return a reader of the list at `http://ip:port` or `@file`.

    The reader raises `OSError` or `ValueError`.
    """

    def read() -> HostList:
        address = resolve_address(urlsplit(url).netloc or url)
        request = HttpRequest('GET', '/hosts')
        reply = fetch(lambda: address, request, _HTTP_TIMEOUT_SECONDS)
        if reply.status != _HTTP_OK:
            raise OSError(f'the host list returned status {reply.status}')
        return decode(reply.body, type=HostList)

    return read


class HostListReader:
    """Reads the list and submits withdrawals and restorations."""

    def __init__(
        self,
        read: ReadHostList,
        interval_seconds: float,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Create the reader; `read` returns the current list."""
        self.read = read
        self.interval_seconds = interval_seconds
        self.state_machine = state_machine
        self.replica = replica
        self.metrics = metrics
        self.consecutive_live_reads: Counter[str] = Counter()

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> Self:
        """Create a reader that uses HTTP."""
        return cls(
            http_reader(settings.host_list_url),
            settings.host_list_every_ms / _MS_PER_SECOND,
            state_machine,
            replica,
            metrics,
        )

    def run(self) -> None:
        """Read the list periodically while this host leads."""
        while True:
            if self.replica.is_leader:
                self.apply_list()
            sleep(self.interval_seconds)

    def apply_list(self) -> None:
        """Read the list once and submit what it asks for."""
        term = self.replica.lead.term
        try:
            listed = self.read().hosts
        except (OSError, ValueError) as error:
            self.metrics.count('host_list_failures')
            _log.warning('Cannot read the host list: {}.', error)
            return
        for entry in listed:
            try:
                self._apply_host(entry, term)
            except TrestleError as error:
                # The next read retries.
                _log.warning(
                    'Cannot apply the listed state of host {}: {}.',
                    entry.host,
                    error,
                )

    def _apply_host(self, entry: ListedHost, term: int) -> None:
        host = entry.host
        state = self.state_machine.state
        withdrawal = state.withdrawals.get(host)
        if entry.state == 'leaving':
            self.consecutive_live_reads.pop(host, None)
            if host in state.endpoints and withdrawal is None:
                command = WithdrawEndpoint(
                    host, 'listed as leaving', PLATFORM_OPERATOR
                )
                self._submit(command, term)
            return
        if withdrawal is None or withdrawal.operator != PLATFORM_OPERATOR:
            return
        self.consecutive_live_reads[host] += 1
        if self.consecutive_live_reads[host] >= RESTORE_AFTER_READS:
            self.consecutive_live_reads.pop(host)
            restore = RestoreEndpoint(host, 'listed as live', PLATFORM_OPERATOR)
            self._submit(restore, term)

    def _submit(self, command: Message, term: int) -> None:
        self.replica.submit_as_leader(command, term, _SUBMIT_TIMEOUT_SECONDS)
