"""The running control group whose slopes are measured, and its calls."""

from time import monotonic
from typing import Any, Final

from psutil import Process as SystemProcess

from testbed.cluster import Cluster
from testbed.processes import Process
from trestle_core.digests import canonical_json, content_digest
from trestle_core.metrics import Metrics
from trestle_links.control_calls import ControlCaller
from trestle_links.fleet_messages import PublishReply, PublishSet
from trestle_links.handshake import read_key
from trestle_links.link import Identity

# Longest wait for the reply to one command.
TIMEOUT_SECONDS: Final = 10.0


def cpu_seconds(process: Process) -> float:
    """Return the processor seconds that a process has used."""
    times = SystemProcess(process.popen.pid).cpu_times()
    return float(times.user + times.system)


def resident_bytes(process: Process) -> int:
    """Return the resident memory of a process."""
    return int(SystemProcess(process.popen.pid).memory_info().rss)


class Bench:
    """One running control group and its calls."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        key = read_key(str(cluster.key_file))
        self.me = Identity('capacity', key, Metrics())
        self.addresses = [
            f'@{cluster.address_file(host)}' for host in cluster.control_hosts
        ]
        self.caller = ControlCaller(self.addresses, self.me)
        self.version = 0

    def controls(self) -> list[Process]:
        """Return the control processes."""
        return [self.cluster.process(h) for h in self.cluster.control_hosts]

    def control_cpu(self) -> float:
        """Return the processor seconds of all control processes."""
        return sum(map(cpu_seconds, self.controls()))

    def publish(self, routes: int) -> float:
        """Publish the next version; return when it was accepted."""
        self.version += 1
        content = canonical_json(set_of(routes, self.version))
        command = PublishSet(
            self.version, content_digest(content), content, 'capacity'
        )
        reply = self.caller.call(command, PublishReply, TIMEOUT_SECONDS)
        assert reply.accepted, reply
        return monotonic()


def set_of(routes: int, version: int) -> dict[str, Any]:
    """Return a set of 18 pools and a number of routes."""
    pools = {
        f'model-{number}': {
            'model': f'model-{number}',
            'version': '1',
            'plan': 'plan',
        }
        for number in range(18)
    }
    named_routes = {
        f'route-{number}': {
            'kind': 'model',
            'pool': f'model-{number % 18}',
            'priority': 3,
            'deadline_ms': 30_000,
            'caller_concurrency': 64,
        }
        for number in range(routes)
    }
    named_routes['route-0']['deadline_ms'] = 30_000 + version
    return {'plans': {'plan': {}}, 'pools': pools, 'routes': named_routes}
