"""A group of five voters that know only their seeds, and a successor."""

from shutil import rmtree
from typing import Any, Final

from gevent import sleep

from testbed.log_group import LIMIT_SECONDS, LogGroup
from testbed.processes import Processes, poll_until
from trestle_control.status_messages import ReplicaStatus
from trestle_core.errors import TrestleError

FIRST_HOSTS: Final = tuple(f'control-{number}' for number in range(1, 6))
SUCCESSOR: Final = 'control-6'
SEEDS: Final = 3
# Some heartbeats, in which a leader takes the next step of a change.
QUIET_SECONDS: Final = 0.4


class ReplacedGroup(LogGroup):
    """A group whose hosts are replaced and lose their disks."""

    def __init__(self, processes: Processes) -> None:
        """Prepare the processes of the first start and the successor."""
        super().__init__(
            processes,
            (*FIRST_HOSTS, SUCCESSOR),
            proxied=False,
            members=[],
            log_level='INFO',
        )
        self.is_first_start = True

    def start_first(self) -> None:
        """Start five hosts and wait until all of them vote."""
        for host in FIRST_HOSTS:
            self.start(host)
        self.wait_for_voters(FIRST_HOSTS)
        self.is_first_start = False

    def wait_for_voters(self, hosts: tuple[str, ...]) -> None:
        """Wait until these are the voters, and nothing else is to change."""

        def last_index() -> int:
            indexes = [
                settled_index(hosts, self.status(host)) for host in hosts
            ]
            return max(indexes)

        def is_quiet() -> bool:
            index = last_index()
            sleep(QUIET_SECONDS)
            return index > 0 and last_index() == index

        poll_until(is_quiet, LIMIT_SECONDS, f'the voters are {hosts}')

    def lose_disks(self, hosts: tuple[str, ...]) -> None:
        """Kill hosts and empty their data folders."""
        for host in hosts:
            self.process(host).kill()
        for host in hosts:
            rmtree(self.data_folder(host))

    def value_of(self, key: str, hosts: tuple[str, ...]) -> str:
        """Wait until every host answers a read; return the last answer."""
        return [self._wait_for_value(key, host) for host in hosts][-1]

    def _wait_for_value(self, key: str, host: str) -> str:
        def read() -> str:
            try:
                return self.read(host, key, seconds=1).value
            except TrestleError:
                return ''

        return poll_until(read, LIMIT_SECONDS, f'{host} answers a read')

    def _settings_of(self, host: str) -> dict[str, Any]:
        settings = {
            **super()._settings_of(host),
            'seeds': [f'@{self.address_file(one)}' for one in FIRST_HOSTS],
            'advertise': f'@{self.address_file(host)}',
            'wanted_voters': len(FIRST_HOSTS),
            'bootstrap': self.is_first_start,
        }
        settings['seeds'] = settings['seeds'][:SEEDS]
        return settings


def settled_index(hosts: tuple[str, ...], status: ReplicaStatus | None) -> int:
    """Return a leader's last index if it has these voters and committed all.

    Otherwise 0.
    """
    if not status or status.role != 'leader':
        return 0
    voters = sorted(member.host for member in status.members if member.voter)
    is_settled = status.commit_index == status.last_index
    return status.last_index if is_settled and voters == sorted(hosts) else 0
