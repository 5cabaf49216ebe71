"""What direct dispatch needs of a platform's HTTP, as types and functions.

The platform's names stand behind `CallerWire` and `BackendWire`; nothing
here or in a decision knows a header name.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

Headers = list[tuple[str, str]]

# HTTP status codes that the system itself answers or tells apart.
OK: Final = 200
MULTIPLE_CHOICES: Final = 300
MISDIRECTED: Final = 421
SERVER_ERROR: Final = 500
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503


class PromptPart(NamedTuple):
    """A part of a prompt: its id and its size in tokens."""

    part_id: int
    tokens: int


class ModelDemand(NamedTuple):
    """What a model request says of its size; tokens."""

    model: str
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """A request as it was received.

    `target` is the path with its query, byte for byte; `forwarded` are the
    headers that pass on; `arrived` is monotonic seconds and `deadline` the
    time after which the caller does not wait, by the same clock.
    """

    request_id: str
    method: str
    host: str
    target: str
    forwarded_headers: Headers
    body: bytes
    demand: ModelDemand | None
    resume_from: str
    arrived_at: float
    deadline: float
    socket: Any


class SendOptions(NamedTuple):
    """What the system adds to a request that it sends to a back end.

    `kv_source` names memory to go on from, `fetch_from` is the address of an
    engine whose memory of the prompt is copied first.
    """

    instance: str
    remaining_ms: int
    is_prefill: bool = False
    kv_source: str = ''
    fetch_from: str = ''
    priority: int = -1
    resume_from: str = ''


class AnswerHead(NamedTuple):
    """The head of a back end's answer.

    `refused` says that the back end did not run the request and never will;
    `sealed` that the answer carries the back end's digest; `idle_seconds` is
    how long it keeps an idle connection, 0 if it does not say.
    """

    status: int
    request_id: str
    is_sealed: bool
    is_declined: bool
    is_encoded: bool
    closes_connection: bool
    idle_seconds: float
    forwarded_headers: Headers


class CallerWire(NamedTuple):
    """How a platform's callers speak.

    `read_request` takes method, raw target, headers, body and the socket;
    it raises `TrestleError` when the head cannot be used.
    """

    read_request: Callable[[str, str, Headers, bytes, Any], CallerRequest]
    own_headers: Callable[[str], Headers]
    retry_after: Callable[[float], tuple[str, str]]


class BackendWire(NamedTuple):
    """How a platform's back ends speak."""

    send_headers: Callable[[CallerRequest, SendOptions], Headers]
    read_head: Callable[[int, Headers], AnswerHead]
    read_handle: Callable[[bytes], str]
    free_path: Callable[[str], str]
