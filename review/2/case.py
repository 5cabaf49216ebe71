# flake8: noqa
"""A leader that was frozen while it gave orders goes on with them.

It takes the generation number of the leader that replaced it.
"""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'stand_ins'))

from fleet import TROUBLE, manifest, publish, run_case  # noqa: E402
from replicas import Provider, Replica  # noqa: E402

CORES = [f'core-{n}' for n in range(1, 6)]
ENGINES = 9
FREEZE_S = 4.5
THAW_S = 0.3


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    for number in range(1, ENGINES + 1):
        replica = Replica(
            record,
            f'i-{number}',
            'llm',
            fleet.replica_address(number),
            'z1',
            'decode',
        )
        await replica.start()
        provider.replicas.append(replica)
    desk = Replica(
        record, 'd-1', 'desk', fleet.replica_address(99), 'z1', slots=6
    )
    await desk.start()
    provider.replicas.append(desk)

    first_late = asyncio.Event()
    holder = []
    turn = itertools.count()

    def late_order(order):
        """Leave every second order unanswered; carry it out 8 s later."""
        if next(turn) % 2:
            return None
        if not holder:
            holder.append(order['holder'])
            first_late.set()
        return 8.0

    if TROUBLE:
        for replica in provider.replicas:
            replica.late_order = late_order
    for node in CORES:
        fleet.start(node)
    if not await publish(fleet, manifest(1), CORES):
        return 2
    thawed_at = None
    if TROUBLE:
        try:
            await asyncio.wait_for(first_late.wait(), 30)
        except asyncio.TimeoutError:
            return 2
        record.write('freeze', holder[0])
        fleet.signal(holder[0], signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        thawed_at = time.monotonic()
        fleet.signal(holder[0], signal.SIGCONT)
        record.write('thaw', holder[0])
        await asyncio.sleep(25)
    else:
        await asyncio.sleep(20)
    return judge(record, provider.replicas, holder, thawed_at)


def judge(record, replicas, holder, thawed_at):
    """Return 1 if two holders used one generation number at a replica."""
    orders = 0
    broken = False
    for replica in replicas:
        by_fence = {}
        for order in replica.orders:
            orders += 1
            if thawed_at and order['holder'] == holder[0]:
                if 0 <= order['at'] - thawed_at <= THAW_S:
                    continue
            by_fence.setdefault(order['fence'], set()).add(order['holder'])
        for fence, holders in by_fence.items():
            if len(holders) > 1:
                broken = True
                record.write(
                    'BROKEN: ONE:',
                    replica.instance,
                    'got generation',
                    fence,
                    'from',
                    ', '.join(sorted(holders)),
                )
    if not orders:
        record.write('no order was given')
        return 2
    record.write(
        'ONE is broken' if broken else 'ONE holds', f'({orders} orders)'
    )
    return int(broken)


sys.exit(run_case(HERE, run))
