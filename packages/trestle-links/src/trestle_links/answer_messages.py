"""Dispatch and answers between entry and endpoint processes; codes 20 to 29.

Every message of an answer carries the permit and the request id. A receiver
drops and counts a message whose ids do not match its own.
"""

from typing import NamedTuple

from trestle_core.verdict import Verdict
from trestle_links.codec import message
from trestle_links.permit_messages import Permit


@message(20)
class DispatchCompletion(NamedTuple):
    """Start a completion; the channel then carries its answer.

    `resume_from` is the number of tokens that the caller already has.
    `left_ms` is the time to the deadline.
    """

    permit: Permit
    request_id: str
    caller: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    left_ms: int
    resume_from: int = 0
    adapter: str = ''
    kv_ticket: str = ''
    content_digest: str = ''


@message(21)
class AnswerTokens(NamedTuple):
    """Consecutive tokens; `first` is the index of the first one."""

    permit: Permit
    request_id: str
    first: int
    tokens: list[str]


@message(22)
class AnswerEnd(NamedTuple):
    """The engine's finish marker: the answer is whole.

    `total` is the number of tokens of the whole answer.
    """

    permit: Permit
    request_id: str
    total: int
    finish_reason: str
    kv_ticket: str = ''


@message(23)
class AnswerFailed(NamedTuple):
    """The answer ended without its finish marker."""

    permit: Permit
    request_id: str
    total: int
    code: str
    text: str
    verdict: Verdict


@message(24)
class AnswerResume(NamedTuple):
    """Continue an answer on a new channel after the link broke."""

    permit: Permit
    request_id: str
    next_token: int


@message(25)
class AnswerAck(NamedTuple):
    """Tokens below `next_token` arrived; their buffer may be freed."""

    permit: Permit
    request_id: str
    next_token: int


@message(26)
class DispatchCall(NamedTuple):
    """Start one call of a plain service.

    `claimed` tells that a claim is committed for the key and that the
    outcome has to be committed as well.
    """

    permit: Permit
    request_id: str
    caller: str
    service: str
    operation: str
    key: str
    body: bytes
    left_ms: int
    claimed: bool


@message(27)
class CallAnswer(NamedTuple):
    """The outcome of a service call."""

    permit: Permit
    request_id: str
    verdict: Verdict
    status: int
    body: bytes
    code: str = ''
