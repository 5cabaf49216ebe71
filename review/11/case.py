# flake8: noqa
"""A planned replacement of a core machine, and two disks that are lost just after its end."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from rig import *  # noqa: E402,F403

OLD, NEW = 'core-5', 'core-6'
WIPED = ('core-1', 'core-2')
RUNNING = ('core-1', 'core-2', 'core-3', 'core-4', NEW)
CATCH_UP_S = 4
GRACE_S = 8
# From the end of the old machine's process to the loss of the disks.
AFTER_S = float(os.environ.get('AFTER', 0.3))
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
    d.start(NEW, bootstrap=False)
    rec.note(f'{NEW} starts empty, at another address')
    await asyncio.sleep(CATCH_UP_S + 1)
    rec.note(f'{NEW} has run for catchUpS and one second more')
    d.send_signal(OLD, signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while d.processes[OLD].poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.01)
    if d.processes[OLD].poll() is None:
        d.send_signal(OLD, signal.SIGKILL)
    d.processes[OLD].wait()
    ended = time.monotonic()
    rec.note(f'{OLD} has ended; it does not come back')
    acked = 7
    answer = await d.operator(
        'PUT', 'core-3', json.dumps(manifest(9, routes, [PLAIN])).encode()
    )
    rec.note(f'PUT of manifest 9 at core-3: {answer.status}')
    if answer.status == 200:
        acked = 9
    if TROUBLE:
        await asyncio.sleep(max(0.0, ended + AFTER_S - time.monotonic()))
        for name in WIPED:
            d.processes[name].kill()
        for name in WIPED:
            d.processes[name].wait()
            shutil.rmtree(d.folder / f'{name}.data')
            rec.note(
                f'{name} loses its disk, {time.monotonic() - ended:.2f} s after that'
            )
        await asyncio.sleep(1)
        for name in WIPED:
            d.start(name, bootstrap=False)
            rec.note(f'{name} is back')
    back = time.monotonic()
    while time.monotonic() < back + WAIT_S:
        await asyncio.sleep(1)
        versions = {}
        for name in RUNNING:
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
    for name in RUNNING:
        for line in d.log_of(name).splitlines():
            if 'Proposing the members' in line:
                rec.note(f'{name}: {json.loads(line)["text"]}')
    return 1


run_case(HERE, case)
