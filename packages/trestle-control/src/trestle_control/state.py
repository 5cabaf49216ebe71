"""Tables of the control state.

The tables change only in apply functions, in log order, so every member
has the same tables after the same log index. The tables depend on no clock,
random number or setting: `clock_ms` is advanced by commands of the log.

Invariant: equal tables give equal snapshot bytes. Every table keeps its
insertion order, which the log determines.
"""

from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import convert

from trestle_control.registers import RegisterTable
from trestle_links.direct_messages import Backend
from trestle_links.fleet_messages import Order
from trestle_links.watch_messages import EndpointInfo


class SetRecord(NamedTuple):
    """An accepted version of the named set, without its content."""

    version: int
    digest: str
    operator: str
    published_ms: int
    log_index: int


class Withdrawal(NamedTuple):
    """The withdrawal of a host, and the incarnation that was serving."""

    host: str
    incarnation: str
    cause: str
    operator: str


class ContentRecord(NamedTuple):
    """The engine crashes during which a content was running."""

    content: str
    crash_ids: list[str]
    endpoints: list[str]
    request_ids: list[str]
    quarantined: bool
    # `HOST/INCARNATION` of the process that may run the content, and the
    # clock of the state when it was assigned.
    holder: str = ''
    held_ms: int = 0


class AuditRecord(NamedTuple):
    """A decision, its cause and the figures that it is based on."""

    log_index: int
    unix_ms: int
    kind: str
    cause: str
    detail: str


class Tables(NamedTuple):
    """A snapshot of every table."""

    clock_ms: int
    unix_ms: int
    attempt_floor: int
    registers: list[tuple[bytes, bytes]]
    versions: dict[int, SetRecord]
    set_content: bytes
    base_content: bytes
    endpoints: dict[str, EndpointInfo]
    withdrawals: dict[str, Withdrawal]
    past_incarnations: dict[str, list[str]]
    orders: dict[str, Order]
    wanted_roles: dict[str, str]
    loaded: dict[str, list[str]]
    contents: dict[str, ContentRecord]
    audit: dict[str, list[AuditRecord]]
    document_version: int = 0
    document: bytes = b''
    backends: list[Backend] = []
    usage_recorded: int = 0
    usage_confirmed: int = 0
    usage_waiting: dict[int, dict[str, int]] = {}


class ControlState:
    """The tables of the control state."""

    def __init__(self) -> None:
        """Start with the state before log index 1."""
        self.clock_ms = 0
        # Wall clock of the leader; shown to operators and never compared.
        self.unix_ms = 0
        # Highest attempt number of all dropped registers.
        self.attempt_floor = 0
        self.registers = RegisterTable()
        self.versions: dict[int, SetRecord] = {}
        self.set_content = b''
        # Content of the previous version, the base of patches.
        self.base_content = b''
        self.endpoints: dict[str, EndpointInfo] = {}
        self.withdrawals: dict[str, Withdrawal] = {}
        self.past_incarnations: dict[str, list[str]] = {}
        self.orders: dict[str, Order] = {}
        # Role from the last `set-role` order that each engine completed.
        self.wanted_roles: dict[str, str] = {}
        # What each engine reported at its start or has loaded by orders since,
        # as `KIND NAME`.
        self.loaded: dict[str, list[str]] = {}
        self.contents: dict[str, ContentRecord] = {}
        self.audit: dict[str, list[AuditRecord]] = {}
        # Route document of entries that dispatch directly; version 0 if none.
        self.document_version = 0
        self.document = b''
        self.backends: list[Backend] = []
        # The last window of usage that is recorded, the last one that the
        # platform has accepted, and the counts of those that wait for it.
        self.usage_recorded = 0
        self.usage_confirmed = 0
        self.usage_waiting: dict[int, dict[str, int]] = {}

    @property
    def current_set(self) -> SetRecord | None:
        """The version in force, or None before the first publication."""
        return next(reversed(self.versions.values()), None)

    @property
    def set_version(self) -> int:
        """The version in force; 0 before the first publication."""
        current = self.current_set
        return current.version if current else 0

    def pack(self) -> bytes:
        """Encode every table."""
        columns = [getattr(self, name) for name in Tables._fields]
        tables = Tables(*columns)._replace(
            registers=list(self.registers.packed.items())
        )
        packed: bytes = packb(tables, use_bin_type=True)
        return packed

    def unpack(self, packed: bytes) -> None:
        """Replace every table.

        Raises `ValueError` when the bytes are not a snapshot.
        """
        raw = unpackb(packed, raw=False, strict_map_key=False)
        tables = convert(raw, Tables)
        for name in Tables._fields:
            setattr(self, name, getattr(tables, name))
        self.registers = RegisterTable()
        self.registers.packed.update(tables.registers)
