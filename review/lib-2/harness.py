# flake8: noqa
"""Stand-ins for a small deployment: platform, back ends and clients.

Standard library only. The programs of the project are started as
deploy/system.toml has them, each on a loopback address of its own.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PREFIX = 'Kingcuptrestle-'
# A process that ended is started again after a short delay (DEPLOY.md).
RESTART_S = 1.0
# Of a case; an error that nobody caught ends Python with 1.
BROKEN = 10
COULD_NOT_RUN = 2
BOUNDS = {
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
}


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / 'record.txt', 'w', buffering=1)

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f'{self.now():8.3f} {text}\n')


class Deployment:
    """Processes of the project on a loopback network, and their settings."""

    def __init__(self, record, cores=3, entries=1, memory_mb=300):
        self.record = record
        self.memory_mb = memory_mb
        self.folder = tempfile.TemporaryDirectory(prefix='review-2-')
        self.net, self.keeper = _reserve_net()
        self.ports = {'front': 8149, 'ready': 8141, 'control': 8144}
        self.names = {}
        for number in range(1, cores + 1):
            self.names[f'core-{number}'] = f'127.{self.net}.1.{number}'
        for number in range(1, entries + 1):
            self.names[f'front-{number}'] = f'127.{self.net}.2.{number}'
        self.cores = [name for name in self.names if name.startswith('core')]
        self.fronts = [name for name in self.names if name.startswith('front')]
        self.started = {}
        self.peak_mb = {}
        self.cloud = ''
        self.replicas = []

    def address(self, name, kind):
        return self.names[name], self.ports[kind]

    def write_settings(self, name, bootstrap):
        is_core = name in self.cores
        ip = self.names[name]
        kinds = ['control'] if is_core else ['front', 'ready']
        seeds = [
            f'{self.names[core]}:{self.ports["control"]}'
            for core in self.cores[:3]
        ]
        data = Path(self.folder.name) / f'{name}.data'
        if is_core:
            data.mkdir(exist_ok=True)
        settings = {
            'node': name,
            'role': 'control' if is_core else 'entry',
            'machineClass': 'core' if is_core else 'front',
            'serves': ['control'] if is_core else ['front'],
            'ip': ip,
            'zone': 'plovdiv-a',
            'region': 'bg-south',
            'zones': {'plovdiv-a': 'bg-south'},
            'listen': {kind: f'{ip}:{self.ports[kind]}' for kind in kinds},
            'portRange': [7380, 7395],
            'seeds': seeds,
            'bootstrap': bootstrap,
            'inTolerance': is_core,
            'limits': {'memoryMb': self.memory_mb, 'maxFds': 4100},
            'dataDir': str(data) if is_core else None,
            'discovery': 'cloud',
            'entry': 'vip',
            'faultTolerance': {
                'machines': (len(self.cores) - 1) // 2,
                'zones': 0,
                'regions': 0,
            },
            'bounds': BOUNDS,
            'configMode': 'highest',
            'cloud': {
                'addr': self.cloud,
                'ratePerS': 40.0,
                'duties': [],
                'lagMs': 800,
            },
        }
        path = Path(self.folder.name) / f'{name}.json'
        path.write_text(json.dumps(settings))
        return path

    def start(self, name, bootstrap=False):
        role = 'control' if name in self.cores else 'entry'
        path = self.write_settings(name, bootstrap)
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['KINGCUPTRESTLE_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(Path(self.folder.name) / f'{name}.log', 'ab')
        process = subprocess.Popen(
            ['python3', 'platform/launch.py', role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started[name] = process
        self.record.note(f'platform starts {name} ({role})')

    def start_all(self):
        for name in self.names:
            self.start(name, bootstrap=True)

    def memory(self, name):
        """Return the resident memory of a process, MB; 0 if it has ended."""
        process = self.started[name]
        if process.poll() is not None:
            return 0
        try:
            text = Path(f'/proc/{process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) // 1024
        return 0

    async def guard_memory(self, on_kill):
        """Kill a process above its limit, as the platform does (DEPLOY.md)."""
        while True:
            for name in self.names:
                used = self.memory(name)
                self.peak_mb[name] = max(self.peak_mb.get(name, 0), used)
                if used > self.memory_mb:
                    self.started[name].kill()
                    self.record.note(
                        f'platform kills {name}: {used} MB of memory, '
                        f'limit {self.memory_mb} MB'
                    )
                    on_kill(name, used)
                    self.started[name].wait()
                    asyncio.get_running_loop().call_later(
                        RESTART_S, self.start, name
                    )
            await asyncio.sleep(0.05)

    def stop(self):
        for replica in self.replicas:
            replica.stop()
        alive = [p for p in self.started.values() if p.poll() is None]
        for process in alive:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + 4
        for process in alive:
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.keeper.close()
        self.folder.cleanup()

    def log_tail(self, name, lines=5):
        text = (Path(self.folder.name) / f'{name}.log').read_text(
            errors='replace'
        )
        return text.splitlines()[-lines:]


class Replica:
    """A stand-in back end in a process of its own."""

    def __init__(self, deployment, ip, instance, work_seconds, stage=''):
        program = Path(__file__).resolve().parent / 'replica.py'
        self.instance = instance
        self.stage = stage
        self.log = Path(deployment.folder.name) / f'{instance}.log'
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-B',
                str(program),
                f'{ip}:0',
                instance,
                str(work_seconds),
                str(self.log),
                *([stage] if stage else []),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self.process.stdout.readline().strip()
        if not self.address:
            raise CannotRun('a stand-in back end did not start')

    def entry(self, service, slots, number):
        """Return its entry of the provider's list."""
        entry = {
            'id': self.instance,
            'service': service,
            'addr': self.address,
            'zone': 'plovdiv-a',
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'born': 1700000000000 + number,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def ran(self):
        """Return the ids of the requests that it has run."""
        return self.log.read_text().split()

    def tell(self, text):
        self.process.stdin.write(text + '\n')
        self.process.stdin.flush()

    def stop(self):
        self.process.kill()
        self.process.communicate()


class Cloud:
    """The provider's list of back ends."""

    def __init__(self):
        self.entries = []

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        return f'{ip}:{port}'

    async def serve(self, reader, writer):
        try:
            while await read_message(reader):
                body = json.dumps({'instances': self.entries, 'next': None})
                writer.write(whole(200, {}, body.encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Message:
    """A request or an answer that was read."""

    def __init__(self, first, headers, body, is_whole=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def get(self, name):
        return self.headers.get((PREFIX + name).lower(), '')

    @property
    def status(self):
        return int(self.first.split(' ')[1])

    @property
    def target(self):
        return self.first.split(' ')[1]


async def read_message(reader, is_answer=False):
    """Read one request or answer; None at the end of the channel."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise OSError('cut in the head') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(lines[0], headers, body)


def whole(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


async def call(
    address, method, target, headers=None, body=b'', host='', limit=5.0
):
    """Make one call on a new channel; the answer, or None without a whole one."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [
                f'{method} {target} HTTP/1.1',
                f'Host: {host or address[0]}',
            ]
            lines += [f'{n}: {t}' for n, t in (headers or {}).items()]
            lines += [f'Content-Length: {len(body)}', '', '']
            writer.write('\r\n'.join(lines).encode('latin-1') + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (
        OSError,
        ValueError,
        asyncio.TimeoutError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ):
        return None


async def publish(deployment, manifest, limit=30.0):
    """Send a manifest until it is acknowledged, as the operator does."""
    until = time.monotonic() + limit
    turn = 0
    while time.monotonic() < until:
        name = deployment.cores[turn % len(deployment.cores)]
        turn += 1
        answer = await call(
            deployment.address(name, 'control'),
            'PUT',
            '/config',
            {'Content-Type': 'application/json'},
            json.dumps(manifest).encode(),
            limit=1.0,
        )
        if answer and answer.status == 200:
            deployment.record.note(
                f'operator: version {manifest["version"]} acknowledged by {name}'
            )
            return
        await asyncio.sleep(0.3)
    raise CannotRun('no manifest was acknowledged')


async def wait_ready(deployment, limit=20.0):
    until = time.monotonic() + limit
    for name in deployment.fronts:
        while True:
            answer = await call(
                deployment.address(name, 'ready'), 'GET', '/ready', limit=1.0
            )
            if answer and answer.status == 200:
                break
            if time.monotonic() > until:
                raise CannotRun(f'{name} does not become ready')
            await asyncio.sleep(0.1)


def request_id():
    return f'{random.getrandbits(64):016x}'


def _reserve_net():
    for net in random.sample(range(10, 250), 240):
        keeper = socket.socket()
        try:
            keeper.bind((f'127.{net}.9.1', 7379))
        except OSError:
            keeper.close()
            continue
        return net, keeper
    raise CannotRun('no loopback network is free')


def play(case, folder):
    """Run a case's coroutine and exit; run.sh translates the status."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'TROUBLE={int(trouble)}')
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:
        record.note(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(COULD_NOT_RUN)
    record.note('RULE BROKEN' if broken else 'the rule held')
    print('rule broken' if broken else 'rule held')
    sys.exit(BROKEN if broken else 0)
