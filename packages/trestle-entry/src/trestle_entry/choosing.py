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
    # Set when endpoints have refused this request before.
    refused: bool = False


Choose = Callable[[list[EndpointInfo], Need], list[EndpointInfo]]


def choose_by_permits(estimates: Estimates, zone: str) -> Choose:
    """Return our policy: prefix affinity and lowest estimated wait."""

    def choose(
        candidates: list[EndpointInfo], need: Need
    ) -> list[EndpointInfo]:
        def wait_ms(info: EndpointInfo) -> float:
            distance = 0 if info.zone == zone else _ZONE_MS
            return estimates.of(info.host).wait(need.priority) + distance

        ranked = sorted(candidates, key=wait_ms)
        if need.pieces:
            near = _affine(candidates, need, estimates)
            # Once these have refused, whoever is free reads the prompt anew.
            kept = near[:1] if need.refused else near[:2]
            hosts = {info.host for info in kept}
            others = [info for info in ranked if info.host not in hosts]
            ranked = [*kept, *others]
        return ranked[:2]

    return choose


def _affine(
    candidates: list[EndpointInfo],
    need: Need,
    estimates: Estimates,
) -> list[EndpointInfo]:
    """Order by affinity: the known holder, then by rendezvous hashing.

    Entries do not tell each other who reads what. But all of them ask the
    same two endpoints for a prefix, so the second entry finds the engine on
    which the first one placed it, and the load still has two choices.
    """
    holder = estimates.holder(need.pieces)
    # The deepest piece, not the first: prompts that begin with one standing
    # document would all go to one engine.
    deepest = need.pieces[-1]

    def affinity(info: EndpointInfo) -> tuple[bool, int]:
        return info.host == holder, rendezvous_score(deepest, info.host)

    return sorted(candidates, key=affinity, reverse=True)


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
