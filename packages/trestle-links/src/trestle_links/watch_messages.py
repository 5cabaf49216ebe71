"""State streams from control hosts to nodes, and queries; codes 80 to 99.

A node opens one `Watch` channel to one control host. It gets what applies to
it as deltas in log order. It sends `StampAsk` on the same channel; the
`Stamp` answer follows every delta up to its index. A stamp's age is a
duration on the control host's clock and the node subtracts it from the time
at which it asked, on its own clock: no two hosts' clocks are compared, and a
stamp that was delayed on the way makes a node no fresher than its ask.
"""

from typing import Final, NamedTuple

from trestle_links.codec import message
from trestle_links.fleet_messages import Order

# Figures of an entry, followed by the pool's name: prompt and output tokens
# that callers offered since its start.
PREFILL_FIGURE: Final = 'prefill_tokens:'
DECODE_FIGURE: Final = 'decode_tokens:'


@message(80)
class Watch(NamedTuple):
    """Open the state stream of a node.

    `targets` limits endpoint deltas; an empty list means all. Deltas start
    after the versions that the node already holds.
    """

    host: str
    role: str
    targets: list[str]
    set_version: int


@message(81)
class SetDelta(NamedTuple):
    """The named set in force, as canonical JSON."""

    version: int
    digest: str
    content: bytes
    log_index: int


class EndpointInfo(NamedTuple):
    """What nodes know of an endpoint.

    `serving` is false when it is withdrawn or leaving.
    """

    host: str
    incarnation: str
    zone: str
    address: str
    target_kind: str
    target: str
    engine_role: str
    serving: bool
    cause: str


@message(82)
class EndpointsDelta(NamedTuple):
    """Endpoints that changed; `whole` when the list replaces all others."""

    endpoints: list[EndpointInfo]
    whole: bool
    log_index: int


@message(83)
class OrderDelta(NamedTuple):
    """The outstanding order of the watching endpoint."""

    order: Order


@message(84)
class ContentDelta(NamedTuple):
    """Suspects and quarantined contents; `whole` replaces all others.

    `cleared` are contents that are neither any more.
    """

    suspects: list[str]
    quarantined: list[str]
    cleared: list[str]
    whole: bool
    log_index: int


@message(85)
class StampAsk(NamedTuple):
    """Ask for a freshness stamp; figures of the node ride along.

    `figures` are the node's reported loads and rates by name.
    """

    number: int
    set_version: int
    figures: dict[str, float]


@message(86)
class Stamp(NamedTuple):
    """The state up to `log_index` was in force `age_ms` before the ask arrived."""

    number: int
    log_index: int
    age_ms: int
    set_version: int


@message(87)
class ReadState(NamedTuple):
    """A linearizable query: status, set, explain, endpoints, or nodes."""

    query: str
    name: str


@message(88)
class StateReply(NamedTuple):
    """The answer of a query as JSON."""

    content: bytes


@message(89)
class FetchSet(NamedTuple):
    """Ask a peer for the named set it has in force; `SetDelta` answers."""

    set_version: int


class ObjectChange(NamedTuple):
    """One object of a set as canonical JSON; empty content removes it."""

    section: str
    name: str
    content: bytes


@message(91)
class SetPatch(NamedTuple):
    """What turns the set of `base_version` into this version."""

    version: int
    digest: str
    base_version: int
    changes: list[ObjectChange]
    log_index: int


class NodeReport(NamedTuple):
    """The last ask of a node; `age_ms` is the time since it came."""

    host: str
    role: str
    set_version: int
    figures: dict[str, float]
    age_ms: int


@message(90)
class NodeReports(NamedTuple):
    """The nodes that watch the sending control host, for the other hosts."""

    nodes: list[NodeReport]
