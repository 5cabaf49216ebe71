# flake8: noqa
"""One answer whose chunked body never ends, beside sound traffic.

Usage: case.py; settings in the environment: TROUBLE=0 leaves the trouble out.
"""

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
TIMEOUT_MS = 2500
MANIFEST = {
    'version': 3,
    'routes': [
        {
            'name': 'stock-lookup',
            'host': HOST,
            'pathPrefix': '/stock/',
            'kind': 'safe',
            'timeoutMs': TIMEOUT_MS,
            'targetLatencyMs': 200,
            'priority': 2,
            'service': 'order-desk',
            'maxAttempts': 2,
            'sticky': False,
            'resumable': False,
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
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}
REPLICAS = 3
REQUESTS_PER_S = 20
QUIET_S = 5.0
LENGTH_S = 20.0
WORK_S = 0.045


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
    for number in range(1, REPLICAS + 1):
        replica = Replica(deployment, ip, f'i-desk{number}', WORK_S)
        deployment.replicas.append(replica)
        cloud.entries.append(replica.entry('order-desk', 6, number))
    deployment.start_all()
    killed = []
    guard = asyncio.create_task(
        deployment.guard_memory(lambda name, used: killed.append(name))
    )
    await publish(deployment, MANIFEST)
    await wait_ready(deployment)
    await asyncio.sleep(4.0)
    began = record.now()
    record.note(f'traffic starts: {REQUESTS_PER_S} requests a second')
    sent = []
    ready_misses = []

    async def request(number):
        sent_at = record.now()
        identity = request_id()
        answer = await call(
            deployment.address('front-1', 'front'),
            'GET',
            f'/stock/{number}',
            {
                PREFIX + 'Request-Id': identity,
                PREFIX + 'Deadline-Ms': str(TIMEOUT_MS + 1500),
            },
            host=HOST,
            limit=(TIMEOUT_MS + 1500) / 1000,
        )
        took = record.now() - sent_at
        status = answer.status if answer else 0
        sent.append((sent_at, took, status))
        record.note(
            f'request {identity} sent at {sent_at:.3f}: '
            f'{status or "no answer"} after {took * 1000:.0f} ms'
        )

    async def poll_ready():
        while True:
            answer = await call(
                deployment.address('front-1', 'ready'), 'GET', '/ready', limit=1
            )
            if not answer or answer.status != 200:
                ready_misses.append(record.now())
                record.note('front-1 does not answer GET /ready with 200')
            await asyncio.sleep(1)

    polling = asyncio.create_task(poll_ready())
    tasks = []
    number = 0
    told = False
    while record.now() - began < LENGTH_S:
        if trouble and not told and record.now() - began > QUIET_S:
            told = True
            deployment.replicas[0].tell('trailers')
            record.note(
                'i-desk1 is in trouble: the body of its next answer has no end'
            )
        number += 1
        tasks.append(asyncio.create_task(request(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    polling.cancel()
    guard.cancel()
    # RULES.md, CONFIG. The entry was in touch throughout: no disruption on
    # its machine, its links or the core.
    unanswered = [one for one in sent if one[1] > TIMEOUT_MS / 1000]
    too_late = [
        one
        for one in unanswered
        if not one[2] or one[1] > TIMEOUT_MS / 1000 + 0.5
    ]
    good = sum(one[2] == 200 for one in sent)
    record.note(
        f'{len(sent)} requests, {good} answered 200; {len(unanswered)} '
        f'unanswered at timeoutMs, of these {len(too_late)} half a second later'
    )
    record.note(f'peak memory, MB: {deployment.peak_mb}')
    record.note(
        f'killed for memory: {killed}; missed /ready: {len(ready_misses)}'
    )
    if good < len(sent) / 10:
        raise CannotRun('hardly any request was served')
    return len(unanswered) >= 4 and len(too_late) * 2 > len(unanswered)


if __name__ == '__main__':
    play(case, FOLDER)
