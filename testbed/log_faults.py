"""Faults on a log group, drawn from a seed.

A disk is lost only while the group says that this is safe and each member's
identity is the one in its set: what a majority has lost, no log can keep.
"""

from collections import Counter
from collections.abc import Callable
from random import Random
from shutil import rmtree
from time import monotonic
from typing import Final

from gevent import sleep

from testbed.log_group import LogGroup
from trestle_core.errors import TrestleError

Heal = Callable[[], object]
Inject = Callable[[LogGroup, str], Heal]

_STOP_SECONDS: Final = 10.0
_REPAIR_SECONDS: Final = 5.0
_HOLD_SECONDS: Final = (0.1, 3.0)
_REST_SECONDS: Final = (0.1, 2.0)


def kill(group: LogGroup, host: str) -> Heal:
    """End a member at once."""
    group.process(host).kill()
    return lambda: group.start(host)


def kill_all(group: LogGroup, _: str) -> Heal:
    """End every member at once."""
    for host in group.hosts:
        group.process(host).popen.kill()
    for host in group.hosts:
        group.process(host).wait()
    return group.start_all


def stop(group: LogGroup, host: str) -> Heal:
    """Stop a member gracefully."""
    process = group.process(host)
    process.terminate()
    process.wait(_STOP_SECONDS)
    return lambda: group.start(host)


def pause(group: LogGroup, host: str) -> Heal:
    """Pause a member."""
    process = group.process(host)
    process.pause()
    return process.resume


def lose_disk(group: LogGroup, host: str) -> Heal:
    """End a member at once and empty its data folder."""
    group.process(host).kill()
    rmtree(group.data_folder(host))
    return lambda: group.start(host)


def cut(group: LogGroup, host: str) -> Heal:
    """Drop everything between a member and the others."""
    return _set_faults(group, _outgoing(group, host) + _incoming(group, host))


def cut_out(group: LogGroup, host: str) -> Heal:
    """Drop what a member asks of the others."""
    return _set_faults(group, _outgoing(group, host))


def cut_in(group: LogGroup, host: str) -> Heal:
    """Drop what the others ask of a member."""
    return _set_faults(group, _incoming(group, host))


FAULTS: Final[dict[str, Inject]] = {
    'kill': kill,
    'kill-all': kill_all,
    'stop': stop,
    'pause': pause,
    'lose-disk': lose_disk,
    'cut': cut,
    'cut-out': cut_out,
    'cut-in': cut_in,
}


def inject_round(group: LogGroup, random: Random, counts: Counter[str]) -> None:
    """Inject one fault, or two that overlap, hold, heal and rest."""
    hosts = random.sample(group.hosts, random.choice((1, 2)))
    heals: list[Heal] = []
    for host in hosts:
        name = random.choice(sorted(FAULTS))
        if name == 'lose-disk' and (heals or not _wait_for_repair(group)):
            name = 'kill'
        if name == 'kill-all' and heals:
            name = 'pause'
        counts[name] += 1
        heals.append(FAULTS[name](group, host))
        if name == 'kill-all':
            break
        sleep(random.uniform(*_HOLD_SECONDS) / 2)
    sleep(random.uniform(*_HOLD_SECONDS))
    random.shuffle(heals)
    for heal in heals:
        heal()
        sleep(random.uniform(0, _REST_SECONDS[0]))
    sleep(random.uniform(*_REST_SECONDS))


def _wait_for_repair(group: LogGroup) -> bool:
    deadline = monotonic() + _REPAIR_SECONDS
    while not is_repaired(group) and monotonic() < deadline:
        sleep(_REST_SECONDS[0])
    return is_repaired(group)


def is_repaired(group: LogGroup) -> bool:
    """Tell whether any one disk may be lost."""
    try:
        status = group.group_status(group.hosts[0])
    except TrestleError:
        return False
    listed = {member.incarnation for member in status.members}
    statuses = [group.status(host) for host in group.hosts]
    present = {one.incarnation for one in statuses if one}
    return status.second_loss_safe and listed == present


def _outgoing(group: LogGroup, host: str) -> list[tuple[str, str]]:
    return [(host, other) for other in group.hosts if other != host]


def _incoming(group: LogGroup, host: str) -> list[tuple[str, str]]:
    return [(other, host) for other in group.hosts if other != host]


def _set_faults(group: LogGroup, links: list[tuple[str, str]]) -> Heal:
    for source, target in links:
        group.set_fault(source, target, 'drop')

    def heal() -> None:
        for source, target in links:
            group.set_fault(source, target, 'pass')

    return heal
