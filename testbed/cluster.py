"""A whole system as processes on loopback, with its settings files."""

from collections.abc import Mapping, Sequence
from functools import partial
from json import dumps, loads
from pathlib import Path
from secrets import token_hex
from subprocess import CompletedProcess
from subprocess import run as run_command
from sys import executable
from typing import Final, NamedTuple

from testbed.calls import http_call
from testbed.processes import ROOT, Process, Processes, poll_until
from testbed.serving import JsonObject

DAEMON: Final = str(Path(executable).with_name('kingcuptrestled'))
OPERATOR: Final = str(Path(executable).with_name('kingcuptrestle'))
OPERATOR_LIMIT_SECONDS: Final = 60
READY_LIMIT_SECONDS: Final = 30.0
KEY_BYTES: Final = 24
PROXY: Final = 'proxy'
HOST_LIST: Final = 'hosts'
ANY_ENTRY: Final = 'entry'
OPERATOR_HOST: Final = 'operator'


class Endpoint(NamedTuple):
    """One endpoint host: its target and the options of its fake."""

    host: str
    zone: str
    target: str
    options: tuple[str, ...] = ()
    kind: str = 'engine'

    @property
    def backend(self) -> str:
        """The name of the fake's process."""
        return f'{self.host}.{self.kind}'


class Layout(NamedTuple):
    """What to start; links are `SOURCE>TARGET` pairs behind the proxy.

    A link `entry>HOST` carries what all entries send to an endpoint process,
    which then advertises the proxy's address.
    """

    zones: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]
    controls: int = 3
    entries: int = 2
    links: tuple[str, ...] = ()
    host_lag_seconds: float = 1
    # Most tests have no balancer that would have to see a planned stop.
    drain_notice_ms: int = 10
    # More settings by role or by host; a host's go before its role's.
    settings: Mapping[str, JsonObject] = {}


class Cluster:
    """The settings and processes of one system."""

    def __init__(self, processes: Processes, layout: Layout) -> None:
        self.processes = processes
        self.folder = processes.folder
        self.layout = layout
        self.control_hosts = numbered('control', layout.controls)
        self.entry_hosts = numbered('entry', layout.entries)
        self.key_file = self.folder / 'key'
        # A key of its own: a port used again by another system's process
        # must not be taken for a peer.
        self.key_file.write_text(token_hex(KEY_BYTES), encoding='utf-8')

    @classmethod
    def from_config(cls, processes: Processes, layout: Layout) -> 'Cluster':
        """Return a cluster of which every process has been started."""
        cluster = cls(processes, layout)
        cluster.start_outside_systems()
        for host in cluster.control_hosts:
            cluster.start_control(host)
        for host in cluster.entry_hosts:
            notice = {'drain_notice_ms': layout.drain_notice_ms}
            cluster.start_daemon(host, 'entry', notice)
        for endpoint in layout.endpoints:
            cluster.start_endpoint(endpoint)
        return cluster

    def start_outside_systems(self) -> None:
        """Start the host list, the fakes of all endpoints and the proxy."""
        hosts = [f'--host={one.host}' for one in self.layout.endpoints]
        lag = f'--lag={self.layout.host_lag_seconds}'
        self.processes.start_fake(HOST_LIST, 'fake_hosts', lag, *hosts)
        for endpoint in self.layout.endpoints:
            self.start_backend(endpoint)
        if self.layout.links:
            links = [
                f'--link={link}=0:@{self.address_file(link.split(">")[1])}'
                for link in self.layout.links
            ]
            self.processes.start_fake(PROXY, 'fault_proxy', *links)

    def start_backend(self, endpoint: Endpoint) -> Process:
        """Start the engine or service beside an endpoint process."""
        return self.processes.start_fake(
            endpoint.backend,
            f'fake_{endpoint.kind}',
            f'--record={self.folder / endpoint.host}.jsonl',
            *endpoint.options,
        )

    def start_control(self, host: str) -> Process:
        """Start a control process on its own data folder."""
        members = [
            {'host': peer, 'address': self.route(host, peer)}
            for peer in self.control_hosts
        ]
        return self.start_daemon(
            host,
            'control',
            {
                'data_folder': str(self.folder / f'{host}.data'),
                'members': members,
                'bootstrap': True,
                'host_list_url': self.host_list_url(),
            },
        )

    def start_endpoint(self, endpoint: Endpoint) -> Process:
        """Start the process of the system beside an engine or service."""
        link = f'{ANY_ENTRY}>{endpoint.host}'
        advertised = link in self.layout.links
        return self.start_daemon(
            endpoint.host,
            'endpoint',
            {
                'zone': endpoint.zone,
                'target_kind': endpoint.kind,
                'target': endpoint.target,
                'target_url': self.route(endpoint.host, endpoint.backend),
                'advertise': self.route(ANY_ENTRY, endpoint.host)
                if advertised
                else '',
            },
        )

    def start_daemon(self, host: str, role: str, fields: JsonObject) -> Process:
        """Write a host's settings file and start its process."""
        number = int(host.rpartition('-')[2])
        settings = {
            'role': role,
            'host': host,
            'zone': self.layout.zones[number % len(self.layout.zones)],
            'key_file': str(self.key_file),
            'control': [self.route(host, peer) for peer in self.control_hosts],
            'address_file': str(self.address_file(host)),
            'http_address_file': str(self.http_file(host)),
            **fields,
            **self.layout.settings.get(role, {}),
            **self.layout.settings.get(host, {}),
        }
        path = self.folder / f'{host}.json'
        path.write_text(dumps(settings, indent=2), encoding='utf-8')
        command = [DAEMON, '--settings', str(path)]
        return self.processes.start(host, command, self.http_file(host))

    def address_file(self, name: str) -> Path:
        """Return the file with a process's peer address."""
        return self.folder / f'{name}.address'

    def http_file(self, host: str) -> Path:
        """Return the file with a daemon's HTTP address."""
        return self.folder / f'{host}.http'

    def route(self, source: str, target: str) -> str:
        """Return the address by which one process reaches another."""
        link = f'{source}>{target}'
        if link in self.layout.links:
            return self.process(PROXY).addresses[link]
        return f'@{self.address_file(target)}'

    def host_list_url(self) -> str:
        """Return the URL of the platform's host list."""
        return f'http://{self.process(HOST_LIST).address}/hosts'

    def process(self, name: str) -> Process:
        """Return a process by its host or backend name."""
        return self.processes.started[name]

    def http_address(self, host: str) -> str:
        """Return the address where a daemon serves HTTP."""
        return self.process(host).address

    def set_link(self, link: str, mode: str, **fields: object) -> None:
        """Put a fault on a link of the proxy, or on all with `*`."""
        control = self.process(PROXY).addresses['control']
        body = {'link': link, 'mode': mode, **fields}
        status, answer = http_call(control, 'POST', '/faults', body)
        assert status == 200, answer

    def ready(self, host: str) -> bool:
        """Tell whether a daemon's readiness page passes."""
        try:
            status, _ = http_call(self.http_address(host), 'GET', '/ready')
        except (OSError, ValueError):
            return False
        return status == 200

    def wait_ready(self, hosts: Sequence[str] = ()) -> None:
        """Wait until the named daemons are ready, or all of them."""
        names = hosts or [
            *self.control_hosts,
            *self.entry_hosts,
            *(endpoint.host for endpoint in self.layout.endpoints),
        ]
        for name in names:
            poll_until(
                partial(self.ready, name), READY_LIMIT_SECONDS, f'{name} ready'
            )

    def operate(
        self, *arguments: str, through: Sequence[str] = ()
    ) -> 'CompletedProcess[str]':
        """Run a command of the operators' program.

        It tries the control hosts of `through` in order, or else all.
        """
        control = ','.join(
            self.route(OPERATOR_HOST, host)
            for host in through or self.control_hosts
        )
        return run_command(
            [
                OPERATOR,
                *arguments,
                '--control',
                control,
                '--key-file',
                str(self.key_file),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=OPERATOR_LIMIT_SECONDS,
        )

    def record(self, host: str) -> list[JsonObject]:
        """Return what the fake of an endpoint host has recorded."""
        path = self.folder / f'{host}.jsonl'
        if not path.exists():
            return []
        return [loads(line) for line in path.read_text().splitlines()]


def numbered(prefix: str, count: int) -> list[str]:
    """Return host names from PREFIX-1 on."""
    return [f'{prefix}-{number}' for number in range(1, count + 1)]
