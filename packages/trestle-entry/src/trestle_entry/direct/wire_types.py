"""Types and functions that a platform's HTTP provides to direct dispatch.

Header names are hidden behind `CallerWire` and `BackendWire`; direct dispatch
itself does not use any.
"""

from collections.abc import Callable
from math import inf
from typing import Any, Final, NamedTuple

from trestle_core.customers import Customer, PresentedKey

Headers = list[tuple[str, str]]

# HTTP status codes that the system itself sends or distinguishes.
OK: Final = 200
MULTIPLE_CHOICES: Final = 300
UNAUTHORIZED: Final = 401
MISDIRECTED: Final = 421
SERVER_ERROR: Final = 500
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503


class PromptPart(NamedTuple):
    """A part of a prompt: its id and its size in tokens."""

    part_id: int
    tokens: int


class ModelDemand(NamedTuple):
    """The model of a request, and its size in tokens."""

    model: str
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """A request as it was received.

    `target` is the path with its query, byte for byte. `forwarded_headers` are
    sent on to the back end. A caller that takes up a stream names in
    `resume_from` the last event that it has, and in `resumed_request` the attempt
    that brought it the first one. Times are in monotonic seconds: after `deadline`
    no answer is wanted, after `waits_until` the caller itself stops waiting.
    `customer` is known once the entry has found whose `key` it is.
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
    resumed_request: str = ''
    waits_until: float = 0.0
    key: PresentedKey = PresentedKey()
    customer: Customer | None = None


class SendOptions(NamedTuple):
    """Options that the entry adds to a request to a back end.

    `kv_source` names the KV cache to decode from; `fetch_from` is the address
    of an engine from which cached parts of the prompt are copied first.
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

    `is_declined` means that the back end did not run the request and never
    will, `is_sealed` that the answer has the back end's digest. `idle_seconds`
    is the time for which it keeps an idle connection, 0 if not announced.
    `rate_limit` is the requests a second that it takes from all entries
    together, infinite if it names no limit. `is_leaving` tells that it is about
    to stop, `rest_seconds` for how long it wants nothing from this entry, 0 if
    it does not say so.
    """

    status: int
    request_id: str
    is_sealed: bool
    is_declined: bool
    is_encoded: bool
    closes_connection: bool
    idle_seconds: float
    forwarded_headers: Headers
    rate_limit: float = inf
    is_leaving: bool = False
    rest_seconds: float = 0.0


class CallerWire(NamedTuple):
    """The protocol between a platform's callers and the entry.

    `read_request` takes method, raw target, headers, body and the socket;
    it raises `TrestleError` if the head is invalid. `without_credentials`
    drops from headers what tells or claims whose a request is.
    """

    read_request: Callable[[str, str, Headers, bytes, Any], CallerRequest]
    own_headers: Callable[[str], Headers]
    retry_after: Callable[[float], tuple[str, str]]
    without_credentials: Callable[[Headers], Headers]


class BackendWire(NamedTuple):
    """The protocol between the entry and a platform's back ends."""

    send_headers: Callable[[CallerRequest, SendOptions], Headers]
    read_head: Callable[[int, Headers], AnswerHead]
    read_handle: Callable[[bytes], str]
    free_path: Callable[[str], str]
