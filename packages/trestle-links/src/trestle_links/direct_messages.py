"""Route documents, back ends and loads; codes 140 to 159.

An entry that dispatches directly to back ends needs three things of the
control state: the route document in force, the back ends that the platform
lists, and the load that the other entries put on them. The first two come as
deltas of the state stream; loads are exchanged with the leader.
"""

from typing import Final, NamedTuple

from trestle_links.codec import message

# Roles of an engine: it reads prompts, or it makes answers.
PREFILL: Final = 'prefill'
DECODE: Final = 'decode'


class Backend(NamedTuple):
    """One back end as the platform lists it.

    `role` is `PREFILL` or `DECODE` for an engine, and empty for a service
    and for an engine that the list shows without one.
    """

    instance: str
    service: str
    address: str
    zone: str
    leaving: bool
    role: str
    slots: int


@message(140)
class PublishDocument(NamedTuple):
    """Put a packed route document in force if its version is the highest."""

    version: int
    content: bytes


@message(141)
class DocumentReply(NamedTuple):
    """The version in force after a publication."""

    version: int


@message(142)
class DocumentDelta(NamedTuple):
    """The route document in force, packed as in `packed_document`."""

    version: int
    content: bytes
    log_index: int


@message(143)
class ListBackends(NamedTuple):
    """Replace the list of back ends."""

    backends: list[Backend]


@message(144)
class BackendsDelta(NamedTuple):
    """The list of back ends; it replaces the one before."""

    backends: list[Backend]
    log_index: int


@message(145)
class ControlHostsDelta(NamedTuple):
    """Peer addresses of the control hosts, and of the leader if known."""

    addresses: list[str]
    leader: str


class Placement(NamedTuple):
    """A prompt part that an engine holds; without tokens it left the memory.

    `arriving` tells that the engine was asked to read it just now.
    """

    part: int
    tokens: int
    instance: str
    arriving: bool = False


class EngineMemory(NamedTuple):
    """The prompt parts that an engine holds, with their tokens."""

    instance: str
    parts: dict[int, int]


@message(146)
class LoadReport(NamedTuple):
    """What one entry has in work, by back end.

    `prefill_ms` is predicted engine time of prompts that are not read yet,
    `running` counts requests in work, `seen` is the number of the last
    placement that the entry knows, of the leader of `term`. `move_slowness`
    tells how many times slower than expected engines took over memory since
    the last report.
    """

    host: str
    prefill_ms: dict[str, float]
    running: dict[str, int]
    placements: list[Placement]
    suspects: list[str]
    seen: int
    term: int = 0
    move_slowness: dict[str, float] = {}


@message(147)
class LoadView(NamedTuple):
    """The sums of the other entries, and placements after `seen`.

    `entries` counts the entries that reported lately, the asking one
    included; `age_ms` is the age of the oldest report in the sums.
    `memories` replace what is known of an engine's memory, before the
    placements. `move_slowness` is estimated from the moves of all entries.
    """

    entries: int
    prefill_ms: dict[str, float]
    running: dict[str, int]
    placements: list[Placement]
    suspects: list[str]
    seen: int
    age_ms: int
    changing: list[str] = []
    term: int = 0
    memories: list[EngineMemory] = []
    move_slowness: dict[str, float] = {}
