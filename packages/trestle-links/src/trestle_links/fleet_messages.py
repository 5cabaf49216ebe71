"""Commands on the named set, endpoints, orders and crashes; codes 60 to 79.

Each is one log entry. The index of an order's entry is its fencing number.
"""

from enum import Enum
from typing import NamedTuple

from trestle_links.codec import message


class OrderState(str, Enum):
    """Progress of an engine order."""

    ISSUED = 'issued'
    DONE = 'done'
    FAILED = 'failed'


class Order(NamedTuple):
    """An order to one engine; `kind` is set-role, load-model or load-adapter."""

    fencing: int
    endpoint: str
    kind: str
    argument: str
    state: OrderState
    cause: str


@message(60)
class PublishSet(NamedTuple):
    """Publish a named set; `content` is canonical JSON, `digest` its digest."""

    version: int
    digest: str
    content: bytes
    operator: str


@message(61)
class PublishReply(NamedTuple):
    """`accepted` also for a resend; `winner` is the digest that stands."""

    accepted: bool
    version: int
    winner: str
    winner_operator: str


@message(62)
class AdmitEndpoint(NamedTuple):
    """A new incarnation of an endpoint process asks to serve.

    `incarnation` is new at each start of the process.
    """

    host: str
    incarnation: str
    zone: str
    address: str
    target_kind: str
    target: str
    engine_role: str


@message(63)
class AdmitReply(NamedTuple):
    """`admitted`, or the code of the refusal; the outstanding order if any."""

    admitted: bool
    code: str
    order: Order | None
    fencing: int
    engine_role: str


@message(64)
class WithdrawEndpoint(NamedTuple):
    """Take an endpoint out of service; its incarnation is not re-admitted."""

    host: str
    cause: str
    operator: str


@message(65)
class RestoreEndpoint(NamedTuple):
    """End a withdrawal."""

    host: str
    cause: str
    operator: str


@message(66)
class IssueOrder(NamedTuple):
    """Order one engine; refused while another order is outstanding."""

    endpoint: str
    kind: str
    argument: str
    cause: str


@message(67)
class OrderReply(NamedTuple):
    """The order, or why it was not issued."""

    accepted: bool
    code: str
    order: Order | None


@message(68)
class ReportOrder(NamedTuple):
    """An endpoint process reports the end of an order."""

    endpoint: str
    incarnation: str
    fencing: int
    state: OrderState
    detail: str


@message(69)
class ReportCrash(NamedTuple):
    """An engine crashed while these contents ran on it."""

    endpoint: str
    crash_id: str
    contents: list[str]
    request_ids: list[str]


@message(70)
class CrashReply(NamedTuple):
    """The contents that are now suspects and those quarantined."""

    suspects: list[str]
    quarantined: list[str]


@message(71)
class ReleaseContent(NamedTuple):
    """An operator ends a quarantine."""

    content: str
    cause: str
    operator: str


@message(72)
class CommandReply(NamedTuple):
    """The reply of commands without a reply of their own."""

    accepted: bool
    code: str
    text: str


@message(73)
class ClearSuspect(NamedTuple):
    """A suspect's answer finished: it did not crash the engine."""

    content: str
    request_id: str
