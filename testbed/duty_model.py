"""Exhaustive model of a duty: two hosts, one window of usage, one platform.

Explores every order of the steps of two hosts that lead by turns. A host that
takes no step is frozen or cut off; it may go on at any later time with what it
believed. A call that has left arrives in the same tick, and its answer may be
lost, so a host may send again.

Three rules are checked at every step: the platform gets one figure for the
window, never a lower fencing number after a higher one, and no calls of A, B
and A again within a lease.

Each variant leaves out one rule of the protocol; the model must find it.
"""

from collections import deque
from collections.abc import Iterator
from itertools import combinations
from typing import Final, NamedTuple

PROTOCOL: Final = 'protocol'
VARIANTS: Final = frozenset(
    ('unrecorded', 'record-again', 'unconfirmed', 'no-wait', 'one-number')
)
LEASE_TICKS: Final = 2
# Between the confirmation of a host's term and the call that it allows.
CONFIRM_TICKS: Final = 1
LAST_TICK: Final = 9
MAX_TERM: Final = 3
MAX_CALLS: Final = 3


class Host(NamedTuple):
    """What a host believes: the term it leads and the figure it would send."""

    term: int = 0
    led_since: int = 0
    confirmed_at: int = -1


class Call(NamedTuple):
    """A call that the platform got."""

    host: int
    fence: int
    figure: int
    tick: int


class World(NamedTuple):
    """The log, both hosts and what the platform got."""

    tick: int = 0
    term: int = 1
    recorded: int = 0
    hosts: tuple[Host, Host] = (Host(1), Host())
    calls: tuple[Call, ...] = ()

    @property
    def violation(self) -> str:
        """The rule that the calls break, or nothing."""
        if len({call.figure for call in self.calls}) > 1:
            return 'two figures for a window'
        fences = [call.fence for call in self.calls]
        if fences != sorted(fences):
            return 'a lower number after a higher one'
        holders = {(call.fence, call.host) for call in self.calls}
        if len({fence for fence, _ in holders}) < len(holders):
            return 'two holders with one number'
        return 'holders by turns' if self._takes_turns() else ''

    def _takes_turns(self) -> bool:
        return any(
            first.host == last.host
            and between.host != first.host
            and last.tick - first.tick < LEASE_TICKS
            for first, between, last in combinations(self.calls, 3)
        )


class Result(NamedTuple):
    """Number of states seen, and the first violation."""

    states: int
    violation: str = ''


def explore(variant: str) -> Result:
    """Visit every state, the nearest first, up to the first violation."""
    first = World()
    reached = {first}
    waiting = deque([first])
    while waiting:
        for then in steps(waiting.popleft(), variant):
            if then in reached:
                continue
            reached.add(then)
            if then.violation:
                return Result(len(reached), then.violation)
            waiting.append(then)
    return Result(len(reached))


def steps(world: World, variant: str) -> Iterator[World]:
    """Yield what may happen next."""
    if world.tick < LAST_TICK:
        yield world._replace(tick=world.tick + 1)
    for number, host in enumerate(world.hosts):
        yield from _elect(world, number)
        if host.term:
            yield from _act(world, number, host, variant)


def _elect(world: World, number: int) -> Iterator[World]:
    """A quorum follows a host in a new term; the other one may not know."""
    if world.term < MAX_TERM:
        term = world.term + 1
        elected = world._replace(term=term)
        yield _with_host(elected, number, Host(term, world.tick))


def _act(
    world: World, number: int, host: Host, variant: str
) -> Iterator[World]:
    leads = host.term == world.term
    # What a host has counted differs from what the other one has.
    own_figure = number + 1
    if leads and (not world.recorded or variant == 'record-again'):
        yield world._replace(recorded=own_figure)
    if not _has_waited(world, host, variant):
        return
    if leads or variant == 'unconfirmed':
        confirmed = host._replace(confirmed_at=world.tick)
        yield _with_host(world, number, confirmed)
    figure = own_figure if variant == 'unrecorded' else world.recorded
    if figure and _may_send(world, host) and len(world.calls) < MAX_CALLS:
        fence = 1 if variant == 'one-number' else host.term
        call = Call(number, fence, figure, world.tick)
        spent = host._replace(confirmed_at=-1)
        yield _with_host(
            world._replace(calls=(*world.calls, call)), number, spent
        )


def _has_waited(world: World, host: Host, variant: str) -> bool:
    if host.term == 1 or variant == 'no-wait':
        return True
    return world.tick - host.led_since > LEASE_TICKS + CONFIRM_TICKS


def _may_send(world: World, host: Host) -> bool:
    """A confirmation that took longer, as in a freeze, does not count."""
    is_confirmed = host.confirmed_at >= 0
    return is_confirmed and world.tick - host.confirmed_at <= CONFIRM_TICKS


def _with_host(world: World, number: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[number] = host
    return world._replace(hosts=(hosts[0], hosts[1]))
