# flake8: noqa
"""The time limit of a route falls below what some of its requests take.

The engines are sound. They send the head of an answer at once and its events
as they are made.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'stand_ins'))
from fleet import TROUBLE, manifest, publish, run_case
from replicas import Provider, Replica, answer

CORE = [f'core-{number}' for number in range(1, 6)]
ENGINES = 9
TIMEOUT_MS = 1500
# Tokens of a prompt that an engine reads in a second.
TOKENS_PER_S = 10_000
SHORT, LONG = 600, 20_000
EVENTS = 3


async def serve_stream(engine, request, _reader, writer):
    """Prefill, or send the head at once and the events as they are made."""
    if not request.target.startswith('/grade/'):
        return None
    own = {'Kingcuptrestle-Request-Id': request.own('request-id')}
    if request.own('serving-stage') == 'prefill':
        if engine.stage != 'prefill':
            writer.write(engine._declined(request, 421))
            return True
        await asyncio.sleep(0.05)
        engine.handles = getattr(engine, 'handles', 0) + 1
        handle = f'{engine.instance}-{engine.handles}'
        body = b'{"kvHandle":"%s","tokens":600,"version":1}' % handle.encode()
        writer.write(answer(200, own, body))
        return True
    if engine.stage != 'decode':
        writer.write(engine._declined(request, 421))
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
    await writer.drain()
    tokens = int(request.own('token-counts').partition(',')[0])
    await asyncio.sleep(tokens / TOKENS_PER_S)
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: token\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b'0\r\n\r\n')
    return True


class Channel:
    """A channel of a requester that is kept for many requests."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port
        )

    async def ask(self, method, path, request_id, headers):
        """Return the status and the whole answer; 0 for a closed channel."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: firm.example',
            f'Kingcuptrestle-Request-Id: {request_id}',
            *headers,
        ]
        body = b'' if method == 'GET' else b'{"question":1}'
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        received = b''
        while not is_whole(received):
            more = await self.reader.read(65536)
            if not more:
                break
            received += more
        status = int(received.split(b' ', 2)[1]) if received else 0
        return status, received


def is_whole(received):
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return False
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return False


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    engines = []
    for number in range(1, ENGINES + 1):
        engine = Replica(
            record,
            f'i-llm-{number}',
            'llm',
            fleet.replica_address(number),
            'z1',
            stage='prefill' if number <= 6 else 'decode',
        )
        engine.fault = serve_stream
        await engine.start()
        engines.append(engine)
    desk = Replica(
        record, 'i-desk-1', 'desk', fleet.replica_address(20), 'z1', slots=6
    )
    await desk.start()
    provider.replicas.extend([*engines, desk])
    for node in [*CORE, 'entry-1']:
        fleet.start(node)
    if not await publish(fleet, manifest(3), CORE):
        return 2
    await asyncio.sleep(6)
    if TROUBLE:
        document = manifest(7)
        for route in document['routes']:
            if route['name'] == 'grade':
                route['timeoutMs'] = TIMEOUT_MS
        record.write('timeoutMs of the route becomes', TIMEOUT_MS)
        if not await publish(fleet, document, CORE):
            return 2
    # Later than `configApplyMs` and `stableWindowMs`.
    await asyncio.sleep(4)
    outcomes = {}
    tasks = []

    async def question(number):
        channel = Channel(fleet.front('entry-1'))
        await channel.open()
        status, _ = await channel.ask(
            'GET',
            '/check/lot',
            f'c{number:04d}',
            ['Kingcuptrestle-Deadline-Ms: 2000'],
        )
        tokens = SHORT if number % 3 else LONG
        begun = time.monotonic()
        graded, received = await channel.ask(
            'POST',
            '/grade/lot',
            f'g{number:04d}',
            [
                'Kingcuptrestle-Deadline-Ms: 6000',
                'Kingcuptrestle-Model: m',
                f'Kingcuptrestle-Token-Counts: {tokens},30',
                f'Kingcuptrestle-Prefix-Hash: 5c1e07a2:350,{0xA000 + number:x}:{tokens - 350}',
            ],
        )
        outcome = graded if is_whole(received) else f'{graded} broken off'
        if not received:
            outcome = 'closed without an answer'
            record.write(
                f'g{number:04d}',
                'on a kept channel',
                f'(before: {status}):',
                outcome,
                f'after {time.monotonic() - begun:.2f} s',
            )
        outcomes.setdefault(outcome, []).append(number)
        channel.writer.close()

    begun = time.monotonic()
    for number in range(60):
        await asyncio.sleep(max(0, begun + number * 0.1 - time.monotonic()))
        tasks.append(asyncio.create_task(question(number)))
    await asyncio.gather(*tasks)
    for outcome, numbers in outcomes.items():
        record.write(outcome, len(numbers))
    if not any(isinstance(key, int) and key == 200 for key in outcomes):
        return 2
    return 1 if len(outcomes.get('closed without an answer', [])) > 3 else 0


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
