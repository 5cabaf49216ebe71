# flake8: noqa
"""A seed that loses its disk during the first start: the group never forms."""

import asyncio
import shutil
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / 'stand_ins'))

from fleet import TROUBLE, http, manifest, publish, run_case  # noqa: E402
from replicas import Provider, Replica  # noqa: E402

CORES = [f'core-{n}' for n in range(1, 6)]
FRONT = 'front-1'
VICTIM = 'core-2'
DOWN_S = 1.0
WAIT_S = 60.0


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    desk = Replica(
        record, 'd-1', 'desk', fleet.replica_address(1), 'z1', slots=6
    )
    await desk.start()
    provider.replicas.append(desk)
    # All start within 0.3 s of each other, in any order.
    for node in [*CORES[1:], FRONT]:
        fleet.start(node)
    await asyncio.sleep(0.29)
    fleet.start(CORES[0])
    record.write('started', *CORES, FRONT)
    if TROUBLE:
        until = time.monotonic() + 20
        while 'Data folder opened' not in fleet.log_of(VICTIM):
            if time.monotonic() > until:
                return 2
            await asyncio.sleep(0.005)
        fleet.signal(VICTIM, signal.SIGKILL)
        fleet.processes[VICTIM].wait()
        shutil.rmtree(fleet.folder / f'{VICTIM}.data')
        record.write('lost its disk:', VICTIM)
        if any('"Term 1: leader' in fleet.log_of(node) for node in CORES):
            record.write('the group had formed already')
            return 2
        await asyncio.sleep(DOWN_S)
        fleet.start(VICTIM, bootstrap=False)
        record.write('is back with an empty disk:', VICTIM)
    acknowledged = await publish(fleet, manifest(1), CORES, WAIT_S)
    record.write('version 1 acknowledged:', acknowledged)
    statuses = []
    for number in range(20):
        try:
            status, _, _ = await http(
                fleet.front(FRONT),
                'GET',
                f'/check/{number}',
                b'',
                {
                    'Host': 'firm.example',
                    'Kingcuptrestle-Request-Id': f'check-{number}',
                    'Kingcuptrestle-Deadline-Ms': '600',
                },
                2.0,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        statuses.append(status)
        await asyncio.sleep(0.3)
    record.write('answers to requests:', statuses)
    alive = [
        node
        for node, process in fleet.processes.items()
        if process.poll() is None
    ]
    record.write('running:', *alive)
    reads = {}
    for node in CORES:
        try:
            reads[node], _, _ = await http(
                fleet.control(node), 'GET', '/config'
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reads[node] = 0
    record.write('answers to GET /config:', reads)
    if 200 not in reads.values():
        record.write('BROKEN: CONFIG: read back, the manifest does not come')
        record.write('requests served:', len(desk.ran))
        return 1
    record.write('CONFIG holds; requests served:', len(desk.ran))
    return 0


sys.exit(run_case(HERE, run))
