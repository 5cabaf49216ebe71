"""A group of `testbed.log_member` processes behind the fault proxy."""

from itertools import permutations
from json import dumps
from pathlib import Path
from secrets import token_bytes
from sys import executable
from typing import Any, Final

from testbed.calls import http_call
from testbed.log_member import (
    Before,
    PutReply,
    PutValue,
    ReadValue,
    Rule,
    ValueReply,
)
from testbed.processes import Process, Processes, poll_until
from trestle_control.status_messages import ReplicaStatus, StatusAsk
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.link import Identity, Link
from trestle_links.member_messages import (
    AddControlHost,
    ControlHosts,
    GroupStatusAsk,
    RemoveControlHost,
)

HOSTS: Final = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')
LIMIT_SECONDS: Final = 30.0
CALL_SECONDS: Final = 5.0
_KEY_BYTES: Final = 32
_MS_PER_SECOND: Final = 1000
_PROXY: Final = 'proxy'


class LogGroup:
    """Processes, settings and links of one group."""

    def __init__(
        self,
        processes: Processes,
        hosts: tuple[str, ...] = HOSTS,
        *,
        proxied: bool = True,
        **overrides: Any,
    ) -> None:
        """Prepare a group; `overrides` are settings of every member.

        Without the proxy no link can get a fault.
        """
        self.processes = processes
        self.hosts = hosts
        self.proxied = proxied
        self.folder = processes.folder
        self.overrides = overrides
        key = token_bytes(_KEY_BYTES)
        (self.folder / 'key').write_bytes(key)
        me = Identity('test', key, Metrics.empty())
        self.links = {
            host: Link.to_address(f'@{self.address_file(host)}', me)
            for host in hosts
        }
        routes = [
            f'--link={source}>{target}=0:@{self.address_file(target)}'
            for source, target in permutations(hosts, 2)
        ]
        if proxied:
            self.proxy = processes.start_fake(_PROXY, 'fault_proxy', *routes)

    def address_file(self, host: str) -> Path:
        """Return the file with a member's peer address."""
        return self.folder / f'{host}.address'

    def data_folder(self, host: str) -> Path:
        """Return the data folder of a member."""
        return self.folder / f'{host}.data'

    def start(self, host: str) -> Process:
        """Start a member; returns before it is ready."""
        path = self.folder / f'{host}.json'
        path.write_text(dumps(self._settings_of(host)), encoding='utf-8')
        command = [executable, '-m', 'testbed.log_member', str(path)]
        address_file = self.address_file(host)
        return self.processes.start(host, command, address_file)

    def start_all(self) -> None:
        """Start every member."""
        for host in self.hosts:
            self.start(host)

    def start_and_wait(self) -> str:
        """Start every member, wait until all follow; return the leader."""
        self.start_all()
        leader = self.leader()
        for host in self.hosts:
            self.wait_until_follows(host)
        return leader

    def wait_until_follows(self, host: str) -> None:
        """Wait until a member knows a leader that others follow, too."""

        def follows() -> bool:
            status = self.status(host)
            return bool(status and status.leader)

        poll_until(follows, LIMIT_SECONDS, f'{host} follows a leader')

    def process(self, host: str) -> Process:
        """Return the last process of a member."""
        return self.processes.started[host]

    def set_fault(self, source: str, target: str, mode: str) -> None:
        """Put a fault on the connections that one member makes to another."""
        body = {'link': f'{source}>{target}', 'mode': mode}
        http_call(self.proxy.addresses['control'], 'POST', '/faults', body)

    def peer_bytes(self) -> int:
        """Return the bytes that the members have exchanged so far."""
        control = self.proxy.addresses['control']
        _, answer = http_call(control, 'GET', '/links')
        return sum(link['bytes'] for link in answer['links'].values())

    def isolate(self, host: str, mode: str = 'drop') -> None:
        """Put a fault on every link between a member and the others."""
        for source, target in permutations(self.hosts, 2):
            if host in {source, target}:
                self.set_fault(source, target, mode)

    def status(self, host: str) -> ReplicaStatus | None:
        """Return the status of a member, or None when it does not answer."""
        try:
            return self.links[host].call(StatusAsk(), ReplicaStatus, 1)
        except TrestleError:
            return None

    def group_status(self, host: str) -> ReplicaStatus:
        """Return the status of the group, asked at any member."""
        return self.links[host].call(GroupStatusAsk(), ReplicaStatus, 2)

    def add_host(self, host: str, through: str) -> ControlHosts:
        """Let a host join, by a command to any member."""
        command = AddControlHost(host, f'@{self.address_file(host)}')
        return self.links[through].call(command, ControlHosts, CALL_SECONDS)

    def remove_host(self, host: str, through: str) -> ControlHosts:
        """Take a host out, by a command to any member."""
        command = RemoveControlHost(host)
        return self.links[through].call(command, ControlHosts, CALL_SECONDS)

    def leader(self, among: tuple[str, ...] = ()) -> str:
        """Wait until one of the hosts leads and has committed."""

        def find() -> str:
            for host in among or self.hosts:
                status = self.status(host)
                if status and status.role == 'leader' and status.commit_index:
                    return host
            return ''

        return poll_until(find, LIMIT_SECONDS, 'a leader')

    def put(
        self,
        host: str,
        key: str,
        value: str,
        seconds: float = CALL_SECONDS,
        rule: Rule = 'put',
        before: Before = 'nothing',
    ) -> PutReply:
        """Change a key through a member."""
        timeout_ms = int(seconds * _MS_PER_SECOND)
        command = PutValue(key, value, timeout_ms, rule, before)
        return self.links[host].call(command, PutReply, seconds + 1)

    def read(
        self,
        host: str,
        key: str,
        *,
        local: bool = False,
        seconds: float = CALL_SECONDS,
    ) -> ValueReply:
        """Read a key through a member; linearizable unless `local`."""
        ask = ReadValue(key, local, int(seconds * _MS_PER_SECOND))
        return self.links[host].call(ask, ValueReply, seconds + 1)

    def close(self) -> None:
        """Close the links; the processes belong to the caller."""
        for link in self.links.values():
            link.close()

    def _settings_of(self, host: str) -> dict[str, Any]:
        return {
            'role': 'control',
            'host': host,
            'zone': host,
            'key_file': str(self.folder / 'key'),
            'control': [f'@{self.address_file(one)}' for one in self.hosts],
            'address_file': str(self.address_file(host)),
            'data_folder': str(self.data_folder(host)),
            'bootstrap': True,
            'log_level': 'DEBUG',
            'members': [
                {'host': one, 'address': self._route(host, one)}
                for one in self.hosts
            ],
            **self.overrides,
        }

    def _route(self, source: str, target: str) -> str:
        if source == target or not self.proxied:
            return f'@{self.address_file(target)}'
        return self.proxy.addresses[f'{source}>{target}']
