"""Route documents and back ends; codes 140 to 145.

An entry that dispatches directly to back ends needs three things of the
control state: the route document in force, the back ends that the platform
lists, and the load that the other entries put on them. The first two come as
deltas of the state stream; `load_messages` has the loads. Codes 146 and 147
were used by an earlier exchange of loads and are not used again.
"""

from typing import Final, NamedTuple

from trestle_links.codec import message

# Roles of an engine: it reads prompts, or it makes answers.
PREFILL: Final = 'prefill'
DECODE: Final = 'decode'


class Boot(NamedTuple):
    """One start of a back end: Unix ms, 0 if unknown, and its address."""

    born: int
    address: str

    def follows(self, other: 'Boot') -> bool:
        """Return whether this is a later start than another one.

        Where the times are unknown, another address tells of another start.
        """
        if self.born and other.born:
            return self.born > other.born
        return self.address != other.address

    def later(self, other: 'Boot') -> 'Boot':
        """Return the later one of two starts."""
        return other if other.born > self.born else self


class Backend(NamedTuple):
    """One back end as the platform lists it.

    `role` is `PREFILL` or `DECODE` for an engine, and empty for a service
    and for an engine that the list shows without one. `software` is the version
    of its software, empty if an earlier version of this system wrote the list.
    `born` is the Unix ms of its start, 0 if the list does not show it.
    """

    instance: str
    service: str
    address: str
    zone: str
    leaving: bool
    role: str
    slots: int
    software: str = ''
    born: int = 0

    @property
    def boot(self) -> Boot:
        """The start of the back end that is listed."""
        return Boot(self.born, self.address)


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
