"""Routing policies: which endpoints to request a permit from.

A policy is a function from the candidates to at most two of them. `permits`
is the default policy; the others are baselines that it is measured against
(docs/design/routing.md).
"""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final, NamedTuple

from trestle_core.digests import rendezvous_score
from trestle_entry.estimates import Estimates
from trestle_links.watch_messages import EndpointInfo

_OTHER_ZONE_PENALTY_MS: Final = 3.0


class RoutingTraits(NamedTuple):
    """The properties of a request that a policy may use."""

    pieces: list[str]
    priority: int
    # Whether endpoints have refused this request before.
    was_refused: bool = False


RoutingPolicy = Callable[
    [list[EndpointInfo], RoutingTraits], list[EndpointInfo]
]


def permits_policy(estimates: Estimates, zone: str) -> RoutingPolicy:
    """Return the policy `permits`: prefix affinity, then lowest wait."""

    def choose(
        candidates: list[EndpointInfo], traits: RoutingTraits
    ) -> list[EndpointInfo]:
        def cost_ms(info: EndpointInfo) -> float:
            zone_penalty_ms = 0 if info.zone == zone else _OTHER_ZONE_PENALTY_MS
            return (
                estimates.for_host(info.host).wait_ms(traits.priority)
                + zone_penalty_ms
            )

        ranked = sorted(candidates, key=cost_ms)
        if traits.pieces:
            by_affinity = _by_affinity(candidates, traits, estimates)
            # After a refusal, one idle endpoint is included even though it
            # has to prefill the whole prompt.
            preferred = (
                by_affinity[:1] if traits.was_refused else by_affinity[:2]
            )
            hosts = {info.host for info in preferred}
            others = [info for info in ranked if info.host not in hosts]
            ranked = [*preferred, *others]
        return ranked[:2]

    return choose


def _by_affinity(
    candidates: list[EndpointInfo],
    traits: RoutingTraits,
    estimates: Estimates,
) -> list[EndpointInfo]:
    """Order by affinity: the prefix host, then by rendezvous hashing.

    Entries do not share which engine has cached a prefix. But all of them
    try the same two endpoints for it, so that another entry finds the engine
    where the first one placed it, and two choices still balance the load.
    """
    prefix_host = estimates.prefix_host(traits.pieces)
    # Hash the last piece, not the first: prompts that share a leading
    # document would otherwise all go to one engine.
    last_piece = traits.pieces[-1]

    def affinity(info: EndpointInfo) -> tuple[bool, int]:
        return info.host == prefix_host, rendezvous_score(last_piece, info.host)

    return sorted(candidates, key=affinity, reverse=True)


def random_policy(random: Random) -> RoutingPolicy:
    """Return the baseline that takes an endpoint at random."""

    def choose(
        candidates: list[EndpointInfo], _traits: RoutingTraits
    ) -> list[EndpointInfo]:
        return [random.choice(candidates)] if candidates else []

    return choose


def round_robin_policy() -> RoutingPolicy:
    """Return the baseline that takes the endpoints in turn."""
    counter = count()

    def choose(
        candidates: list[EndpointInfo], _traits: RoutingTraits
    ) -> list[EndpointInfo]:
        ordered = sorted(candidates, key=lambda info: info.host)
        return [ordered[next(counter) % len(ordered)]] if ordered else []

    return choose


def least_load_policy(
    reported_load: Callable[[str], float], random: Random
) -> RoutingPolicy:
    """Return the baseline that takes the lowest reported load."""

    def choose(
        candidates: list[EndpointInfo], _traits: RoutingTraits
    ) -> list[EndpointInfo]:
        # Equal loads are common: shuffle so that ties break at random.
        shuffled = random.sample(candidates, len(candidates))
        return sorted(shuffled, key=lambda info: reported_load(info.host))[:1]

    return choose


def two_choices_policy(
    reported_load: Callable[[str], float], random: Random
) -> RoutingPolicy:
    """Return the baseline that takes the less loaded of two at random."""

    def choose(
        candidates: list[EndpointInfo], _traits: RoutingTraits
    ) -> list[EndpointInfo]:
        picked = random.sample(candidates, min(2, len(candidates)))
        return sorted(picked, key=lambda info: reported_load(info.host))[:1]

    return choose
