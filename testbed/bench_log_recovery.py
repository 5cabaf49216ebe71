"""Measures a follower's catch-up and the recovery after a leader's kill."""

from statistics import median
from time import monotonic
from typing import Any, Final

from gevent import joinall, sleep, spawn

from testbed.log_group import HOSTS, LIMIT_SECONDS, LogGroup, running_group
from testbed.processes import Process, poll_until
from testbed.slopes import Point, Slope, fit
from trestle_core.errors import TrestleError

BEHIND_COUNTS: Final = (4000, 8000, 16_000, 32_000)
VALUE: Final = 'x' * 100
KILLS: Final = 10
WRITERS: Final = 32
SEGMENT_BYTES: Final = 262_144
DROP_SECONDS: Final = 1.0
MANY_ENTRIES: Final = 1_000_000
_SHORT_SECONDS: Final = 0.2


def measure_catch_up(*, by_snapshot: bool) -> Slope:
    """Measure how long a follower that answers takes, by what it lacks."""
    name = 'snapshot of objects' if by_snapshot else 'entries'
    points = [
        Point(behind, catch_up_seconds(behind, by_snapshot=by_snapshot))
        for behind in BEHIND_COUNTS
    ]
    return fit(f'catch-up by {name}', 's', points)


def catch_up_seconds(behind: int, *, by_snapshot: bool) -> float:
    """Return seconds from a follower's first answer until it has applied all."""
    # The follower lacks more than the entries kept behind a snapshot.
    every = behind - 1 if by_snapshot else MANY_ENTRIES
    with running_group(
        proxied=False, snapshot_entries=every, segment_bytes=SEGMENT_BYTES
    ) as (group, leader):
        follower = next(host for host in HOSTS if host != leader)
        group.process(follower).kill()
        fill(group, leader, behind)
        last_index = settled_index(group, leader, by_snapshot=by_snapshot)
        group.start(follower)
        poll_until(lambda: group.status(follower), LIMIT_SECONDS, follower)
        started_at = monotonic()

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

    index = poll_until(find, LIMIT_SECONDS, 'the snapshot')
    # The log's head is dropped after the snapshot shows.
    sleep(DROP_SECONDS)
    return index


def fill(group: LogGroup, leader: str, commands: int) -> None:
    """Set so many keys."""

    def send(first: int) -> None:
        for number in range(first, commands, WRITERS):
            group.put(leader, f'lot-{number}', VALUE)

    tasks = [spawn(send, first) for first in range(WRITERS)]
    joinall(tasks, raise_error=True)


def measure_recovery() -> dict[str, Any]:
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
    }


def is_acknowledged(group: LogGroup, host: str) -> bool:
    """Try a command through a member."""
    try:
        group.put(host, 'lot', 'x', seconds=_SHORT_SECONDS)
    except TrestleError:
        return False
    return True
