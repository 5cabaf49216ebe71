"""The interface of a model engine.

`EngineAdapter` is a tuple of plain functions; all else in this package uses
an engine through it, so another interface needs another maker of the tuple
and nothing more. The one over HTTP is in `engine_adapter`.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from msgspec import Struct, field


class EngineCompletion(NamedTuple):
    """A completion; `resume_from` tokens are skipped at the start."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    adapter: str
    kv_ticket: str


class EngineToken(NamedTuple):
    """One event of a stream; the last one carries a finish reason.

    `number` counts from 0 over the whole answer.
    """

    request_id: str
    number: int
    text: str
    finish_reason: str | None


class EngineStream(NamedTuple):
    """A running completion: batches of the events that wait together."""

    batches: Iterator[list[EngineToken]]
    close: Callable[[], None]


class EngineLoad(Struct, frozen=True):
    """A lagging load report."""

    incarnation: str
    sequence: int
    queued: int
    running: int
    prefill_queue_tokens: int
    cache_pieces_used: int
    cache_pieces_total: int
    role: str


class EngineOrderState(Struct, frozen=True):
    """The order that an engine took last."""

    fencing: int
    kind: str
    state: str
    detail: str = ''


class EngineState(Struct, frozen=True):
    """The present state of an engine; it does not lag."""

    incarnation: str
    role: str
    model: str
    version: str
    adapters: list[str] = field(default_factory=list)
    order: EngineOrderState | None = None


class CacheEvent(Struct, frozen=True):
    """A piece that was stored in the prefix cache or evicted from it."""

    sequence: int
    kind: str
    piece: str


class CacheEvents(Struct, frozen=True):
    """Cache events of one incarnation; late and with gaps."""

    incarnation: str
    events: list[CacheEvent]


class EngineOrder(NamedTuple):
    """An order as the engine takes it."""

    fencing: int
    kind: str
    argument: str


class EngineAdapter(NamedTuple):
    """The calls of an engine.

    All raise `ConnectFailedError` or `ExchangeBrokenError`, but `complete`,
    which raises `TrestleError` with a true verdict. `send_order` returns the
    code of a refusal, or an empty text; it asks its second argument right
    before the first byte and sends nothing when that is false.
    """

    complete: Callable[[EngineCompletion], EngineStream]
    cancel: Callable[[str], None]
    read_load: Callable[[], EngineLoad]
    read_state: Callable[[], EngineState]
    send_order: Callable[[EngineOrder, Callable[[], bool]], str]
    read_cache_events: Callable[[int], CacheEvents]
    export_kv: Callable[[str], str]
    import_kv: Callable[[str], bool]
