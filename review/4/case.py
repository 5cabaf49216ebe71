# flake8: noqa
"""A request in the body of another one runs, where the head has two lengths.

Also where a line of the head before the length is no header.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'stand_ins'))

from fleet import TROUBLE, http, manifest, publish, run_case  # noqa: E402
from replicas import Provider, Replica  # noqa: E402

CORES = [f'core-{n}' for n in range(1, 6)]
FRONT = 'front-1'
TIMES = 5


async def start_system(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    replica = Replica(
        record, 'd-1', 'desk', fleet.replica_address(1), 'z1', slots=6
    )
    await replica.start()
    provider.replicas.append(replica)
    for node in CORES:
        fleet.start(node)
    fleet.start(FRONT)
    if not await publish(fleet, manifest(1), CORES):
        return None
    for _ in range(100):
        await asyncio.sleep(0.1)
        try:
            status, _, _ = await http(fleet.ready(FRONT), 'GET', '/ready')
        except (OSError, asyncio.TimeoutError):
            continue
        if status == 200:
            await asyncio.sleep(2)
            return replica
    return None


def head(request_id):
    return [
        'POST /reserve/7 HTTP/1.1',
        'Host: firm.example',
        f'Kingcuptrestle-Request-Id: {request_id}',
        'Kingcuptrestle-Deadline-Ms: 600',
    ]


def inner(request_id):
    """A body that is itself a request."""
    lines = [
        'POST /reserve/8 HTTP/1.1',
        'Host: firm.example',
        f'Kingcuptrestle-Request-Id: {request_id}',
        'Content-Length: 0',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def lengths(kind, body):
    """Return the lines of the head that tell the length of the body."""
    length = f'Content-Length: {len(body)}'
    if not TROUBLE:
        return [length]
    return {
        'two lengths': ['Content-Length: 0', length],
        'a line that is no header': ['this line is no header', length],
    }[kind]


async def send(fleet, data):
    """Send bytes on a channel; return the statuses of the answers."""
    host, _, port = fleet.front(FRONT).rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    try:
        writer.write(data)
        while more := await asyncio.wait_for(reader.read(65536), 1.0):
            received += more
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    parts = received.split(b'HTTP/1.1 ')[1:]
    return [int(part[:3]) for part in parts]


async def run(record, fleet):
    replica = await start_system(record, fleet)
    if replica is None:
        return 2
    smuggled = []
    for kind in ('two lengths', 'a line that is no header'):
        for number in range(TIMES):
            outer_id = f'outer-{kind[:3]}-{number}'.replace(' ', '')
            inner_id = f'inner-{kind[:3]}-{number}'.replace(' ', '')
            body = inner(inner_id)
            lines = head(outer_id) + lengths(kind, body)
            data = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
            statuses = await send(fleet, data)
            record.write(kind, outer_id, 'answered', statuses)
            if inner_id in [entry[1] for entry in replica.ran]:
                smuggled.append(inner_id)
    if smuggled:
        record.write('BROKEN: UNASKED: ran from inside a body:', *smuggled)
        return 1
    record.write('UNASKED holds,', len(replica.ran), 'ran')
    return 0


sys.exit(run_case(HERE, run))
