"""Measures the slopes that docs/CAPACITY.md works from.

Runs real control processes on loopback with small stand-ins, several sizes
each, and fits a line. `spread` is the largest distance of a point from the
line as a share of the largest value. Prints a table and writes
bench/capacity.json.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable
from json import dumps, loads
from pathlib import Path
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, Final

from gevent import joinall, spawn

from testbed.capacity_bench import (
    TIMEOUT_SECONDS,
    Bench,
    cpu_seconds,
    resident_bytes,
)
from testbed.capacity_tables import measure_tables, message_sizes
from testbed.cluster import Cluster, Endpoint, Layout
from testbed.processes import ROOT, Process, Processes, poll_until
from testbed.slopes import Point, Slope, fit
from trestle_core.digests import content_digest
from trestle_core.verdict import Verdict
from trestle_links.claim_messages import (
    AttemptOpened,
    ClaimKey,
    ClaimReply,
    CommitClaim,
    OpenAttempt,
    Outcome,
    RecordOutcome,
)
from trestle_links.control_calls import ControlCaller
from trestle_links.link import LinkPool
from trestle_links.link_messages import Done
from trestle_links.permit_messages import (
    Permit,
    PermitAsk,
    PermitGrant,
    PermitReturn,
)

STREAM_COUNTS: Final = (60, 120, 240, 360)
WATCH_PROCESSES: Final = 4
CLAIM_COUNTS: Final = (1000, 2000, 4000)
CLAIM_CALLERS: Final = 32
PERMIT_COUNTS: Final = (1000, 2000, 4000)
WINDOW_SECONDS: Final = 8.0
LIMIT_SECONDS: Final = 60
ZONES: Final = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')
RESULT: Final = ROOT / 'bench' / 'capacity.json'


def start_watchers(bench: Bench, streams: int) -> list[Process]:
    """Start processes that hold the streams between them."""
    share = streams // WATCH_PROCESSES
    return [
        bench.cluster.processes.start_fake(
            f'watch-{streams}-{number}',
            'watch_load',
            f'--first={streams * 1000 + number * share}',
            f'--streams={share}',
            f'--key-file={bench.cluster.key_file}',
            f'--control={",".join(bench.addresses)}',
        )
        for number in range(WATCH_PROCESSES)
    ]


def reached_at(watchers: list[Process], version: int) -> float | None:
    """Return when the last stream held a version, None before that."""
    times: list[float] = []
    for watcher in watchers:
        if not watcher.address_file.exists():
            return None
        lines = map(loads, watcher.address_file.read_text().splitlines())
        found = [line['at'] for line in lines if line['version'] >= version]
        if not found:
            return None
        times.append(min(found))
    return max(times)


def measure_streams(bench: Bench) -> list[Slope]:
    """Measure what an idle stream costs both sides, and publications."""
    control_cpu: list[Point] = []
    control_rss: list[Point] = []
    node_cpu: list[Point] = []
    spread_seconds: list[Point] = []
    publish_cpu: list[Point] = []
    for streams in STREAM_COUNTS:
        watchers = start_watchers(bench, streams)
        wait_reached(watchers, bench.version)
        sleep(2)
        nodes = sum(map(cpu_seconds, watchers))
        control = bench.control_cpu()
        sleep(WINDOW_SECONDS)
        used = bench.control_cpu() - control
        control_cpu.append(Point(streams, used / WINDOW_SECONDS * 1e6))
        used = sum(map(cpu_seconds, watchers)) - nodes
        node_cpu.append(Point(streams, used / WINDOW_SECONDS * 1e6))
        rss = sum(map(resident_bytes, bench.controls()))
        control_rss.append(Point(streams, rss))
        before = bench.control_cpu()
        spread_seconds.append(Point(streams, publish_spread(bench, watchers)))
        used = bench.control_cpu() - before
        publish_cpu.append(Point(streams, used * 1e6))
        for watcher in watchers:
            watcher.terminate()
        for watcher in watchers:
            watcher.wait()
    return [
        fit('control CPU of an idle stream', 'us/s', control_cpu),
        fit('node CPU of its idle stream', 'us/s', node_cpu),
        fit('control memory of a stream', 'bytes', control_rss),
        fit('publication: time to the last stream', 's', spread_seconds),
        fit('publication: control CPU of a stream', 'us', publish_cpu),
    ]


def publish_spread(bench: Bench, watchers: list[Process]) -> float:
    """Publish and return the seconds until the last stream has it."""
    began = monotonic()
    bench.publish(370)
    return wait_reached(watchers, bench.version) - began


def wait_reached(watchers: list[Process], version: int) -> float:
    """Wait until every stream holds a version; return the last one's time."""

    def reached() -> float | None:
        return reached_at(watchers, version)

    found = poll_until(reached, LIMIT_SECONDS, f'version {version}')
    assert found is not None
    return found


def measure_claims(bench: Bench) -> list[Slope]:
    """Measure claims: three commands for each booking."""
    cpu: list[Point] = []
    rss: list[Point] = []
    log: list[Point] = []
    seconds: list[Point] = []
    done = 0
    for amount in CLAIM_COUNTS:
        before = bench.control_cpu()
        disk = log_bytes(bench)
        began = monotonic()
        run_claims(bench, done, amount)
        seconds.append(Point(amount, monotonic() - began))
        done += amount
        cpu.append(Point(amount, (bench.control_cpu() - before) * 1e6))
        log.append(Point(amount, log_bytes(bench) - disk))
        rss.append(Point(done, max(map(resident_bytes, bench.controls()))))
    return [
        fit('claim: CPU of all control hosts', 'us', cpu),
        fit('claim: log bytes on one host', 'bytes', log),
        fit('claim: memory on one host', 'bytes', rss),
        fit(f'claim: time with {CLAIM_CALLERS} callers', 's', seconds),
    ]


def log_bytes(bench: Bench) -> int:
    """Return the size of one control host's data folder."""
    folder = bench.cluster.folder / f'{bench.cluster.control_hosts[0]}.data'
    return sum(one.stat().st_size for one in folder.rglob('log-*.segment'))


def run_claims(bench: Bench, first: int, amount: int) -> None:
    """Open, claim and finish bookings from several callers."""
    numbers = iter(range(first, first + amount))

    def book() -> None:
        for number in numbers:
            claim_once(bench.caller, number)

    joinall([spawn(book) for _ in range(CLAIM_CALLERS)], raise_error=True)


def claim_once(caller: ControlCaller, number: int) -> None:
    """Run the three commands of one booking."""
    key = ClaimKey('order-desk', 'trader', f'key-{number}')
    permit = Permit('desk-1', '0123456789abcdef', number)
    request = f'{number:032x}'
    opened = caller.call(
        OpenAttempt(key, content_digest(b'{}'), request),
        AttemptOpened,
        TIMEOUT_SECONDS,
    )
    claim = CommitClaim(key, opened.attempt, permit, '127.0.0.1:1', request)
    assert caller.call(claim, ClaimReply, TIMEOUT_SECONDS).accepted
    outcome = Outcome(Verdict.RAN, 200, b'x' * 80)
    record = RecordOutcome(key, permit, outcome)
    caller.call(record, ClaimReply, TIMEOUT_SECONDS)


def measure_permits(bench: Bench) -> list[Slope]:
    """Measure the endpoint's CPU for a permit that is asked and returned."""
    desk = bench.cluster.process('desk-1')
    address = bench.cluster.address_file('desk-1').read_text()
    link = LinkPool(bench.me).link_to(address)
    cpu: list[Point] = []
    for amount in PERMIT_COUNTS:
        before = cpu_seconds(desk)
        for number in range(amount):
            grant = link.call(permit_ask(number), PermitGrant, TIMEOUT_SECONDS)
            link.call(PermitReturn(grant.permit), Done, TIMEOUT_SECONDS)
        cpu.append(Point(amount, (cpu_seconds(desk) - before) * 1e6))
    return [fit('permit: endpoint CPU, asked and returned', 'us', cpu)]


def permit_ask(number: int) -> PermitAsk:
    """Return the ask of one call."""
    return PermitAsk(
        request_id=f'{number:032x}',
        caller='trader',
        route='order-desk',
        target='order-desk',
        priority=0,
        prompt_tokens=0,
        output_tokens=0,
        pieces=[],
        left_ms=10_000,
        set_version=1,
    )


def idle_memory(bench: Bench) -> dict[str, int]:
    """Return the resident bytes of each role when idle."""
    hosts = {'control': 'control-1', 'entry': 'entry-1', 'endpoint': 'desk-1'}
    return {
        role: resident_bytes(bench.cluster.process(host))
        for role, host in hosts.items()
    }


def run(folder: Path) -> dict[str, Any]:
    """Measure everything on one system."""
    desk = Endpoint('desk-1', ZONES[0], 'order-desk', kind='service')
    with Processes(folder) as processes:
        # No snapshot: it would cut the log that is measured.
        settings = {'control': {'snapshot_entries': 1_000_000}}
        layout = Layout(ZONES, (desk,), entries=1, settings=settings)
        bench = Bench(Cluster.from_config(processes, layout))
        bench.cluster.wait_ready(bench.cluster.control_hosts)
        bench.publish(370)
        bench.cluster.wait_ready()
        sleep(3)
        memory = idle_memory(bench)
        measures: list[Callable[[Bench], list[Slope]]] = [
            lambda _bench: measure_tables(),
            measure_permits,
            measure_streams,
            measure_claims,
        ]
        slopes = []
        for measure in measures:
            for slope in measure(bench):
                stdout.write(describe(slope))
                stdout.flush()
                slopes.append(slope)
        return {
            'idle_resident_bytes': memory,
            'frame_bytes': message_sizes(),
            'slopes': [
                {**slope._asdict(), 'points': slope.points} for slope in slopes
            ],
        }


def describe(slope: Slope) -> str:
    """Return one line of the table."""
    return (
        f'{slope.name:45}{slope.each:14.4g} {slope.unit:8}'
        f'base {slope.base:12.4g}  spread {slope.spread:6.1%}\n'
    )


def main() -> None:
    """Measure, print and write the result."""
    with TemporaryDirectory(prefix='trestle-') as folder:
        result = run(Path(folder))
    for name in ('idle_resident_bytes', 'frame_bytes'):
        for key, value in result[name].items():
            stdout.write(f'{name} {key}: {value}\n')
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(dumps(result, indent=1) + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
