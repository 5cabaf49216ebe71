# flake8: noqa
"""A small deployment for the cases of the third review.

Starts the project's own programs with the commands of deploy/system.toml, each host
on a loopback address of its own. The platform's list, the servers and the clients are
stand-ins in this process. A sound server does what PROTOCOL.md says, and no more.
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
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
P = 'Kingcuptrestle-'
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.began = time.monotonic()
        self.lines = []

    def note(self, text):
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {text}')

    def write(self):
        self.path.write_text('\n'.join(self.lines) + '\n', encoding='utf-8')


class Request:
    """A request that a server took."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def get(self, name):
        return self.headers.get((P + name).lower(), '')


async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


def head(status, headers):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def whole(status, headers, body=b''):
    return head(status, {**headers, 'Content-Length': len(body)}) + body


class Server:
    """A server of a plain service; an engine is a kind of it."""

    def __init__(self, deployment, name, service, zone, stage=None, slots=6):
        self.deployment, self.name, self.service = deployment, name, service
        self.zone, self.stage, self.slots = zone, stage, slots
        self.version, self.state = 'v1', 'ready'
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.ran = []
        self.running = 0
        self.work_s = 0.02
        # A coroutine that answers in the place of the sound server.
        self.trouble = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=2**20
        )
        self.addr = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]

    def entry(self):
        entry = {
            'id': self.name,
            'service': self.service,
            'addr': self.addr,
            'zone': self.zone,
            'version': self.version,
            'state': self.state,
            'slots': self.slots,
            'coldLeftMs': 0,
            'born': self.born,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        target = request.get('Target-Instance')
        own = {P + 'Request-Id': request.get('Request-Id')}
        if target and target != self.name:
            writer.write(whole(421, {**own, P + 'Not-Executed': '1'}))
            return True
        if not request.get('Request-Id'):
            writer.write(whole(400, {P + 'Not-Executed': '1'}))
            return True
        if self.trouble:
            return await self.trouble(self, request, reader, writer)
        return await self.run(request, writer)

    async def run(self, request, writer):
        self.ran.append((time.monotonic(), request))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = json.dumps(
            {'ran': request.get('Request-Id'), 'at': self.name}
        ).encode()
        headers = {
            P + 'Request-Id': request.get('Request-Id'),
            P + 'Server-Seal': SEAL,
        }
        writer.write(whole(200, headers, body))
        await writer.drain()
        return True


class Engine(Server):
    """A model server: prefill or decode."""

    events = 8
    gap_s = 0.05

    def __init__(self, deployment, name, zone, stage, service='llm'):
        super().__init__(deployment, name, service, zone, stage, 64)
        self.handles = {}
        self.epoch = random.randrange(10**9)

    async def answer(self, request, reader, writer):
        own = {P + 'Request-Id': request.get('Request-Id')}
        path = request.target.partition('?')[0]
        if path == '/report':
            report = {
                'stage': self.stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq': self.seq,
                'queued': 0,
                'running': self.running,
                'kvUsed': 0,
                'kvTotal': 500000,
                'kvHandles': len(self.handles),
                'born': self.born,
                'state': self.state,
                'runs': [],
            }
            return self._say(writer, report)
        if path == '/kv-list':
            return self._say(
                writer, {'epoch': self.epoch, 'next': 0, 'held': []}
            )
        if path == '/kv-events':
            await asyncio.sleep(int(request.headers.get('wait-ms', 0)) / 1000)
            return self._say(
                writer,
                {'epoch': self.epoch, 'next': 0, 'lost': False, 'events': []},
            )
        if request.method == 'DELETE':
            self.handles.pop(path.rpartition('/')[2], None)
            return self._say(writer, {})
        if path == '/order':
            order = json.loads(request.body)
            if order.get('expected', self.seq) != self.seq:
                writer.write(whole(409, {}))
                return True
            self.seq += 1
            asyncio.get_running_loop().call_later(
                3, setattr, self, 'stage', order['stage']
            )
            writer.write(whole(202, {}))
            return True
        if self.trouble and request.get('Target-Instance') == self.name:
            return await self.trouble(self, request, reader, writer)
        target = request.get('Target-Instance')
        is_prefill = request.get('Serving-Stage') == 'prefill'
        wrong = is_prefill != (self.stage == 'prefill')
        if (target and target != self.name) or wrong:
            writer.write(whole(421, {**own, P + 'Not-Executed': '1'}))
            return True
        if is_prefill:
            tokens = int(request.get('Token-Counts').split(',')[0])
            await asyncio.sleep(tokens / 56600)
            handle = '%012x' % random.randrange(16**12)
            self.handles[handle] = request.get('Request-Id')
            body = json.dumps(
                {'kvHandle': handle, 'tokens': tokens, 'version': 1}
            ).encode()
            writer.write(
                whole(200, {**own, 'Content-Type': 'application/json'}, body)
            )
            await writer.drain()
            return True
        return await self.run(request, writer)

    def _say(self, writer, page):
        writer.write(
            whole(
                200,
                {'Content-Type': 'application/json'},
                json.dumps(page).encode(),
            )
        )
        return True

    async def run(self, request, writer):
        self.ran.append((time.monotonic(), request))
        headers = {
            P + 'Request-Id': request.get('Request-Id'),
            P + 'Server-Seal': SEAL,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        first = int(request.headers.get('last-event-id') or 0) + 1
        self.running += 1
        try:
            writer.write(head(200, headers))
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f'id: {number}\ndata: {self.name}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.running -= 1
        return True


class Answer:
    """What a client got: `whole` tells a complete answer."""

    def __init__(self, status, headers, body, is_whole, channel_closed):
        self.status, self.headers, self.body = status, headers, body
        self.whole, self.closed = is_whole, channel_closed


class Channel:
    """A client's channel to an entry, kept for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        ip, _, port = self.address.rpartition(':')
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=2**20), 1
        )

    def close(self):
        if self.writer:
            self.writer.close()

    async def call(
        self,
        method,
        target,
        request_id,
        host,
        deadline_ms,
        headers=None,
        body=b'',
    ):
        lines = {
            'Host': host,
            P + 'Request-Id': request_id,
            P + 'Deadline-Ms': str(deadline_ms),
            **(headers or {}),
            'Content-Length': str(len(body)),
        }
        text = f'{method} {target} HTTP/1.1\r\n'
        text += ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
        try:
            self.writer.write(text.encode() + b'\r\n' + body)
            await self.writer.drain()
            return await self._read()
        except (OSError, asyncio.IncompleteReadError):
            return Answer(0, {}, b'', False, True)

    async def _read(self):
        status, headers, content, is_whole = 0, {}, b'', False
        try:
            raw = await self.reader.readuntil(b'\r\n\r\n')
            lines = raw.decode('latin-1').split('\r\n')
            status = int(lines[0].split(' ')[1])
            for line in lines[1:]:
                name, _, value = line.partition(':')
                headers[name.lower()] = value.strip()
            if headers.get('transfer-encoding') == 'chunked':
                while True:
                    size = int(
                        (await self.reader.readuntil(b'\r\n')).strip(), 16
                    )
                    piece = await self.reader.readexactly(size + 2)
                    content += piece[:-2]
                    if not size:
                        break
            else:
                content = await self.reader.readexactly(
                    int(headers.get('content-length', 0))
                )
            is_whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        closed = (
            not is_whole or headers.get('connection', '').lower() == 'close'
        )
        return Answer(status, headers, content, is_whole, closed)


class Deployment:
    """Hosts, the platform and the servers."""

    def __init__(self, record, bounds=None, memory_mb=300, zones=('z-a',)):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.zones = zones
        self.memory_mb = memory_mb
        self.servers = []
        self.processes = {}
        self.restarts = {}
        self.net, self.keeper = _reserve_net()
        self.port = _free_ports()
        self.bounds = {
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
            **(bounds or {}),
        }
        self.list_calls = 0
        self.duties = []
        self.handle_platform = None

    def ip(self, name):
        role, _, number = name.partition('-')
        return f'127.{self.net}.{1 if role == "core" else 2}.{number}'

    def front(self, name):
        return f'{self.ip(name)}:{self.port + 7}'

    def control(self, name):
        return f'{self.ip(name)}:{self.port + 9}'

    async def start_platform(self):
        self.platform = await asyncio.start_server(
            self._platform, '127.0.0.1', 0
        )
        self.cloud = '127.0.0.1:%d' % self.platform.sockets[0].getsockname()[1]

    async def add(self, server):
        await server.start()
        self.servers.append(server)
        return server

    async def _platform(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if self.handle_platform and await self.handle_platform(
                    request, writer
                ):
                    continue
                self.list_calls += 1
                page = {
                    'instances': [s.entry() for s in self.servers],
                    'next': None,
                }
                writer.write(
                    whole(
                        200,
                        {'Content-Type': 'application/json'},
                        json.dumps(page).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def settings(self, name, bootstrap, cores):
        is_core = name.startswith('core')
        number = int(name.partition('-')[2])
        zone = self.zones[(number - 1) % len(self.zones)]
        ip = self.ip(name)
        listen = {
            'front': f'{ip}:{self.port + 7}',
            'ready': f'{ip}:{self.port + 8}',
        }
        if is_core:
            listen = {'control': f'{ip}:{self.port + 9}'}
        return {
            'node': name,
            'role': 'control' if is_core else 'entry',
            'machineClass': 'core' if is_core else 'front',
            'serves': ['control'] if is_core else ['front'],
            'ip': ip,
            'zone': zone,
            'region': 'r',
            'zones': {z: 'r' for z in self.zones},
            'listen': listen,
            'portRange': [self.port, self.port + 6],
            'seeds': [
                self.control(f'core-{n}') for n in range(1, min(3, cores) + 1)
            ],
            'bootstrap': bootstrap,
            'inTolerance': is_core,
            'limits': {
                'cpuShare': 0.86,
                'cores': 3 if is_core else 1,
                'memoryMb': 296 if is_core else self.memory_mb,
                'maxFds': 4096,
                'linkMbps': 1000.0,
                'diskMb': 128 if is_core else 0,
            },
            'dataDir': str(self.folder / f'{name}.data') if is_core else None,
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
            'faultTolerance': {
                'machines': (cores - 1) // 2,
                'zones': 0,
                'regions': 0,
            },
            'bounds': self.bounds,
            'configMode': 'highest',
            'cloud': {
                'addr': self.cloud,
                'ratePerS': 40.0,
                'duties': self.duties,
                'lagMs': 800,
            },
        }

    def start(self, name, bootstrap=True, cores=5):
        path = self.folder / f'{name}.json'
        path.write_text(
            json.dumps(self.settings(name, bootstrap, cores)), encoding='utf-8'
        )
        role = 'control' if name.startswith('core') else 'entry'
        (self.folder / f'{name}.data').mkdir(exist_ok=True)
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['KINGCUPTRESTLE_NODE_FILE'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['TMPDIR'] = str(self.folder)
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            ['python3', 'platform/launch.py', role],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()

    def log_of(self, name):
        return (self.folder / f'{name}.log').read_text(
            encoding='utf-8', errors='replace'
        )

    def send_signal(self, name, number):
        self.record.note(f'{signal.Signals(number).name} to {name}')
        self.processes[name].send_signal(number)

    async def publish(self, document, host='core-1', limit_s=30):
        """Send a manifest until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answer = await self.operator('PUT', host, body)
            if answer.status == 200:
                self.record.note(
                    f'manifest {document["version"]} acknowledged by {host}'
                )
                return answer
            if 400 <= answer.status < 500:
                return answer
            await asyncio.sleep(0.3)
        raise CannotRun('the manifest was not acknowledged')

    async def operator(self, method, host, body=b'', path='/config'):
        channel = Channel(self.control(host))
        try:
            await channel.open()
            return await asyncio.wait_for(
                channel.call(method, path, 'op', 'control', 1000, {}, body), 3
            )
        except (OSError, asyncio.TimeoutError):
            return Answer(0, {}, b'', False, True)
        finally:
            channel.close()

    async def wait_ready(self, name, limit_s=25):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            channel = Channel(f'{self.ip(name)}:{self.port + 8}')
            try:
                await channel.open()
                answer = await asyncio.wait_for(
                    channel.call('GET', '/ready', 'x', 'ready', 1000), 2
                )
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                channel.close()
            await asyncio.sleep(0.1)
        raise CannotRun(f'{name} is not ready')

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.keeper.close()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, routes, services, **limits):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            **limits,
        },
    }


def route(
    name,
    kind,
    service,
    timeout_ms,
    target_ms,
    attempts=1,
    resumable=False,
    host='shop.example',
    **more,
):
    return {
        'name': name,
        'host': host,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': target_ms,
        'priority': 2,
        'service': service,
        'maxAttempts': attempts,
        'sticky': kind == 'stream',
        'resumable': resumable,
        'targetGapMs': 250 if kind == 'stream' else 0,
        **more,
    }


PLAIN = {
    'name': 'desk',
    'healthPath': '/health',
    'maxConns': 96,
    'protocol': 'h1',
    'tls': False,
}
LLM = {
    'name': 'llm',
    'healthPath': '/health',
    'maxConns': 360,
    'protocol': 'h1',
    'tls': False,
    'engine': {
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
    },
}


def prompt(prompt_tokens=1460, output=8, shared='5c1e07a2:350'):
    own = '%08x' % random.randrange(16**8)
    rest = prompt_tokens - int(shared.partition(':')[2])
    return {
        P + 'Model': 'm',
        P + 'Token-Counts': f'{prompt_tokens},{output}',
        P + 'Prefix-Hash': f'{shared},{own}:{rest}',
    }


def rss_mb(pid):
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def run_case(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    # Ended from outside, a script still ends what it started.
    signal.signal(
        signal.SIGTERM, lambda *_: (_ for _ in ()).throw(SystemExit(2))
    )
    record = Record(folder)
    deployment = Deployment(record)
    status = 2
    try:
        status = asyncio.run(asyncio.wait_for(case(deployment, record), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.note(f'could not run: {type(error).__name__} {error}')
    finally:
        deployment.end()
        record.note(f'status {status}')
        record.write()
    raise SystemExit(status)


def _reserve_net():
    for net in random.sample(range(10, 250), 200):
        keeper = socket.socket()
        try:
            keeper.bind((f'127.{net}.8.1', 9464))
        except OSError:
            keeper.close()
            continue
        return net, keeper
    raise CannotRun('no loopback network is free')


def _free_ports():
    with socket.socket() as probe:
        probe.bind(('0.0.0.0', 0))
        return min(probe.getsockname()[1], 65500)
