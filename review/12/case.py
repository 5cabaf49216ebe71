# flake8: noqa
"""A stream of a service without engines is cut in an event and passed on as complete."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from rig import *  # noqa: E402,F403

EVENTS = 6
SERVERS = 8
# Crashes, one at a time; a server is back after BACK_S, so no more than two of eight are down.
ROUNDS = 5
BACK_S = 2.0
PAUSE_S = 1.2


class Process:
    """A server that runs as a process; what the list says of it."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.boot = 0
        self.ran = asyncio.Queue()

    async def start(self):
        # Each start is a new boot, with a new id.
        self.boot += 1
        self.id = f'{self.name}-{self.boot}'
        self.born = int(time.time() * 1000)
        self.popen = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE.parent / 'lib-3' / 'stream_server.py'),
            self.id,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        told = json.loads(await self.popen.stdout.readline())
        self.addr = f'127.0.0.1:{told["port"]}'
        self.lines = asyncio.create_task(self._read())

    async def _read(self):
        while line := await self.popen.stdout.readline():
            self.ran.put_nowait(json.loads(line)['ran'])

    def entry(self):
        return {
            'id': self.id,
            'service': 'small',
            'addr': self.addr,
            'zone': self.zone,
            'version': 'v1',
            'state': 'ready',
            'slots': 6,
            'coldLeftMs': 0,
            'born': self.born,
        }

    async def end(self):
        if self.popen.returncode is None:
            self.popen.kill()
        await self.popen.wait()


async def case(d, rec):
    await d.start_platform()
    # The engines of the route's other service, as in the manifest of PROTOCOL.md.
    for n in range(2):
        await d.add(Engine(d, f'i-read{n}', 'z-a', 'prefill'))
        await d.add(Engine(d, f'i-write{n}', 'z-a', 'decode'))
    servers = []
    try:
        for n in range(SERVERS):
            server = Process(f'i-small{n}', 'z-a')
            servers.append(await d.add(server))
        for n in range(1, 6):
            d.start(f'core-{n}')
        d.start('front-1')
        small = {
            'name': 'small',
            'healthPath': '/health',
            'maxConns': 100,
            'protocol': 'h1',
            'tls': False,
        }
        split = {
            'trafficSplit': [
                {'service': 'llm', 'weight': 10},
                {'service': 'small', 'weight': 90},
            ]
        }
        grade = route('grade', 'stream', 'llm', 5000, 800)
        del grade['service']
        await d.publish(manifest(7, [{**grade, **split}], [LLM, small]))
        await d.wait_ready('front-1')
        await asyncio.sleep(3)
        return await calls(d, rec, servers)
    finally:
        for task in getattr(rec, 'back', []):
            task.cancel()
        for server in servers:
            await server.end()


async def calls(d, rec, servers):
    broken = served = crashes = 0
    rec.back = []
    for number in range(60):
        if crashes == ROUNDS or served == 20:
            break
        channel = Channel(d.front('front-1'))
        await channel.open()
        request_id = f'9c41d07be2a3{number:04x}'
        call = asyncio.create_task(
            channel.call(
                'POST',
                '/grade/2f',
                request_id,
                'shop.example',
                5000,
                prompt(),
                b'x' * 300,
            )
        )
        crashed = (
            await asyncio.create_task(crash(rec, servers, request_id))
            if TROUBLE
            else ''
        )
        answer = await call
        channel.close()
        events = answer.body.count(b'\n\n')
        ended = answer.body.endswith(b'\n\n') and events in (
            EVENTS,
            Engine.events,
        )
        rec.note(
            f'{request_id}: status {answer.status}, seal {answer.headers.get((P + "Server-Seal").lower())}, '
            f'framing {answer.headers.get("transfer-encoding") or answer.headers.get("content-length")}, '
            f'complete as framed {answer.whole}, {events} whole events, ends with {answer.body[-24:]!r}'
        )
        crashes += bool(crashed)
        if answer.status == 200 and answer.whole:
            if ended:
                served += 1
            else:
                broken += 1
        await asyncio.sleep(PAUSE_S if TROUBLE else 0.3)
    rec.note(
        f'{crashes} crashes, {served} whole streams, {broken} cut streams that look complete'
    )
    if not served + broken or (TROUBLE and not crashes):
        return 2
    return 1 if broken else 0


async def restart(server):
    await asyncio.sleep(BACK_S)
    await server.start()


async def crash(rec, servers, request_id):
    """Kill the server that runs the request in the middle of its third event."""
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        for server in servers:
            if server.popen.returncode is None and not server.ran.empty():
                server.ran.get_nowait()
                # Two and a half events of 60 ms.
                await asyncio.sleep(0.165)
                rec.note(f'SIGKILL to {server.name}, which runs {request_id}')
                await server.end()
                rec.back.append(asyncio.create_task(restart(server)))
                return server.name
        await asyncio.sleep(0.005)
    return ''


run_case(HERE, case)
