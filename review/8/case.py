# flake8: noqa
"""A stream that goes on with comment lines without end, beside lookups."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from harness import (  # noqa: E402
    PREFIX,
    CannotRun,
    Cloud,
    Deployment,
    Replica,
    call,
    play,
    publish,
    request_id,
    wait_ready,
)

HOST = 'ficu95.example'
TIMEOUT_MS = 600
STREAM_TIMEOUT_MS = 6000
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
MANIFEST = {
    'version': 3,
    'routes': [
        {
            'name': 'stock-check',
            'host': HOST,
            'pathPrefix': '/stock/',
            'kind': 'safe',
            'timeoutMs': TIMEOUT_MS,
            'targetLatencyMs': 125,
            'priority': 2,
            'service': 'order-desk',
            'maxAttempts': 2,
            'sticky': False,
            'resumable': False,
        },
        {
            'name': 'quick-grade',
            'host': HOST,
            'pathPrefix': '/grade/',
            'kind': 'stream',
            'timeoutMs': STREAM_TIMEOUT_MS,
            'targetLatencyMs': 300,
            'priority': 0,
            'service': 'reader-llm',
            'maxAttempts': 1,
            'sticky': True,
            'resumable': False,
            'targetGapMs': 250,
        },
    ],
    'services': [
        {
            'name': 'order-desk',
            'healthPath': '/health',
            'maxConns': 96,
            'protocol': 'h1',
            'tls': False,
        },
        {
            'name': 'reader-llm',
            'healthPath': '/health',
            'maxConns': 360,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 64,
                'kvCapacity': 486646,
                'kvTokenBytes': 18432,
                'linkMbps': 190000.0,
                'stride': 13,
                'most': 12,
                'handleTtlS': 5.0,
                'roleSwitchS': 3.0,
                'models': [{'name': 'm'}],
            },
        },
    ],
    'limits': LIMITS,
}
ENGINES = (
    ('i-read1', 'prefill'),
    ('i-write1', 'decode'),
    ('i-write2', 'decode'),
)
LOOKUPS_PER_S = 20
STREAM_EVERY_S = 0.5
# Requesters abandon a stream after such a gap between events (PROTOCOL.md).
GAP_S = 2.0
QUIET_S = 5.0
LENGTH_S = 18.0


async def case(record, trouble):
    deployment = Deployment(record)
    try:
        return await run(record, trouble, deployment)
    finally:
        deployment.stop()


async def run(record, trouble, deployment):
    ip = f'127.{deployment.net}.3.1'
    cloud = Cloud()
    deployment.cloud = await cloud.start(ip)
    for number in (1, 2):
        replica = Replica(deployment, ip, f'i-desk{number}', 0.0225)
        deployment.replicas.append(replica)
        cloud.entries.append(replica.entry('order-desk', 6, number))
    engines = []
    for number, (instance, stage) in enumerate(ENGINES, start=10):
        replica = Replica(deployment, ip, instance, 0.02, stage)
        deployment.replicas.append(replica)
        engines.append(replica)
        cloud.entries.append(replica.entry('reader-llm', 64, number))
    deployment.start_all()
    killed = []
    guard = asyncio.create_task(
        deployment.guard_memory(lambda name, used: killed.append(name))
    )
    await publish(deployment, MANIFEST)
    await wait_ready(deployment)
    await asyncio.sleep(4.0)
    began = record.now()
    lookups = []
    streams = []
    front = deployment.address('front-1', 'front')

    async def lookup(number):
        sent_at = record.now()
        identity = request_id()
        answer = await call(
            front,
            'GET',
            f'/stock/{number}',
            {
                PREFIX + 'Request-Id': identity,
                PREFIX + 'Deadline-Ms': str(TIMEOUT_MS + 1000),
            },
            host=HOST,
            limit=(TIMEOUT_MS + 1000) / 1000,
        )
        took = record.now() - sent_at
        status = answer.status if answer else 0
        lookups.append((took, status))
        record.note(
            f'lookup {identity} sent at {sent_at:.3f}: '
            f'{status or "no answer"} after {took * 1000:.0f} ms'
        )

    async def stream(number):
        identity = request_id()
        sent_at = record.now()
        reader, writer = await asyncio.open_connection(*front)
        head = [
            f'POST /grade/{number} HTTP/1.1',
            f'Host: {HOST}',
            f'{PREFIX}Request-Id: {identity}',
            f'{PREFIX}Model: m',
            f'{PREFIX}Token-Counts: 1460,19',
            f'{PREFIX}Prefix-Hash: 5c1e07a2:350,{number:x}:1110',
            f'{PREFIX}Deadline-Ms: {STREAM_TIMEOUT_MS}',
            'Content-Length: 2',
            '',
            '{}',
        ]
        writer.write('\r\n'.join(head).encode())
        received = b''
        size = events = 0
        last_event = record.now()
        outcome = 'left after a gap between events'
        while record.now() - last_event < GAP_S:
            left = GAP_S - (record.now() - last_event)
            try:
                more = await asyncio.wait_for(
                    reader.read(65536), max(left, 0.01)
                )
            except asyncio.TimeoutError:
                continue
            except OSError:
                more = b''
            size += len(more)
            received = received[-20:] + more
            if not more or received.endswith(b'0\r\n\r\n'):
                outcome = 'complete' if more else 'closed'
                events += more.count(b'id: ')
                break
            if b'id: ' in more:
                events += more.count(b'id: ')
                last_event = record.now()
        writer.close()
        streams.append(outcome)
        record.note(
            f'stream {identity}: {outcome}, {events} events, {size} B in '
            f'{(record.now() - sent_at) * 1000:.0f} ms'
        )

    record.note(
        f'traffic starts: {LOOKUPS_PER_S} lookups a second, and streams'
    )
    tasks = []
    number = 0
    told = False
    stream_at = record.now()
    while record.now() - began < LENGTH_S:
        if trouble and not told and record.now() - began > QUIET_S:
            told = True
            for engine in engines[1:]:
                engine.tell('comments')
            record.note(
                'the decode engines are in trouble: the body of the next '
                'stream of each has no end'
            )
        number += 1
        tasks.append(asyncio.create_task(lookup(number)))
        if record.now() >= stream_at:
            stream_at += STREAM_EVERY_S
            tasks.append(asyncio.create_task(stream(number)))
        await asyncio.sleep(1 / LOOKUPS_PER_S)
    await asyncio.gather(*tasks)
    guard.cancel()
    # RULES.md, CONFIG, for the lookups alone.
    unanswered = [one for one in lookups if one[0] > TIMEOUT_MS / 1000]
    too_late = [
        one
        for one in unanswered
        if not one[1] or one[0] > TIMEOUT_MS / 1000 + 0.5
    ]
    good = sum(one[1] == 200 for one in lookups)
    record.note(
        f'{len(lookups)} lookups, {good} answered 200; {len(unanswered)} '
        f'unanswered at timeoutMs, of these {len(too_late)} half a second later'
    )
    record.note(
        f'{len(streams)} streams, {streams.count("complete")} complete; '
        f'peak memory, MB: {deployment.peak_mb}; killed: {killed}'
    )
    if good < len(lookups) / 10 or 'complete' not in streams:
        raise CannotRun('hardly any request was served')
    return len(unanswered) >= 4 and len(too_late) * 2 > len(unanswered)


if __name__ == '__main__':
    play(case, FOLDER)
