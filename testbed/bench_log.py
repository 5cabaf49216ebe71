"""Measures the replicated log on loopback; writes bench/log.json.

Members are processes of their own with the settings' default times. Clients
are greenlets of this process and send to the leader, so at many clients the
figures include this process's own share. `peer bytes` are counted by a proxy
in runs of their own, because a proxy adds to the latency.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator
from contextlib import contextmanager
from json import dumps
from os import cpu_count, getloadavg
from pathlib import Path
from statistics import median
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import joinall, sleep, spawn
from hdrh.histogram import HdrHistogram

from testbed.capacity import cpu_seconds
from testbed.log_group import HOSTS, LIMIT_SECONDS, LogGroup
from testbed.log_member import Before
from testbed.processes import ROOT, Process, Processes, poll_until
from testbed.slopes import Point, Slope, fit
from trestle_core.errors import TrestleError

CLIENT_COUNTS: Final = (1, 16, 128)
ROUNDS: Final[tuple[Before, ...]] = ('nothing', 'read-round')
WINDOW_SECONDS: Final = 5.0
IDLE_SECONDS: Final = 10.0
VALUE_BYTES: Final = 100
BEHIND_COUNTS: Final = (1000, 2000, 4000, 8000)
KILLS: Final = 10
WRITERS: Final = 32
SEGMENT_BYTES: Final = 32_768
MANY_ENTRIES: Final = 1_000_000
FIVE_HOSTS: Final = (*HOSTS, 'pazardzhik', 'kochi-a')
RESULT: Final = ROOT / 'bench' / 'log.json'
_HIGHEST_US: Final = 60_000_000
_US_PER_SECOND: Final = 1_000_000
_DIGITS: Final = 3
_SHORT_SECONDS: Final = 0.2

Row = dict[str, Any]


class Load(NamedTuple):
    """Clients of one window, and what the member does before a command."""

    clients: int
    before: Before


@contextmanager
def running_group(
    hosts: tuple[str, ...] = HOSTS, **options: Any
) -> Iterator[tuple[LogGroup, str]]:
    """Run a group; yield it and its leader."""
    with TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        overrides = {'log_level': 'INFO', **options}
        group = LogGroup(processes, hosts, **overrides)
        try:
            yield group, group.start_and_wait()
        finally:
            group.close()


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
        'commands_per_second': round(commands / WINDOW_SECONDS, 1),
        **latencies(histogram),
        **{
            f'{role}_cpu_us_per_command': round(
                (after[role] - before[role]) / commands * _US_PER_SECOND
            )
            for role in after
        },
        'load': getloadavg()[0],
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


def measure_idle(hosts: tuple[str, ...]) -> Row:
    """Measure processor time and bytes without commands."""
    with running_group(hosts) as (group, leader):
        sleep(1)
        before, bytes_before = cpu_by_role(group, leader), group.peer_bytes()
        sleep(IDLE_SECONDS)
        after, passed = cpu_by_role(group, leader), group.peer_bytes()
    return {
        'members': len(hosts),
        'peer_bytes_per_second': round((passed - bytes_before) / IDLE_SECONDS),
        **{
            f'{role}_cpu_us_per_second': round(
                (after[role] - before[role]) / IDLE_SECONDS * _US_PER_SECOND
            )
            for role in after
        },
        'load': getloadavg()[0],
    }


def measure_catch_up(*, by_snapshot: bool) -> Slope:
    """Measure how long a started follower takes, by what it lacks."""
    name = 'snapshot of objects' if by_snapshot else 'entries'
    points = [
        Point(behind, catch_up_seconds(behind, by_snapshot=by_snapshot))
        for behind in BEHIND_COUNTS
    ]
    return fit(f'catch-up by {name}, from the process start', 's', points)


def catch_up_seconds(behind: int, *, by_snapshot: bool) -> float:
    """Return seconds from a follower's start until it has applied all."""
    # The follower lacks more than the entries kept behind a snapshot.
    every = behind - 1 if by_snapshot else MANY_ENTRIES
    with running_group(
        proxied=False, snapshot_entries=every, segment_bytes=SEGMENT_BYTES
    ) as (group, leader):
        follower = next(host for host in HOSTS if host != leader)
        group.process(follower).kill()
        fill(group, leader, behind)
        last_index = settled_index(group, leader, by_snapshot=by_snapshot)
        started_at = monotonic()
        group.start(follower)

        def has_all() -> bool:
            own = group.status(follower)
            return own is not None and own.applied_index >= last_index

        poll_until(has_all, LIMIT_SECONDS, 'catch-up')
        elapsed = monotonic() - started_at
        if by_snapshot:
            wait_for_line(group.process(follower), 'Installed snapshot')
        return elapsed


def wait_for_line(process: Process, text: str) -> None:
    """Wait until a process has logged a text."""

    def is_logged() -> bool:
        return text in process.log_file.read_text(encoding='utf-8')

    poll_until(is_logged, 1, text)


def settled_index(group: LogGroup, leader: str, *, by_snapshot: bool) -> int:
    """Return the leader's last index, after its snapshot if it takes one."""

    def find() -> int:
        status = group.status(leader)
        if status and bool(status.snapshot_index) is by_snapshot:
            return status.commit_index
        return 0

    return poll_until(find, LIMIT_SECONDS, 'the snapshot')


def fill(group: LogGroup, leader: str, commands: int) -> None:
    """Set so many keys."""

    def send(first: int) -> None:
        for number in range(first, commands, WRITERS):
            group.put(leader, f'lot-{number}', 'x' * VALUE_BYTES)

    tasks = [spawn(send, first) for first in range(WRITERS)]
    joinall(tasks, raise_error=True)


def measure_recovery() -> Row:
    """Measure the time from the leader's kill to the next command."""
    seconds = []
    with running_group(proxied=False) as (group, leader):
        for _ in range(KILLS):
            follower = next(host for host in HOSTS if host != leader)
            group.process(leader).kill()
            killed_at = monotonic()
            while not is_acknowledged(group, follower):
                sleep(0.01)
            seconds.append(round(monotonic() - killed_at, 3))
            group.start(leader)
            leader = group.leader()
            for host in HOSTS:
                group.wait_until_follows(host)
    return {
        'kills': KILLS,
        'median_seconds': median(seconds),
        'max_seconds': max(seconds),
        'seconds': seconds,
        'load': getloadavg()[0],
    }


def is_acknowledged(group: LogGroup, host: str) -> bool:
    """Try a command through a member."""
    try:
        group.put(host, 'lot', 'x', seconds=_SHORT_SECONDS)
    except TrestleError:
        return False
    return True


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
        'commands': [show(measure_commands(load)) for load in loads()],
        'bytes': [show(measure_bytes(clients)) for clients in CLIENT_COUNTS],
        'idle': [show(measure_idle(hosts)) for hosts in (HOSTS, FIVE_HOSTS)],
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
