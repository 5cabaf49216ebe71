# flake8: noqa
"""The leader freezes while it orders roles, and goes on as a follower."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'stand_ins'))
from fleet import TROUBLE, manifest, publish, run_case
from replicas import Provider, Replica

CORE = [f'core-{number}' for number in range(1, 6)]
ENGINES = 9
FREEZE_S = 3.5
THAW_S = 0.3
# Orders without an answer: 2 of 6, which is under the share of 0.35. They are
# carried out 2 to 12 s later.
UNANSWERED = 2
LATE_S = 8.0


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    engines = []
    state = {'unanswered': 0, 'thawed_at': 0.0, 'frozen': ''}

    async def freeze(holder):
        await asyncio.sleep(0.2)
        state['frozen'] = holder
        fleet.signal(holder, signal.SIGSTOP)
        record.write(holder, 'freezes')
        await asyncio.sleep(FREEZE_S)
        fleet.signal(holder, signal.SIGCONT)
        state['thawed_at'] = time.monotonic()
        record.write(holder, 'wakes')

    def late_order(order):
        if not TROUBLE or state['unanswered'] >= UNANSWERED:
            return None
        if state['unanswered'] and order['holder'] != state['frozen']:
            return None
        state['unanswered'] += 1
        if state['unanswered'] == 1:
            asyncio.get_running_loop().create_task(freeze(order['holder']))
        return LATE_S

    for number in range(1, ENGINES + 1):
        engine = Replica(
            record,
            f'i-llm-{number}',
            'llm',
            fleet.replica_address(number),
            f'z{number % 3 + 1}',
            stage='decode',
        )
        engine.late_order = late_order
        await engine.start()
        engines.append(engine)
    for node in [*CORE, 'entry-1']:
        fleet.start(node)
    if not await publish(fleet, manifest(3), CORE):
        return 2
    provider.replicas.extend(engines)
    record.write('the list shows', ENGINES, 'engines, all of them decode')
    await asyncio.sleep(20)
    if not any(engine.orders for engine in engines):
        record.write('no order was sent')
        return 2
    broken = False
    for engine in engines:
        holders = {}
        for order in engine.orders:
            is_excused = (
                order['holder'] == state['frozen']
                and 0 <= order['at'] - state['thawed_at'] <= THAW_S
            )
            if not is_excused:
                holders.setdefault(order['fence'], set()).add(order['holder'])
        for fence, names in holders.items():
            if len(names) > 1:
                broken = True
                record.write(
                    engine.instance,
                    'got the generation number',
                    fence,
                    'from',
                    *sorted(names),
                )
    return 1 if broken else 0


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
