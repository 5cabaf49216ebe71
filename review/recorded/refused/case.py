# flake8: noqa
"""A replica runs a booking and fails it with 503, and the caller is told so.

The requester takes 503 for the promise that nothing ran, and sends again.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / 'stand_ins'))

from fleet import TROUBLE, http, manifest, publish, run_case  # noqa: E402
from replicas import Provider, Replica, answer  # noqa: E402

CORES = [f'core-{n}' for n in range(1, 6)]
FRONT = 'front-1'
BOOKINGS = 30
PROMISES = {408, 421, 429, 503}
FAILED_STATUS = 503


async def start_system(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    for number in range(1, 5):
        replica = Replica(
            record,
            f'd-{number}',
            'desk',
            fleet.replica_address(number),
            'z1',
            slots=6,
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
            # The list of replicas is read each 0.8 s.
            await asyncio.sleep(2)
            return provider.replicas
    return None


async def run(record, fleet):
    replicas = await start_system(record, fleet)
    if replicas is None:
        return 2
    taken = {'count': 0}

    async def grey(replica, request, reader, writer):
        """Fail two of five requests after their work, health good."""
        taken['count'] += 1
        if taken['count'] % 5 not in (1, 3):
            return None
        replica.note_run(request)
        await asyncio.sleep(0.02)
        headers = {
            'Kingcuptrestle-Request-Id': request.own('request-id'),
            'Kingcuptrestle-Server-Seal': f'{replica.instance}.seal',
        }
        writer.write(answer(FAILED_STATUS, headers, b'{"error":"failed"}'))
        return True

    if TROUBLE:
        for replica in replicas:
            replica.fault = grey
    answered = {}
    attempts = {}
    for booking in range(BOOKINGS):
        for attempt in (1, 2):
            name = f'booking-{booking}-{attempt}'
            status, _, _ = await http(
                fleet.front(FRONT),
                'POST',
                f'/reserve/{booking}',
                b'{"lot":%d}' % booking,
                {
                    'Host': 'firm.example',
                    'Kingcuptrestle-Request-Id': name,
                    'Kingcuptrestle-Deadline-Ms': '600',
                },
                timeout=2.0,
            )
            answered[name] = status
            attempts.setdefault(booking, []).append(name)
            record.write('answered', name, status)
            # An unsafe request is sent again only after a promise.
            if status not in PROMISES:
                break
            await asyncio.sleep(0.1)
    ran = [entry[1] for replica in replicas for entry in replica.ran]
    false = [
        name
        for name, status in answered.items()
        if status in PROMISES and name in ran
    ]
    twice = [
        booking
        for booking, names in attempts.items()
        if sum(ran.count(name) for name in names) > 1
    ]
    if false:
        record.write(
            'BROKEN: REFUSED:',
            len(false),
            'of',
            len(answered),
            'attempts ran and were answered',
            FAILED_STATUS,
        )
        record.write('bookings that ran twice:', len(twice), 'of', BOOKINGS)
        return 1
    record.write('REFUSED holds,', len(ran), 'ran')
    return 0


sys.exit(run_case(HERE, run))
