"""The faults of a system soak, each drawn from the run's seed."""

from collections import Counter
from collections.abc import Callable
from functools import partial
from json import dumps, loads
from pathlib import Path
from random import Random
from shutil import copytree, rmtree
from typing import Final

from gevent import sleep

from testbed.calls import http_call
from testbed.cluster import HOST_LIST, Cluster
from testbed.firms import MEDENA_SET
from testbed.processes import poll_until

LINK_MODES: Final = ('cut', 'drop', 'hold', 'delay')
READY_SECONDS: Final = 90.0


class Faults:
    """Draws faults, and heals what they left."""

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self.cluster = cluster
        self.random = random
        self.done: Counter[str] = Counter()
        # Versions whose publication was answered as accepted.
        self.accepted = [1]
        # Grows with each publication, so that no two sets are equal.
        self.deadline_ms = 60_000

    def one(self) -> None:
        """Draw a fault, let it last, and end it."""
        name = self.random.choice(list(FAULTS))
        FAULTS[name](self)
        self.done[name] += 1
        sleep(self.random.uniform(0.2, 1.5))

    def heal(self) -> None:
        """Restore every host and wait until all is ready."""
        for endpoint in self.cluster.layout.endpoints:
            self.list_host(endpoint.host, 'live')
        hosts = [
            *self.cluster.control_hosts,
            *self.cluster.entry_hosts,
            *(endpoint.host for endpoint in self.cluster.layout.endpoints),
        ]
        for host in hosts:
            poll_until(
                partial(self.cluster.ready, host),
                READY_SECONDS,
                f'{host} ready',
            )

    def any_host(self) -> str:
        """Return a host of any role."""
        endpoints = [one.host for one in self.cluster.layout.endpoints]
        hosts = [*self.cluster.control_hosts, *self.cluster.entry_hosts]
        return self.random.choice([*hosts, *endpoints])

    def kill(self) -> None:
        """Kill a process of the system and start it again."""
        self.restart_killed(self.any_host())

    def kill_backend(self) -> None:
        """Kill an engine or a service and start it again."""
        endpoint = self.random.choice(self.cluster.layout.endpoints)
        self.restart_killed(endpoint.backend)

    def kill_two(self) -> None:
        """Kill two processes at once, at most one of control."""
        first = self.random.choice(self.cluster.control_hosts)
        second = self.any_host()
        if second in self.cluster.control_hosts:
            second = 'entry-1'
        for host in (first, second):
            self.cluster.process(host).kill()
        sleep(self.random.uniform(0, 1))
        for host in (first, second):
            self.restart(host)

    def restart_killed(self, name: str) -> None:
        """Kill one process and start it again after a while."""
        self.cluster.process(name).kill()
        sleep(self.random.uniform(0, 1))
        self.restart(name)

    def restart(self, name: str) -> None:
        """Start an ended process again."""
        self.cluster.processes.restart(name)
        self.cluster.process(name).read_address()

    def pause(self) -> None:
        """Pause a process for longer or shorter than every lease."""
        process = self.cluster.process(self.any_host())
        process.pause()
        sleep(self.random.choice((0.3, 1, 4)))
        process.resume()

    def break_link(self) -> None:
        """Break a link for a while."""
        link = self.random.choice(self.cluster.layout.links)
        self.cluster.set_link(link, self.random.choice(LINK_MODES), seconds=0.5)
        sleep(self.random.choice((0.3, 1, 4)))
        self.cluster.set_link(link, 'pass')

    def publish(self) -> None:
        """Publish another version of the set."""
        self.deadline_ms += 1
        folder = self.cluster.folder / f'set-{self.deadline_ms}'
        copytree(MEDENA_SET, folder)
        path = folder / 'routes.json'
        routes = loads(path.read_text(encoding='utf-8'))
        routes['routes']['certificate-grades']['deadline_ms'] = self.deadline_ms
        path.write_text(dumps(routes), encoding='utf-8')
        self.change_model(folder)
        published = self.cluster.operate('publish', str(folder), '--json')
        if published.returncode == 0:
            self.accepted.append(loads(published.stdout)['version'])

    def change_model(self, folder: Path) -> None:
        """Name another model version, so that engines get orders."""
        path = folder / 'pools.json'
        pools = loads(path.read_text(encoding='utf-8'))
        for pool in pools['pools'].values():
            pool['version'] = str(self.random.randint(1, 3))
        path.write_text(dumps(pools), encoding='utf-8')

    def withdraw(self) -> None:
        """Let the platform list a host as leaving for a while."""
        host = self.random.choice(self.cluster.layout.endpoints).host
        self.list_host(host, 'leaving')
        sleep(self.random.uniform(1, 3))
        self.list_host(host, 'live')

    def list_host(self, host: str, state: str) -> None:
        """Change a host's state in the platform's list."""
        address = self.cluster.process(HOST_LIST).address
        http_call(address, 'POST', f'/hosts/{host}', {'state': state})

    def lose_disk(self) -> None:
        """Replace a control host's disk by an empty one, when it is safe."""
        shown = self.cluster.operate('members', '--json')
        safe = shown.returncode == 0 and '"second_loss_safe": true' in (
            shown.stdout
        )
        if not safe:
            return
        host = self.random.choice(self.cluster.control_hosts)
        self.cluster.process(host).kill()
        rmtree(self.cluster.folder / f'{host}.data')
        self.restart(host)


FAULTS: Final[dict[str, Callable[[Faults], None]]] = {
    'kill': Faults.kill,
    'kill-backend': Faults.kill_backend,
    'kill-two': Faults.kill_two,
    'pause': Faults.pause,
    'break-link': Faults.break_link,
    'publish': Faults.publish,
    'publish-again': Faults.publish,
    'withdraw': Faults.withdraw,
    'lose-disk': Faults.lose_disk,
}
