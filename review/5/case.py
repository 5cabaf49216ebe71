# flake8: noqa
"""One seed is killed while the system starts for the first time."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'stand_ins'))
from fleet import TROUBLE, manifest, publish, run_case
from replicas import Provider, Replica

CORE = [f'core-{number}' for number in range(1, 6)]
VICTIM = os.environ.get('VICTIM', 'core-2')
KILL_S = float(os.environ.get('KILL_S', '0.3'))
WAIT_S = 60.0


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    desk = Replica(
        record, 'i-desk-1', 'desk', fleet.replica_address(1), 'z1', slots=6
    )
    await desk.start()
    provider.replicas.append(desk)
    for node in [*CORE, 'entry-1']:
        fleet.start(node)
    record.write('all machines start for the first time')
    if TROUBLE:
        await asyncio.sleep(KILL_S)
        fleet.signal(VICTIM, signal.SIGKILL)
        record.write(VICTIM, 'is killed')
        await asyncio.sleep(0.5)
        fleet.start(VICTIM, bootstrap=False)
        record.write(VICTIM, 'is restarted, with its disk')
    begun = time.monotonic()
    accepted = await publish(fleet, manifest(3), CORE, WAIT_S)
    record.write(
        'the first manifest is',
        f'acknowledged after {time.monotonic() - begun:.1f} s'
        if accepted
        else f'not acknowledged in {WAIT_S:.0f} s',
    )
    for node in CORE:
        lines = fleet.log_of(node).splitlines()
        record.write(node, 'led' if any(': leader,' in line for line in lines) else 'never led')
    return 0 if accepted else 1


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
