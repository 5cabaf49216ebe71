"""The interface of a model engine.

`EngineAdapter` is a tuple of functions through which the rest of this package
uses an engine. Supporting another engine interface takes only another
function that returns such a tuple. `engine_adapter` has the one for HTTP.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from msgspec import Struct, field


class EngineCompletion(NamedTuple):
    """A completion; the engine skips its first `resume_from` tokens."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    adapter: str
    kv_ticket: str


class EngineToken(NamedTuple):
    """One event of a stream; the last one has a finish reason.

    `number` is counted from 0 over the whole answer.
    """

    request_id: str
    number: int
    text: str
    finish_reason: str | None


class EngineStream(NamedTuple):
    """A running completion, as batches of events received together."""

    batches: Iterator[list[EngineToken]]
    close: Callable[[], None]


class EngineLoad(Struct, frozen=True):
    """A load report, which may lag behind the engine's state."""

    incarnation: str
    sequence: int
    queued: int
    running: int
    prefill_queue_tokens: int
    cache_pieces_used: int
    cache_pieces_total: int
    role: str


class EngineOrderState(Struct, frozen=True):
    """The last order that an engine accepted."""

    fencing: int
    kind: str
    state: str
    detail: str = ''


class EngineState(Struct, frozen=True):
    """The current state of an engine, without lag."""

    incarnation: str
    role: str
    model: str
    version: str
    adapters: list[str] = field(default_factory=list)
    order: EngineOrderState | None = None


class CacheEvent(Struct, frozen=True):
    """A change of the prefix cache: a piece was stored or evicted."""

    sequence: int
    kind: str
    piece: str


class CacheEvents(Struct, frozen=True):
    """Cache events of one incarnation; they may be late or have gaps."""

    incarnation: str
    events: list[CacheEvent]


class EngineOrder(NamedTuple):
    """An order in the form that is sent to the engine."""

    fencing: int
    kind: str
    argument: str


class EngineAdapter(NamedTuple):
    """The operations of an engine.

    All raise `ConnectFailedError` or `ExchangeBrokenError`, except
    `complete`, which raises `TrestleError` with a reliable verdict.
    `send_order` returns the code of a refusal, or an empty string; it calls
    its second argument right before the first byte and, if that returns
    false, sends nothing and raises `ConnectFailedError`.
    """

    complete: Callable[[EngineCompletion], EngineStream]
    cancel: Callable[[str], None]
    read_load: Callable[[], EngineLoad]
    read_state: Callable[[], EngineState]
    send_order: Callable[[EngineOrder, Callable[[], bool]], str]
    read_cache_events: Callable[[int], CacheEvents]
    export_kv: Callable[[str], str]
    import_kv: Callable[[str], bool]
