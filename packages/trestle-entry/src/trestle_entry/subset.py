"""Selects the endpoints of a pool that an entry uses.

Rendezvous hashing gives each entry a stable subset. This limits the number of
links in a large fleet, and a change of the fleet changes few of them.
"""

from collections.abc import Iterable

from trestle_core.digests import rendezvous_score
from trestle_links.watch_messages import EndpointInfo


def endpoint_subset(
    endpoints: Iterable[EndpointInfo],
    entry_host: str,
    zone: str,
    size: int,
) -> list[EndpointInfo]:
    """Return at most `size` endpoints, half of them local if possible.

    The first half comes from the own zone, the others from all zones by rank,
    so that the loss of one zone leaves an entry with usable endpoints. If
    there are at most `size` endpoints, all are returned.
    """
    ranked = sorted(
        endpoints,
        key=lambda info: rendezvous_score(entry_host, info.host),
        reverse=True,
    )
    if len(ranked) <= size:
        return ranked
    local = [info for info in ranked if info.zone == zone]
    selected = local[: (size + 1) // 2]
    selected_hosts = {info.host for info in selected}
    others = [info for info in ranked if info.host not in selected_hosts]
    return [*selected, *others[: size - len(selected)]]
