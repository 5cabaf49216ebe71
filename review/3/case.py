# flake8: noqa
"""Streams whose first try was declined are taken up at another version."""

import asyncio
import random
import re
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'stand_ins'))
from fleet import TROUBLE, manifest, publish, run_case
from replicas import Provider, Replica

CORE = [f'core-{number}' for number in range(1, 6)]
EVENTS = 26
GAP_S = 0.15
# The share of its requests that a grey replica declines.
SHED = 0.45
CRASH_S = 3.3
BURSTS = 90
PAUSE_S = 0.034
LATER_S = 0.006
ROUNDS = 3


def tokens_of(request):
    return int(request.own('token-counts').partition(',')[0])


async def serve_stream(engine, request, _reader, writer):
    """Send events from the one behind `Last-Event-Id` on."""
    if not request.target.startswith('/review/'):
        return None
    if request.own('serving-stage') == 'prefill' or engine.stage != 'decode':
        writer.write(engine._declined(request, 421))
        return True
    if engine.is_grey and engine.luck.random() < SHED:
        engine.shed += 1
        writer.write(engine._declined(request, 503))
        return True
    engine.note_run(request)
    lines = [
        'HTTP/1.1 200 OK',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        f'Kingcuptrestle-Server-Seal: {engine.instance}.seal',
        f'Kingcuptrestle-Request-Id: {request.own("request-id")}',
    ]
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
    first = int(request.headers.get('last-event-id', 0)) + 1
    last = 2 if tokens_of(request) > 10_000 else EVENTS
    for number in range(first, last + 1):
        event = f'id: {number}\ndata: {engine.software}\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
        if last > 2:
            await asyncio.sleep(GAP_S)
    writer.write(b'0\r\n\r\n')
    return True


class Stream:
    """A requester's stream over its tries."""

    def __init__(self, number, shared=None):
        self.number = number
        self.shared = shared or (0x5000 + number, 350)
        self.events = []
        self.first_id = ''
        self.is_whole = False
        self.tries = 0
        self.status = 0

    async def attempt(self, address, most=EVENTS):
        """Ask once; return when the answer ends or breaks off."""
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.tries += 1
        name = f's{self.number:03d}-{self.tries}'
        lines = [
            'POST /review/lot HTTP/1.1',
            'Host: firm.example',
            f'Kingcuptrestle-Request-Id: {name}',
            'Kingcuptrestle-Deadline-Ms: 5000',
            'Kingcuptrestle-Model: m',
            f'Kingcuptrestle-Token-Counts: {self.shared[1] + 250},30',
            'Kingcuptrestle-Prefix-Hash: '
            f'{self.shared[0]:x}:{self.shared[1]},{0xA000 + self.number:x}:250',
            'Content-Length: 2',
        ]
        if self.events:
            lines.append(f'Last-Event-Id: {self.events[-1][0]}')
            lines.append(f'Resumes: {self.first_id}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n{}')
        received = b''
        try:
            while not received.endswith(b'0\r\n\r\n') and received.count(
                b'id: '
            ) < most + (most == EVENTS):
                more = await reader.read(65536)
                if not more:
                    break
                received += more
                if b'content-length' in received.lower() and b'{' in received:
                    break
        except OSError:
            pass
        finally:
            writer.close()
        self.status = int(received.split(b' ')[1]) if received else 0
        if self.status != 200:
            return
        for number, software in re.findall(
            rb'id: (\d+)\ndata: (\w+)\n\n', received
        ):
            if not self.events:
                self.first_id = name
            self.events.append((int(number), software.decode()))
        self.is_whole = received.endswith(b'0\r\n\r\n')


async def play_round(record, fleet, old, new, streams, entry, other):
    """Crash the engine of v1, send streams, and kill their entry."""
    # A shared part that the engine of v2 has read, and knows.
    warm = None
    for number in range(30):
        part = (0x70000 + 256 * len(streams) + number, 13000)
        stream = Stream(9000 + len(streams) + number, part)
        await stream.attempt(fleet.front(entry), 2)
        if stream.events and stream.events[0][1] == 'v2':
            warm = stream.shared
            break
    if warm is None:
        record.write('no part is warm')
        return False
    if TROUBLE:
        old.stop()
        new.is_grey = True
        record.write('i-llm-1 (v1) crashes; i-llm-2 (v2) declines', SHED)
    crashed = time.monotonic()

    async def require(stream):
        await stream.attempt(fleet.front(entry))
        if not stream.is_whole and stream.events:
            # One more try, as the sheet has it.
            await asyncio.sleep(0.1)
            await stream.attempt(fleet.front(other))

    tasks = []
    begun = time.monotonic()
    for burst in range(BURSTS):
        await asyncio.sleep(max(0, begun + burst * PAUSE_S - time.monotonic()))
        for shared in (warm, warm, warm, None):
            if shared is None:
                await asyncio.sleep(LATER_S)
            stream = Stream(len(streams), shared)
            streams.append(stream)
            tasks.append(asyncio.create_task(require(stream)))
    await asyncio.sleep(max(0, crashed + CRASH_S - time.monotonic()))
    if TROUBLE:
        await old.start()
        new.is_grey = False
        record.write('i-llm-1 is back, under its id')
        await asyncio.sleep(0.1)
        fleet.signal(entry, signal.SIGKILL)
        record.write(entry, 'is killed')
    await asyncio.gather(*tasks)
    if TROUBLE:
        fleet.start(entry, bootstrap=False)
        record.write(entry, 'is restarted')
        await asyncio.sleep(5)
    return True


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    engines = []
    for number, software in ((1, 'v1'), (2, 'v2')):
        engine = Replica(
            record,
            f'i-llm-{number}',
            'llm',
            fleet.replica_address(number),
            'z1',
            stage='decode',
        )
        engine.software = software
        engine.fault = serve_stream
        engine.is_grey = False
        engine.shed = 0
        engine.luck = random.Random(number)
        await engine.start()
        engines.append(engine)
    provider.replicas.extend(engines)
    for node in [*CORE, 'entry-1', 'entry-2']:
        fleet.start(node)
    if not await publish(fleet, manifest(3), CORE):
        return 2
    await asyncio.sleep(5)
    old, new = engines
    streams = []
    for number in range(ROUNDS):
        entries = ['entry-1', 'entry-2']
        if number % 2:
            entries.reverse()
        played = await play_round(record, fleet, old, new, streams, *entries)
        if not played:
            return 2
    mixed = [
        stream
        for stream in streams
        if len({software for _, software in stream.events}) > 1
    ]
    record.write('declined:', new.shed)
    record.write(
        len(streams),
        'streams,',
        sum(stream.tries > 1 for stream in streams),
        'taken up,',
        sum(stream.is_whole for stream in streams),
        'whole',
    )
    for stream in mixed[:8]:
        parts = [software for _, software in stream.events]
        record.write(
            f's{stream.number:03d}',
            'holds',
            parts.count('v1'),
            'events of v1 and',
            parts.count('v2'),
            'of v2, the first of',
            parts[0],
        )
    record.write('streams with events of two versions:', len(mixed))
    if not any(stream.is_whole for stream in streams):
        return 2
    return 1 if len(mixed) > 2 else 0


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
