# flake8: noqa
"""A dark voter goes in the place of one that is gone, and two lost disks then end the group."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from rig import *  # noqa: E402,F403

DARK, GONE, NEW = 'core-4', 'core-5', 'core-6'
WIPED = ('core-1', 'core-2')
# Seconds from the start of the disruption.
GONE_AT, NEW_AT, WIPE_AT, BACK_AT = 0.5, 1.5, 6.2, 7.0
RECOVERY_S = 12
WAIT_S = 40


async def case(d, rec):
    await d.start_platform()
    await d.add(Server(d, 'i-desk0', 'desk', 'z-a'))
    for n in range(1, 6):
        d.start(f'core-{n}')
    routes = [route('look', 'safe', 'desk', 600, 100, attempts=2)]
    await d.publish(manifest(7, routes, [PLAIN]))
    await asyncio.sleep(6)
    began = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

    if TROUBLE:
        kill(d, rec, DARK, 'loses power, its disk stays')
    await at(GONE_AT)
    kill(d, rec, GONE, 'is gone for good')
    await at(NEW_AT)
    d.start(NEW, bootstrap=False)
    rec.note(f'{NEW} starts empty, at another address')
    await at(WIPE_AT - 0.4)
    acked = 7
    answer = await d.operator(
        'PUT', 'core-3', json.dumps(manifest(9, routes, [PLAIN])).encode()
    )
    rec.note(f'PUT of manifest 9 at core-3: {answer.status}')
    if answer.status == 200:
        acked = 9
    await at(WIPE_AT)
    for name in WIPED:
        kill(d, rec, name, 'loses its disk')
        shutil.rmtree(d.folder / f'{name}.data')
    await at(BACK_AT)
    for name in (*WIPED, *((DARK,) if TROUBLE else ())):
        d.start(name, bootstrap=False)
        rec.note(f'{name} is back')
    back = time.monotonic()
    while time.monotonic() < back + WAIT_S:
        await asyncio.sleep(1)
        versions = {}
        for name in ('core-1', 'core-2', 'core-3', DARK, NEW):
            answer = await d.operator('GET', name)
            versions[name] = (
                json.loads(answer.body)['version']
                if answer.status == 200
                else answer.status
            )
        seconds = time.monotonic() - back
        rec.note(f'{seconds:.0f} s after all are back, GET /config: {versions}')
        if seconds > RECOVERY_S and all(
            version == acked for version in versions.values()
        ):
            return 0
    answer = await d.operator(
        'PUT', 'core-3', json.dumps(manifest(11, routes, [PLAIN])).encode()
    )
    rec.note(f'PUT of manifest 11 at core-3: {answer.status}')
    for name in ('core-1', 'core-2', 'core-3', DARK, NEW):
        for line in d.log_of(name).splitlines():
            if 'Proposing the members' in line:
                rec.note(f'{name}: {json.loads(line)["text"]}')
    return 1


def kill(d, rec, name, what):
    rec.note(f'{name} {what} (SIGKILL)')
    d.processes[name].kill()
    d.processes[name].wait()


run_case(HERE, case)
