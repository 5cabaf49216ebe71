# flake8: noqa
"""A core machine is replaced; after `catchUpS`, two others lose their disks."""

import asyncio
import json
import re
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'stand_ins'))
from fleet import TROUBLE, http, manifest, publish, run_case
from replicas import Provider, Replica

CORE = [f'core-{number}' for number in range(1, 6)]
SUCCESSOR = 'core-6'
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# How long the manifest is asked for after the machines are back.
READ_S = 40.0


def leader_of(fleet, nodes):
    """Return the node whose log told last that it leads."""
    found = []
    for node in nodes:
        for term in re.findall(r'Term (\d+): leader', fleet.log_of(node)):
            found.append((int(term), node))
    return max(found)[1]


async def put(fleet, version, node):
    """Send a manifest to one node; return whether it was acknowledged."""
    try:
        status, _, _ = await http(
            fleet.control(node),
            'PUT',
            '/config',
            json.dumps(manifest(version)).encode(),
            {'Content-Type': 'application/json'},
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False
    return status == 200


async def read(fleet, nodes):
    """Ask each node once for the manifest; return the versions told."""

    async def ask(node):
        try:
            status, _, body = await http(fleet.control(node), 'GET', '/config')
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        return json.loads(body)['version'] if status == 200 else None

    return await asyncio.gather(*(ask(node) for node in nodes))


def restart_empty(fleet, node, seeds):
    """Start a process on an empty disk, as the provider does."""
    shutil.rmtree(fleet.folder / f'{node}.data', ignore_errors=True)
    fleet.start(
        node,
        bootstrap=False,
        seeds=[fleet.control(seed) for seed in seeds],
    )


async def run(record, fleet):
    provider = Provider(fleet.cloud)
    await provider.start()
    replica = Replica(
        record, 'i-desk', 'desk', fleet.replica_address(1), 'z1', slots=6
    )
    await replica.start()
    provider.replicas.append(replica)
    for node in [*CORE, 'entry-1']:
        fleet.start(node)
    if not await publish(fleet, manifest(3), CORE):
        return 2
    # The day begins some seconds after the start.
    await asyncio.sleep(6)
    nodes = list(CORE)
    if TROUBLE:
        gone = leader_of(fleet, nodes)
        record.write(gone, 'is removed for good')
        fleet.signal(gone, signal.SIGKILL)
        nodes.remove(gone)
        await asyncio.sleep(0.1)
        record.write(SUCCESSOR, 'is added, with an empty disk')
        restart_empty(fleet, SUCCESSOR, nodes[:3])
        nodes.append(SUCCESSOR)
    # A machine that is removed stops counting when its successor has run
    # for `catchUpS`.
    await asyncio.sleep(CATCH_UP_S + 0.2)
    acknowledged = None
    until = time.monotonic() + 5
    while acknowledged is None and time.monotonic() < until:
        for node in nodes[:4]:
            if await put(fleet, 7, node):
                acknowledged = node
                break
    if acknowledged is None:
        record.write('version 7 was not acknowledged')
        return 2
    record.write('version 7 is acknowledged by', acknowledged)
    if TROUBLE:
        other = next(node for node in nodes if node != acknowledged)
        lost = [acknowledged, other]
        for node in lost:
            fleet.signal(node, signal.SIGKILL)
        record.write('the final fault: lose their disks:', *lost)
        await asyncio.sleep(1)
        for node in lost:
            restart_empty(fleet, node, nodes[:3])
        record.write('all machines are back')
    back = time.monotonic()
    answers = 0
    while time.monotonic() < back + READ_S:
        versions = await read(fleet, nodes)
        told = [version for version in versions if version is not None]
        if told:
            record.write('read back:', dict(zip(nodes, versions)))
            answers += 1
            if answers == 3:
                break
        await asyncio.sleep(1)
        if int(time.monotonic() - back) % 5 == 0:
            record.write('GET /config at each node:', versions)
    accepted = [node for node in nodes if await put(fleet, 9, node)]
    record.write('version 9 is acknowledged by', accepted or 'nobody')
    for node in nodes:
        for line in fleet.log_of(node).splitlines():
            if 'Proposing the members' in line:
                last = json.loads(line)
                record.write(node, last['text'])
    if answers:
        return 0 if max(told) >= 7 else 1
    record.write(
        f'version 7, which was acknowledged, cannot be read {READ_S:.0f} s'
        ' after all machines are back'
    )
    return 1


sys.exit(run_case(str(Path(__file__).resolve().parent), run))
