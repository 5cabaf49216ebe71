"""Measures the replicated log on loopback; writes bench/log.json.

Members are processes of their own with the settings' default times. Clients
are greenlets of this process and send to the leader, so at many clients the
figures include this process's own share. `peer bytes` are counted by a proxy
in runs of their own, because a proxy adds to the latency.
"""

from gevent import monkey

monkey.patch_all()

from json import dumps
from os import cpu_count, getloadavg
from sys import stdout
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import joinall, sleep, spawn
from hdrh.histogram import HdrHistogram

from testbed.bench_log_recovery import measure_catch_up, measure_recovery
from testbed.capacity_bench import cpu_seconds
from testbed.log_group import HOSTS, LogGroup, running_group
from testbed.log_member import Before
from testbed.processes import ROOT

CLIENT_COUNTS: Final = (1, 16, 128)
ROUNDS: Final[tuple[Before, ...]] = ('nothing', 'read-round')
SAMPLES: Final = 3
WINDOW_SECONDS: Final = 3.0
RATE: Final = 'commands_per_second'
IDLE_SECONDS: Final = 10.0
VALUE_BYTES: Final = 100
FIVE_HOSTS: Final = (*HOSTS, 'pazardzhik', 'kochi-a')
RELAYS: Final = tuple(f'relay-{number}' for number in range(1, 11))
RESULT: Final = ROOT / 'bench' / 'log.json'
_HIGHEST_US: Final = 60_000_000
_US_PER_SECOND: Final = 1_000_000
_DIGITS: Final = 3

Row = dict[str, Any]


class Load(NamedTuple):
    """Clients of one window, and what the member does before a command."""

    clients: int
    before: Before


def measure_commands(load: Load) -> Row:
    """Measure commands per second, latency and processor time."""
    with running_group(proxied=False) as (group, leader):
        # The first second fills caches and connects.
        send_for(group, leader, load, 1)
        before = cpu_by_role(group, leader)
        histogram = send_for(group, leader, load, WINDOW_SECONDS)
        after = cpu_by_role(group, leader)
    commands = histogram.get_total_count()
    return {
        **load._asdict(),
        RATE: round(commands / WINDOW_SECONDS, 1),
        **latencies(histogram),
        **{
            f'{role}_cpu_us_per_command': round(
                (after[role] - before[role]) / commands * _US_PER_SECOND
            )
            for role in after
        },
        'load': getloadavg()[0],
    }


def measure_all_commands() -> list[Row]:
    """Measure each load several times, in turn; return the median rows.

    The machine is shared: what else runs changes from minute to minute.
    """
    samples = [
        [show(measure_commands(load)) for load in loads()]
        for _ in range(SAMPLES)
    ]
    return [median_row(list(rows)) for rows in zip(*samples, strict=True)]


def median_row(rows: list[Row]) -> Row:
    """Return the row of the median rate, with all rates."""
    rows = sorted(rows, key=lambda row: row[RATE])
    return {
        **rows[len(rows) // 2],
        'rates': [row[RATE] for row in rows],
    }


def send_for(
    group: LogGroup, leader: str, load: Load, seconds: float
) -> HdrHistogram:
    """Send commands for some seconds; return their latencies in us."""
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    end = monotonic() + seconds

    def send(number: int) -> None:
        while monotonic() < end:
            # A hand-over leaves another leader; finding it is not timed.
            moves = load.before == 'hand-over'
            target = group.leader() if moves else leader
            started_at = monotonic()
            group.put(
                target, f'lot-{number}', 'x' * VALUE_BYTES, before=load.before
            )
            elapsed = monotonic() - started_at
            histogram.record_value(int(elapsed * _US_PER_SECOND))

    joinall(
        [spawn(send, number) for number in range(load.clients)],
        raise_error=True,
    )
    return histogram


def latencies(histogram: HdrHistogram) -> Row:
    """Return quantiles in microseconds."""
    return {
        f'p{percent}_us': histogram.get_value_at_percentile(percent)
        for percent in (50, 99)
    }


def cpu_by_role(group: LogGroup, leader: str) -> dict[str, float]:
    """Return processor seconds of the leader and of a follower (mean)."""
    followers = [host for host in group.hosts if host != leader]
    used = [cpu_seconds(group.process(host)) for host in followers]
    return {
        'leader': cpu_seconds(group.process(leader)),
        'follower': sum(used) / len(used),
    }


def measure_bytes(clients: int) -> Row:
    """Measure the bytes between the members for each command."""
    with running_group() as (group, leader):
        load = Load(clients, 'nothing')
        before = group.peer_bytes()
        commands = send_for(group, leader, load, 2).get_total_count()
        passed = group.peer_bytes() - before
    return {
        'clients': clients,
        'value_bytes': VALUE_BYTES,
        'peer_bytes_per_command': round(passed / commands),
    }


def measure_idle(hosts: tuple[str, ...], learners: tuple[str, ...] = ()) -> Row:
    """Measure processor time and bytes without commands."""
    with running_group((*hosts, *learners), learners=learners) as (
        group,
        leader,
    ):
        sleep(1)
        before, bytes_before = cpu_by_role(group, leader), group.peer_bytes()
        sleep(IDLE_SECONDS)
        after, passed = cpu_by_role(group, leader), group.peer_bytes()
    return {
        'voters': len(hosts),
        'learners': len(learners),
        'peer_bytes_per_second': round((passed - bytes_before) / IDLE_SECONDS),
        **{
            f'{role}_cpu_us_per_second': round(
                (after[role] - before[role]) / IDLE_SECONDS * _US_PER_SECOND
            )
            for role in after
        },
        'load': getloadavg()[0],
    }


def loads() -> list[Load]:
    """Return the loads to compare, those of a kind side by side."""
    pairs = [
        Load(clients, before) for clients in CLIENT_COUNTS for before in ROUNDS
    ]
    return [*pairs, Load(1, 'hand-over')]


def show(row: Any) -> Any:
    """Print a result as it comes and return it."""
    stdout.write(f'{dumps(row)}\n')
    stdout.flush()
    return row


def main() -> None:
    """Measure everything and write the result file."""
    results = {
        'cores': cpu_count(),
        'load_at_start': getloadavg(),
        'commands': measure_all_commands(),
        'bytes': [show(measure_bytes(clients)) for clients in CLIENT_COUNTS],
        'idle': [
            show(measure_idle(HOSTS)),
            show(measure_idle(FIVE_HOSTS)),
            show(measure_idle(HOSTS, RELAYS)),
        ],
        'recovery': show(measure_recovery()),
        'catch_up': [
            show(measure_catch_up(by_snapshot=by_snapshot)._asdict())
            for by_snapshot in (False, True)
        ],
        'load_at_end': getloadavg(),
    }
    RESULT.write_text(f'{dumps(results, indent=1)}\n', encoding='utf-8')


if __name__ == '__main__':
    main()
