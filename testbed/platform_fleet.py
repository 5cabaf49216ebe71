"""The system on a stand-in of the users' platform, as real processes.

Every host gets a loopback address of its own, so that all of them use the
same ports, as on the platform. Back ends and the list of them run in the
process of the test, which sees all that they took.
"""

from collections.abc import Callable
from pathlib import Path
from random import sample
from socket import AF_INET, SOCK_STREAM
from socket import socket as plain_socket
from sys import executable
from typing import Any, Final, NamedTuple

from gevent.pywsgi import WSGIServer
from gevent.socket import create_connection
from msgspec.json import decode, encode

from testbed.platform_replica import PlatformReplica, read_headers
from testbed.processes import Processes, poll_until
from testbed.usage_desk import UsageDesk

LIMIT_SECONDS: Final = 20.0
SERVICES: Final = ('desk', 'llm')
_SEEDS: Final = 3
_USUAL_REPLICAS: Final = (
    ('i-desk1', ''),
    ('i-desk2', ''),
    ('i-read', 'prefill'),
    ('i-write1', 'decode'),
    ('i-write2', 'decode'),
)
# Loopback networks, and the port that is bound on the one in use.
_NETS: Final = range(10, 250)
_KEEPER_PORT: Final = 9464
_READ_BYTES: Final = 65_536


class Answer(NamedTuple):
    """What a caller got; `whole` tells whether the body was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class ReservedNet(NamedTuple):
    """A loopback network; fleets of any process keep off it.

    It is free again when the keeper is closed.
    """

    number: int
    keeper: plain_socket


class PlatformFleet:
    """Hosts, their settings files, the list and the back ends."""

    def __init__(self, processes: Processes) -> None:
        """Prepare, on a loopback network that no other fleet uses."""
        self.processes = processes
        reserved = _reserve_net()
        self.net = reserved.number
        self.net_keeper = reserved.keeper
        self.port = _free_port()
        self.replicas: list[PlatformReplica] = []
        self.leaving: set[str] = set()
        self.extra_entries: list[Any] = []
        # With a window, usage has to be reported.
        self.usage_window_s = 0
        self.usage_desk = UsageDesk()
        self.list_server = WSGIServer(
            ('127.0.0.1', 0), self._answer, log=None, error_log=None
        )
        self.list_server.start()

    def add_usual_replicas(self) -> None:
        """Start two back ends of a desk, and an engine pool of three."""
        for instance, stage in _USUAL_REPLICAS:
            self.add_replica(instance, stage)

    def add_replica(
        self, instance: str, stage: str = '', software: str = 'v1'
    ) -> PlatformReplica:
        """Start a back end and put it on the list."""
        replica = PlatformReplica(instance, stage, '127.0.0.1:0', software)
        self.replicas.append(replica)
        return replica

    def ip(self, name: str) -> str:
        """Return the loopback address of a host such as `core-2`."""
        role, _, number = name.partition('-')
        return f'127.{self.net}.{1 if role == "core" else 2}.{number}'

    def start(self, name: str, *, bootstrap: bool) -> None:
        """Start a host's process."""
        role = 'control' if name.startswith('core') else 'entry'
        node_file = self._write_node_file(name, bootstrap=bootstrap)
        self.processes.start(
            name,
            [executable, 'platform/launch.py', role],
            environment={'KINGCUPTRESTLE_NODE_FILE': str(node_file)},
        )

    def data_folder(self, name: str) -> Path:
        """Return the folder of a host's disk."""
        return self.processes.folder / f'{name}.data'

    def publish(self, host: str, document: dict[str, Any]) -> Answer:
        """Send a document to a control host."""
        return self.call(
            f'{self.ip(host)}:{self.port + 9}',
            'PUT',
            '/config',
            encode(document),
        )

    def read_document(self, host: str) -> Answer:
        """Read the document back at a control host."""
        address = f'{self.ip(host)}:{self.port + 9}'
        return self.call(address, 'GET', '/config')

    def is_ready(self, host: str) -> bool:
        """Tell whether an entry says that it is ready."""
        address = f'{self.ip(host)}:{self.port + 8}'
        try:
            return self.call(address, 'GET', '/ready').status == 200
        except OSError:
            return False

    def call_entry(self, host: str, path: str, **headers: str) -> Answer:
        """Make a caller's call at an entry."""
        named = {
            f'Kingcuptrestle-{name.replace("_", "-")}': text
            for name, text in headers.items()
        }
        return self.call_entry_with(host, path, named)

    def call_entry_with(
        self, host: str, path: str, headers: dict[str, str]
    ) -> Answer:
        """Make a caller's call at an entry, with headers by their full names."""
        return self.call(
            f'{self.ip(host)}:{self.port + 7}',
            'POST',
            path,
            b'{"lot":1}',
            headers,
        )

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call on a connection of its own."""
        ip, _, port = address.rpartition(':')
        sock = create_connection((ip, int(port)), timeout=LIMIT_SECONDS)
        lines = [f'{method} {path} HTTP/1.1', 'Host: firm.example']
        lines.extend(
            f'{name}: {text}' for name, text in (headers or {}).items()
        )
        lines += [f'Content-Length: {len(body)}', 'Connection: close']
        head = '\r\n'.join(lines) + '\r\n\r\n'
        try:
            sock.sendall(head.encode('latin-1') + body)
            return read_answer(sock)
        finally:
            sock.close()

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds."""
        poll_until(condition, LIMIT_SECONDS, what)

    def stop(self) -> None:
        """Stop the servers of this process, and give the network back."""
        self.net_keeper.close()
        self.list_server.stop()
        for replica in self.replicas:
            replica.server.stop()

    def _answer(self, environ: dict[str, Any], start_response: Any) -> Any:
        if environ['PATH_INFO'] == '/usage':
            return self.usage_desk.take(environ, start_response)
        return self._list(start_response)

    def _list(self, start_response: Any) -> list[bytes]:
        entries: list[Any] = [
            {
                'id': replica.instance,
                'service': 'llm' if replica.stage else 'desk',
                'addr': replica.address,
                'zone': 'z1',
                'version': replica.software,
                'state': (
                    'draining' if replica.instance in self.leaving else 'ready'
                ),
                'slots': 8,
                'stage': replica.stage or None,
            }
            for replica in self.replicas
        ]
        body = encode({'instances': [*self.extra_entries, *entries]})
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    def _write_node_file(self, name: str, *, bootstrap: bool) -> Path:
        ip = self.ip(name)
        is_core = name.startswith('core')
        listen = {
            'front': f'{ip}:{self.port + 7}',
            'ready': f'{ip}:{self.port + 8}',
        }
        if is_core:
            listen = {'control': f'{ip}:{self.port + 9}'}
        seeds = [self.ip(f'core-{number + 1}') for number in range(_SEEDS)]
        node = {
            'node': name,
            'machineClass': 'core' if is_core else 'front',
            'ip': ip,
            'zone': 'z1',
            'listen': listen,
            'portRange': [self.port, self.port + 6],
            'seeds': [f'{seed}:{self.port + 9}' for seed in seeds],
            'bootstrap': bootstrap,
            'dataDir': str(self.data_folder(name)) if is_core else None,
            'bounds': {'usageWindowS': self.usage_window_s},
            'cloud': {
                'addr': f'127.0.0.1:{self.list_server.server_port}',
                'duties': ['metering'] if self.usage_window_s else [],
            },
            'unknownField': 1,
        }
        path = self.processes.folder / f'{name}.json'
        path.write_bytes(encode(node))
        return path


def document(version: int, **changes: Any) -> dict[str, Any]:
    """Return a document with a route of each kind."""
    common: dict[str, Any] = {
        'host': 'firm.example',
        'timeoutMs': 4000,
        'maxAttempts': 2,
    }
    routes: list[dict[str, Any]] = [
        {'name': 'book', 'pathPrefix': '/book/', 'kind': 'unsafe'},
        {'name': 'look', 'pathPrefix': '/look/', 'kind': 'safe'},
        {
            'name': 'grade',
            'pathPrefix': '/grade/',
            'kind': 'stream',
            'resumable': True,
        },
        {'name': 'check', 'pathPrefix': '/check/', 'kind': 'stream'},
    ]
    whole = [
        {
            **common,
            **route,
            'targetLatencyMs': 900,
            'service': 'llm' if route['kind'] == 'stream' else 'desk',
        }
        for route in routes
    ]
    services = [
        {'name': 'desk', 'maxConns': 40},
        {
            'name': 'llm',
            'maxConns': 40,
            'engine': {'slots': 8, 'kvCapacity': 500_000},
        },
    ]
    return {
        'version': version,
        'routes': whole,
        'services': services,
        'limits': {'maxBodyBytes': 4096, 'headerTimeoutMs': 600},
        **changes,
    }


def _reserve_net() -> ReservedNet:
    """Reserve a free loopback network."""
    for net in sample(_NETS, len(_NETS)):
        keeper = plain_socket(AF_INET, SOCK_STREAM)
        try:
            keeper.bind((f'127.{net}.8.1', _KEEPER_PORT))
        except OSError:
            keeper.close()
            continue
        return ReservedNet(net, keeper)
    raise OSError('no loopback network is free')


def _free_port() -> int:
    """Return the first of ten ports that are free on every address."""
    with plain_socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(('0.0.0.0', 0))
        port: int = probe.getsockname()[1]
    return min(port, 65_500)


def read_answer(sock: Any) -> Answer:
    received = b''
    try:
        while more := sock.recv(_READ_BYTES):
            received += more
    except ConnectionResetError:
        # What came before the reset is judged like any early end.
        pass
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    if len(lines[0].split(' ')) < 2:
        return Answer(0, {}, b'', whole=False)
    headers = read_headers(lines[1:])
    status = int(lines[0].split(' ')[1])
    if headers.get('transfer-encoding') == 'chunked':
        content, whole = _unchunk(body)
        return Answer(status, headers, content, whole)
    whole = len(body) == int(headers.get('content-length', 0))
    return Answer(status, headers, body, whole)


def _unchunk(body: bytes) -> tuple[bytes, bool]:
    content = b''
    while True:
        size, _, rest = body.partition(b'\r\n')
        if not size:
            return content, False
        length = int(size, 16)
        if length == 0:
            return content, True
        content += rest[:length]
        body = rest[length + 2 :]


def in_force(answer: Answer) -> int:
    """Return the version of a document that was read back, or 0."""
    if answer.status != 200:
        return 0
    return int(decode(answer.body)['version'])
