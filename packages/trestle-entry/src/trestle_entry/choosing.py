"""Policies that choose which endpoints to ask for a permit.

A policy is a function from candidates to the one or two endpoints to ask.
`permits` is the product's own; the others are the baselines it is measured
against (docs/design/routing.md).
"""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final, NamedTuple

from trestle_core.digests import rendezvous_score
from trestle_entry.estimates import Estimates
from trestle_links.watch_messages import EndpointInfo

_ZONE_MS: Final = 3.0


class Need(NamedTuple):
    """What a policy may look at in a request."""

    pieces: list[str]
    priority: int


Choose = Callable[[list[EndpointInfo], Need], list[EndpointInfo]]


def choose_by_permits(estimates: Estimates, zone: str) -> Choose:
    """Return our policy: prefix affinity and lowest estimated wait."""

    def choose(
        candidates: list[EndpointInfo], need: Need
    ) -> list[EndpointInfo]:
        def wait_ms(info: EndpointInfo) -> float:
            distance = 0 if info.zone == zone else _ZONE_MS
            return estimates.of(info.host).wait(need.priority) + distance

        by_wait = sorted(candidates, key=wait_ms)
        near = _affine(candidates, need, estimates)
        if near is None:
            return by_wait[:2]
        others = [info for info in by_wait if info.host != near.host]
        return [near, *others[:1]]

    return choose


def _affine(
    candidates: list[EndpointInfo],
    need: Need,
    estimates: Estimates,
) -> EndpointInfo | None:
    if not need.pieces:
        return None
    holder = estimates.holder(need.pieces)
    for info in candidates:
        if info.host == holder:
            return info
    # The deepest piece, not the first: prompts that begin with one standing
    # document would all go to one engine.
    deepest = need.pieces[-1]
    return max(
        candidates,
        key=lambda info: rendezvous_score(deepest, info.host),
        default=None,
    )


def choose_at_random(random: Random) -> Choose:
    """Return the baseline that asks any endpoint."""

    def choose(
        candidates: list[EndpointInfo], _need: Need
    ) -> list[EndpointInfo]:
        return [random.choice(candidates)] if candidates else []

    return choose


def choose_round_robin() -> Choose:
    """Return the baseline that asks the endpoints in turn."""
    turns = count()

    def choose(
        candidates: list[EndpointInfo], _need: Need
    ) -> list[EndpointInfo]:
        ordered = sorted(candidates, key=lambda info: info.host)
        return [ordered[next(turns) % len(ordered)]] if ordered else []

    return choose


def choose_least_load(
    reported: Callable[[str], float], random: Random
) -> Choose:
    """Return the baseline that asks the endpoint of least reported load."""

    def choose(
        candidates: list[EndpointInfo], _need: Need
    ) -> list[EndpointInfo]:
        # Equal loads are common: the order of hosts must not decide.
        mixed = random.sample(candidates, len(candidates))
        return sorted(mixed, key=lambda info: reported(info.host))[:1]

    return choose


def choose_of_two(reported: Callable[[str], float], random: Random) -> Choose:
    """Return the baseline of two random choices on reported load."""

    def choose(
        candidates: list[EndpointInfo], _need: Need
    ) -> list[EndpointInfo]:
        picked = random.sample(candidates, min(2, len(candidates)))
        return sorted(picked, key=lambda info: reported(info.host))[:1]

    return choose
