# flake8: noqa
"""An entry that cannot be read stands in the provider's list."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(
    0, str(Path(__file__).resolve().parent.parent.parent / 'stand_ins')
)
from fleet import TROUBLE, http, manifest, publish, run_case
from replicas import Provider, Replica

CORE = [f'core-{number}' for number in range(1, 6)]
DRAIN_S = 3.0
# Requests a second; each takes 22.5 ms at its desk.
PER_S = 60
# Python's encoder writes this name as the escape \ud800, which is no character.
UNREADABLE = '\ud800'


async def reserve(fleet, record, number):
    """Send one reservation; return its status, 0 for a closed channel."""
    headers = {
        'Host': 'firm.example',
        'Kingcuptrestle-Request-Id': f'r{number:04d}',
        'Kingcuptrestle-Deadline-Ms': '600',
    }
    try:
        status, _, _ = await http(
            fleet.front('entry-1'),
            'POST',
            '/reserve/lot',
            b'{"lot":1}',
            headers,
            timeout=2.0,
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = 0
    return status


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    desks = []
    for number in (1, 2, 3, 4):
        desk = Replica(
            record,
            f'i-desk-{number}',
            'desk',
            fleet.replica_address(number),
            'z1',
            slots=6,
        )
        await desk.start()
        desks.append(desk)
    provider.replicas.extend(desks)
    for node in [*CORE, 'entry-1']:
        fleet.start(node)
    if not await publish(fleet, manifest(3), CORE):
        return 2
    await asyncio.sleep(3)

    async def replace(old, number):
        new = Replica(
            record,
            f'i-desk-{number}',
            'desk',
            fleet.replica_address(number),
            'z1',
            slots=6,
        )
        await new.start()
        provider.replicas.append(new)
        old.state = 'draining'
        record.write('the list shows', old.instance, 'as draining')

    async def leave(old):
        # It ends without regard for work that was sent to it so late.
        until = time.monotonic() + 1
        while not old.running and time.monotonic() < until:
            await asyncio.sleep(0.001)
        record.write(old.instance, 'leaves, at work on', *sorted(old.running))
        old.stop()
        provider.replicas.remove(old)

    if TROUBLE:
        foreign = Replica(
            record, UNREADABLE, 'desk', fleet.replica_address(9), 'z1'
        )
        provider.replicas.append(foreign)
        record.write('another writer adds an entry that cannot be read')
    answers = {}
    drained_at = {}
    sent = []
    begun = time.monotonic()

    async def ask(number):
        status = await reserve(fleet, record, number)
        answers.setdefault(status, []).append(f'r{number:04d}')

    for number in range(PER_S * 20):
        await asyncio.sleep(max(0, begun + number / PER_S - time.monotonic()))
        # One desk is replaced: the new one starts first, the old one drains
        # and leaves 9 s later.
        if number == 2 * PER_S:
            await replace(desks[0], 5)
            drained_at[0] = time.monotonic()
        if number == 11 * PER_S:
            sent.append(asyncio.create_task(leave(desks[0])))
        sent.append(asyncio.create_task(ask(number)))
    await asyncio.gather(*sent)
    late = [
        (request, desks[step].instance, at - since)
        for step, since in drained_at.items()
        for at, request, _, _ in desks[step].ran
        if at > since + DRAIN_S
    ]
    record.write({status: len(names) for status, names in answers.items()})
    lost = [
        name
        for status, names in answers.items()
        for name in names
        if status not in (200, 503)
    ]
    record.write('reservations lost:', len(lost), *lost)
    for request, instance, seconds in late[:5]:
        record.write(
            request,
            'reached',
            instance,
            f'{seconds:.2f} s after the list showed it as draining',
        )
    record.write(len(late), 'requests reached one later than', DRAIN_S, 's')
    if not any(desk.ran for desk in desks):
        return 2
    return 1 if late else 0


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
