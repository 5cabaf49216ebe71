"""Which endpoints of a pool an entry links to, and which it prefers.

Rendezvous hashing gives each entry a stable subset, so links stay few when
entries and endpoints are many, and a change of the fleet moves few of them.
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
    """Return at most `size` endpoints, at most half from the own zone.

    The rest spreads over the other zones, so that the loss of one zone
    leaves an entry with endpoints to use. Fewer endpoints than `size` are
    returned whole.
    """
    ranked = sorted(
        endpoints,
        key=lambda info: rendezvous_score(entry_host, info.host),
        reverse=True,
    )
    if len(ranked) <= size:
        return ranked
    near = [info for info in ranked if info.zone == zone]
    chosen = near[: (size + 1) // 2]
    taken = {info.host for info in chosen}
    rest = [info for info in ranked if info.host not in taken]
    return [*chosen, *rest[: size - len(chosen)]]
