"""A firm's fleet under its workload and a fault: one run of the bench."""

from collections.abc import Callable, Mapping
from json import dumps, loads
from pathlib import Path
from sys import executable
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Final, NamedTuple

from gevent import Greenlet, sleep, spawn

from testbed.bench_figures import Figures, figures_of
from testbed.calls import closing_client, http_call
from testbed.cluster import HOST_LIST, Cluster, Endpoint, Layout, numbered
from testbed.firm_workloads import FIRMS, named_set
from testbed.firms import publish_when_ready
from testbed.processes import Processes, poll_until
from testbed.serving import JsonObject

CLIENTS: Final = 2
ENGINE: Final = 'engine'
SERVICE: Final = 'service'
ENGINE_OPTIONS: Final = (
    '--prefill-rate=20000',
    '--decode-ms=10',
    '--max-batch=32',
    '--cache-pieces=80',
    '--order-seconds=2',
)
START_DELAY_SECONDS: Final = 2.5
PUBLISH_LIMIT_SECONDS: Final = 30.0
WORKLOAD_GRACE_SECONDS: Final = 60
OUTAGE_SECONDS: Final = 4.0
SLOW_SECONDS: Final = 6.0
SLOW_FACTOR: Final = 5.0
STOPPED_REPORTS_LAG_SECONDS: Final = 600


class Run(NamedTuple):
    """What one run of the bench is made of."""

    firm: str
    routing: str
    role_policy: str
    fault: str
    seed: int
    seconds: float
    load: float

    @property
    def policy(self) -> str:
        """The name of the policies under test."""
        return f'{self.routing}/{self.role_policy}'


def layout_of(run: Run) -> Layout:
    """Return a firm's fleet with the run's policies."""
    firm = FIRMS[run.firm]
    zones = firm.zones
    options = list(ENGINE_OPTIONS)
    if run.fault == 'no-reports':
        options.append(f'--load-lag={STOPPED_REPORTS_LAG_SECONDS}')
    engines = [
        Endpoint(
            host,
            zones[number % len(zones)],
            firm.pool,
            (*options, f'--seed={run.seed * 100 + number}'),
        )
        for number, host in enumerate(numbered(ENGINE, firm.engines))
    ]
    services = [
        Endpoint(host, zones[number % len(zones)], firm.service, kind=SERVICE)
        for number, host in enumerate(numbered(SERVICE, firm.services))
    ]
    return Layout(
        zones,
        (*engines, *services),
        settings={
            'entry': {'routing': run.routing, 'log_level': 'WARNING'},
            'control': {
                'role_policy': run.role_policy,
                'log_level': 'WARNING',
            },
            'endpoint': {'log_level': 'WARNING'},
        },
    )


def publish(cluster: Cluster, content: JsonObject) -> None:
    """Publish a named set and wait until every process is ready."""
    folder = cluster.folder / 'set'
    folder.mkdir()
    (folder / 'set.json').write_text(dumps(content), encoding='utf-8')
    publish_when_ready(cluster, folder)


def leader_of(cluster: Cluster) -> str:
    """Return the control host that leads."""

    def leader() -> str:
        status = cluster.operate('status', '--json')
        if status.returncode:
            return ''
        return str(loads(status.stdout)['replica'].get('leader') or '')

    return poll_until(leader, PUBLISH_LIMIT_SECONDS, 'a leader')


def execute(run: Run) -> Figures:
    """Run a firm's workload once and return its figures."""
    with (
        TemporaryDirectory(prefix='trestle-bench-') as folder,
        Processes(Path(folder)) as processes,
    ):
        cluster = Cluster.from_config(processes, layout_of(run))
        publish(cluster, named_set(FIRMS[run.firm]))
        began = monotonic() + START_DELAY_SECONDS
        fault = spawn_fault(run, cluster, began)
        records = send_workload(run, cluster, began)
        fault.join()
        metrics = [read_metrics(cluster, host) for host in cluster.entry_hosts]
        engines = cluster_records(cluster, ENGINE)
        services = cluster_records(cluster, SERVICE)
        return figures_of(records, metrics, engines, services)


def cluster_records(cluster: Cluster, kind: str) -> list[JsonObject]:
    """Return what all fakes of a kind have recorded."""
    return [
        line
        for endpoint in cluster.layout.endpoints
        if endpoint.kind == kind
        for line in cluster.record(endpoint.host)
    ]


def send_workload(run: Run, cluster: Cluster, began: float) -> list[JsonObject]:
    """Run the workload's programs and return the records of all."""
    entries = [cluster.http_address(host) for host in cluster.entry_hosts]
    common = [executable, '-m', 'testbed.workload']
    common += [f'--entry={address}' for address in entries]
    common += [f'--firm={run.firm}', f'--seed={run.seed}']
    common += [f'--seconds={run.seconds}', f'--load={run.load}']
    common += [f'--start={began}', f'--clients={CLIENTS}']
    if run.fault == 'greedy':
        common.append('--greedy')
    clients = []
    for number in range(CLIENTS):
        name = f'client-{number}'
        records = cluster.folder / f'{name}.records'
        command = [*common, f'--client={number}', f'--records={records}']
        clients.append((cluster.processes.start(name, command), records))
    lines: list[str] = []
    for process, records in clients:
        status = process.wait(run.seconds * 2 + WORKLOAD_GRACE_SECONDS)
        assert status == 0, process.log_tail()
        lines += records.read_text(encoding='utf-8').splitlines()
    return [loads(line) for line in lines]


def read_metrics(cluster: Cluster, host: str) -> dict[str, float]:
    """Return the series of an entry's metrics page by name and label."""
    with closing_client(cluster.http_address(host), 10) as client:
        text = client.get('/metrics').read().decode()
    series = [line.rpartition(' ') for line in text.splitlines() if line]
    return {name: float(number) for name, _, number in series}


def crash_engine(cluster: Cluster) -> None:
    """Kill an engine and start it again."""
    name = f'{ENGINE}-2.{ENGINE}'
    cluster.process(name).kill()
    sleep(OUTAGE_SECONDS)
    cluster.processes.restart(name)


def withdraw_host(cluster: Cluster) -> None:
    """Let the platform list an engine's host as leaving."""
    address = cluster.process(HOST_LIST).address
    body = {'state': 'leaving'}
    http_call(address, 'POST', f'/hosts/{ENGINE}-3', body)


def pause_endpoint(cluster: Cluster) -> None:
    """Pause an endpoint process for seconds."""
    process = cluster.process(f'{ENGINE}-4')
    process.pause()
    sleep(OUTAGE_SECONDS)
    process.resume()


def slow_engines(cluster: Cluster) -> None:
    """Slow all engines at once for seconds."""
    for factor in (SLOW_FACTOR, 1):
        for endpoint in cluster.layout.endpoints:
            if endpoint.kind == ENGINE:
                address = cluster.process(endpoint.backend).address
                http_call(address, 'POST', '/fault', {'slow': factor})
        if factor > 1:
            sleep(SLOW_SECONDS)


def lose_leader(cluster: Cluster) -> None:
    """Kill the control leader and start it again."""
    host = leader_of(cluster)
    cluster.process(host).kill()
    sleep(OUTAGE_SECONDS)
    cluster.processes.restart(host)


def change_nothing(cluster: Cluster) -> None:
    """Leave the system as it is: the fault is in its layout or load."""


FAULTS: Final[Mapping[str, Callable[[Cluster], None]]] = {
    'none': change_nothing,
    'crash': crash_engine,
    'withdrawal': withdraw_host,
    'pause': pause_endpoint,
    'no-reports': change_nothing,
    'slow': slow_engines,
    'leader': lose_leader,
    'greedy': change_nothing,
}


def spawn_fault(
    run: Run, cluster: Cluster, began: float
) -> 'Greenlet[[], None]':
    """Let the run's fault happen a third into the run."""

    def happen() -> None:
        sleep(max(0, began + run.seconds / 3 - monotonic()))
        FAULTS[run.fault](cluster)

    return spawn(happen)
