# flake8: noqa
"""A small deployment on loopback addresses, as real processes.

Every host has a loopback address of its own, so all hosts use the same ports,
as on the platform. The programs are started with the commands of
`deploy/system.toml`. The stand-ins run in the process of the test.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
METRICS_PORT = 9464


class Record:
    """The lines of `record.txt`, with the seconds since the start."""

    def __init__(self, folder: str) -> None:
        self.path = Path(folder) / 'record.txt'
        self.begun = time.monotonic()
        self.lines: list[str] = []

    def write(self, *words: object) -> None:
        line = f'{time.monotonic() - self.begun:7.3f} ' + ' '.join(
            map(str, words)
        )
        self.lines.append(line)
        print(line, flush=True)

    def save(self) -> None:
        self.path.write_text('\n'.join(self.lines) + '\n')


class Fleet:
    """The processes, their settings files and their addresses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net, self.keeper = _reserve_net()
        self.port = _free_port()
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands = {
            name: role['run'].split()
            for name, role in tomllib.loads(
                (ROOT / 'deploy/system.toml').read_text()
            )['roles'].items()
        }
        self.cloud = f'127.{self.net}.9.1:{self.port + 9}'
        self.zones = {}

    def ip(self, node: str) -> str:
        role, _, number = node.partition('-')
        return f'127.{self.net}.{1 if role == "core" else 2}.{number}'

    def control(self, node: str) -> str:
        return f'{self.ip(node)}:{self.port + 9}'

    def front(self, node: str) -> str:
        return f'{self.ip(node)}:{self.port + 7}'

    def ready(self, node: str) -> str:
        return f'{self.ip(node)}:{self.port + 8}'

    def replica_address(self, number: int) -> str:
        return f'127.{self.net}.3.{number}:{self.port + 9}'

    def write_settings(self, node: str, *, bootstrap: bool, **changes) -> Path:
        is_core = node.startswith('core')
        listen = {'front': self.front(node), 'ready': self.ready(node)}
        if is_core:
            listen = {'control': self.control(node)}
        content = {
            'node': node,
            'role': 'control' if is_core else 'entry',
            'machineClass': 'core' if is_core else 'front',
            'serves': ['control'] if is_core else ['front'],
            'ip': self.ip(node),
            'zone': self.zones.get(node, 'z1'),
            'region': 'r1',
            'zones': {'z1': 'r1', 'z2': 'r1', 'z3': 'r1'},
            'listen': listen,
            'portRange': [self.port, self.port + 6],
            'seeds': [self.control(f'core-{n}') for n in (1, 2, 3)],
            'bootstrap': bootstrap,
            'inTolerance': is_core,
            'limits': {
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 128 if is_core else 0,
            },
            'dataDir': str(self.folder / f'{node}.data') if is_core else None,
            'discovery': 'cloud',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'split',
                'stream',
                'engine',
            ],
            'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {
                'seedLagS': 3,
                'addrReuseS': 2,
                'stableWindowMs': 3000,
                'ackMs': 4000,
                'catchUpS': 4,
                'drainMs': 3000,
                'graceS': 8,
                'lossSlackMs': 200,
                'configApplyMs': 2000,
                'rollbackSlackMs': 250,
                'maxSkewMs': 5000,
                'retryBudget': 0.2,
                'budgetWindowS': 10,
                'budgetExtra': 52,
                'recoveryS': 12,
                'transitMs': 120,
                'cacheWindowS': 8,
                'requireFence': True,
                'leaseMs': 3000,
                'thawMs': 300,
            },
            'configMode': 'highest',
            'cloud': {
                'addr': self.cloud,
                'ratePerS': 40.0,
                'duties': [],
                'lagMs': 800,
            },
            **changes,
        }
        path = self.folder / f'{node}.json'
        draft = path.with_suffix('.draft')
        draft.write_text(json.dumps(content))
        draft.replace(path)
        return path

    def start(self, node: str, *, bootstrap: bool = True, **changes) -> None:
        path = self.write_settings(node, bootstrap=bootstrap, **changes)
        role = 'control' if node.startswith('core') else 'entry'
        data = self.folder / f'{node}.data'
        if role == 'control':
            data.mkdir(exist_ok=True)
        private = self.folder / f'{node}.tmp'
        private.mkdir(exist_ok=True)
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(private),
            'TMPDIR': str(private),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'KINGCUPTRESTLE_NODE_FILE': str(path),
        }
        log = (self.folder / f'{node}.log').open('ab')
        self.processes[node] = subprocess.Popen(
            self.commands[role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, node: str, number: int) -> None:
        self.processes[node].send_signal(number)

    def log_of(self, node: str) -> str:
        path = self.folder / f'{node}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.keeper.close()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def _reserve_net() -> tuple[int, socket.socket]:
    """Find a loopback network; the socket keeps other runs off it."""
    for net in random.sample(range(20, 250), 60):
        keeper = socket.socket()
        try:
            keeper.bind((f'127.{net}.8.1', METRICS_PORT))
            for role in (1, 2):
                with socket.socket() as probe:
                    probe.bind((f'127.{net}.{role}.1', METRICS_PORT))
        except OSError:
            keeper.close()
            continue
        return net, keeper
    raise OSError('no free loopback network')


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('0.0.0.0', 0))
        return min(probe.getsockname()[1], 65_000)


async def http(address, method, path, body=b'', headers=None, timeout=1.0):
    """Make one call on a new connection; return status, headers and body."""

    async def call():
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1']
            sent = {'Host': host, **(headers or {})}
            lines += [f'{name}: {text}' for name, text in sent.items()]
            lines += [f'Content-Length: {len(body)}', 'Connection: close']
            writer.write(
                '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
            )
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.split('\r\n')
            named = dict(
                (line.partition(':')[0].lower(), line.partition(':')[2].strip())
                for line in rest
                if line
            )
            if 'content-length' in named:
                content = await reader.readexactly(int(named['content-length']))
            else:
                content = await reader.read()
            return int(first.split(' ')[1]), named, content
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout)


async def publish(fleet, document, nodes, limit_s=20.0):
    """Send a manifest until it is acknowledged, to one node after another."""
    body = json.dumps(document).encode()
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        for node in nodes:
            try:
                status, _, _ = await http(
                    fleet.control(node),
                    'PUT',
                    '/config',
                    body,
                    {'Content-Type': 'application/json'},
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                fleet.record.write(
                    'operator: version',
                    document['version'],
                    'acknowledged by',
                    node,
                )
                return True
            if status < 500:
                fleet.record.write('operator: refused', status)
                return False
        await asyncio.sleep(0.2)
    return False


def manifest(version: int) -> dict:
    """A manifest with a route of each kind."""
    host = 'firm.example'
    common = {'host': host, 'timeoutMs': 5000, 'maxAttempts': 2, 'priority': 1}
    engine = {
        'slots': 64,
        'kvCapacity': 529540,
        'kvTokenBytes': 18432,
        'linkMbps': 240000.0,
        'migrations': True,
        'backups': True,
        'stride': 13,
        'most': 12,
        'handleTtlS': 5.0,
        'roleSwitchS': 3.0,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'reserve',
                'pathPrefix': '/reserve/',
                'kind': 'unsafe',
                'targetLatencyMs': 125,
                'service': 'desk',
            },
            {
                **common,
                'name': 'check',
                'pathPrefix': '/check/',
                'kind': 'safe',
                'targetLatencyMs': 125,
                'service': 'desk',
            },
            {
                **common,
                'name': 'grade',
                'pathPrefix': '/grade/',
                'kind': 'stream',
                'targetLatencyMs': 600,
                'targetGapMs': 250,
                'sticky': True,
                'resumable': False,
                'service': 'llm',
            },
            {
                **common,
                'name': 'review',
                'pathPrefix': '/review/',
                'kind': 'stream',
                'targetLatencyMs': 600,
                'targetGapMs': 250,
                'sticky': True,
                'resumable': True,
                'service': 'llm',
            },
        ],
        'services': [
            {
                'name': 'desk',
                'healthPath': '/health',
                'maxConns': 96,
                'protocol': 'h1',
                'tls': False,
            },
            {
                'name': 'llm',
                'healthPath': '/health',
                'maxConns': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def run_case(folder, run):
    """Run a case, save its record, end its processes; return the status."""
    record = Record(folder)
    record.write('TROUBLE', int(TROUBLE))
    fleet = Fleet(record)
    signal.signal(signal.SIGALRM, _out_of_time)
    signal.alarm(110)
    try:
        status = asyncio.run(run(record, fleet))
    except OSError as error:
        record.write('could not run:', error)
        status = 2
    finally:
        fleet.close()
    record.write('exit', status)
    record.save()
    return status


def _out_of_time(_number, _frame):
    raise TimeoutError('the case took too long')
