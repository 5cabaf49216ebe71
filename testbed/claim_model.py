"""Exhaustive model of the claim protocol: one key, one endpoint host.

Explores every order of the steps of some sends with the same key, and of
the frames between them. A send may stop for ever at any step. A dispatch may
arrive late and any number of times. A command may lose its reply and be sent
again, and its frame may arrive once more; `LOSSES` bounds how often these
happen to commands in all. The endpoint process starts twice.

Two rules are checked at every step:

* the service executes at most once;
* a `not-run` is answered only before an execution, and no attempt that was
  open at its commit executes afterwards.

A send whose `OpenAttempt` arrives only after the `not-run` is not barred.

Each variant breaks one rule of the protocol; the model must find it.
Run `python -m testbed.claim_model VARIANT [SENDS [LOSSES]]`.
"""

from collections import deque
from sys import argv, stdout
from sys import exit as sys_exit
from typing import Final, NamedTuple

from testbed.claim_steps import steps
from testbed.claim_world import PROTOCOL, Endpoint, Register, Send, World

SENDS: Final = 2
LOSSES: Final = 0


class Result(NamedTuple):
    """Number of states seen; the violation and the steps that lead to it."""

    states: int
    violation: str = ''
    path: tuple[str, ...] = ()


def explore(variant: str, sends: int = SENDS, losses: int = LOSSES) -> Result:
    """Visit every state, the nearest first, up to the first violation."""
    sending = (Send(),) * sends
    first = World(Register(), Endpoint(), sending, losses=losses)
    reached: dict[World, tuple[World, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        world = waiting.popleft()
        for name, reachable in steps(world, variant):
            then = without_spent_frames(reachable, variant)
            if then in reached:
                continue
            reached[then] = (world, name)
            if then.violation:
                path = path_to(reached, then)
                return Result(len(reached), then.violation, path)
            waiting.append(then)
    return Result(len(reached))


def without_spent_frames(world: World, variant: str) -> World:
    """Drop the frames that can change nothing any more."""
    if variant == 'no-incarnation':
        return world
    frames = frozenset(
        frame
        for frame in world.frames
        if (
            frame.permit in world.endpoint.unused
            if frame.kind == 'dispatch'
            else world.losses
        )
    )
    return world._replace(frames=frames)


def path_to(
    reached: dict[World, tuple[World, str] | None], world: World
) -> tuple[str, ...]:
    """Return the names of the steps that lead to a state."""
    names = []
    while origin := reached[world]:
        world, name = origin
        names.append(name)
    return tuple(reversed(names))


def main() -> int:
    """Explore the named variant; 1 if a rule is broken."""
    variant = argv[1] if len(argv) > 1 else PROTOCOL
    bounds = [int(text) for text in argv[2:]]
    result = explore(variant, *bounds)
    found = result.violation or 'no violation'
    stdout.write(f'{variant}: {result.states} states, {found}\n')
    for name in result.path:
        stdout.write(f'  {name}\n')
    return int(bool(result.violation))


if __name__ == '__main__':
    sys_exit(main())
