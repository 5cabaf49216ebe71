"""Answers of model requests in the format that OpenAI clients read.

One server-sent event carries all tokens that arrived together; only the text
is encoded for each event, the rest of the event is made once.
"""

from collections.abc import Iterator
from contextlib import closing
from time import time
from typing import Any

from msgspec.json import encode

from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.caller_requests import ModelRequest
from trestle_entry.caller_watch import CallerGoneError
from trestle_entry.completions import Completion
from trestle_entry.http_types import (
    EVENT_STREAM_TYPE,
    STATUS_OK,
    HttpReply,
    error_body,
    json_reply,
    verdict_headers,
)

_MARK = '@text@'


def whole_reply(
    request: ModelRequest, completion: Completion, text: str
) -> HttpReply:
    """Return the answer of a request that is not streamed."""
    finish = completion.finish
    assert finish is not None
    content: dict[str, Any] = {
        'id': request.request_id,
        'object': 'chat.completion' if request.chat else 'text_completion',
        'created': int(time()),
        'model': request.route,
        'choices': [_whole_choice(request, text, finish.finish_reason)],
        'usage': {
            'prompt_tokens': request.prompt_tokens,
            'completion_tokens': finish.total,
            'total_tokens': request.prompt_tokens + finish.total,
        },
    }
    headers = verdict_headers(request.request_id, Verdict.RAN)
    return json_reply(content, *headers)


def stream_reply(
    request: ModelRequest,
    completion: Completion,
    first: list[str],
    batches: Iterator[list[str]],
) -> HttpReply:
    """Return a streamed answer whose first tokens are here."""
    headers = [
        ('Content-Type', EVENT_STREAM_TYPE),
        ('Cache-Control', 'no-cache'),
        *verdict_headers(request.request_id, Verdict.RAN),
    ]
    events = _events(request, completion, first, batches)
    return HttpReply(STATUS_OK, headers, events)


def _events(
    request: ModelRequest,
    completion: Completion,
    first: list[str],
    batches: Iterator[list[str]],
) -> Iterator[bytes]:
    before, after = _event_frame(request)
    with closing(batches):  # type: ignore[type-var]
        try:
            yield before + encode(''.join(first)) + after
            for tokens in batches:
                yield before + encode(''.join(tokens)) + after
        except CallerGoneError:
            raise
        except TrestleError as error:
            completion.record.code = error.code.code
            completion.record.verdict = error.verdict
            yield _data(error_body(error))
            return
    yield _finish_event(request, completion)
    yield b'data: [DONE]\n\n'


def _event_frame(request: ModelRequest) -> tuple[bytes, bytes]:
    """Return what stands before and after the text of each event."""
    event = _data(_chunk(request, _MARK, None))
    before, _, after = event.partition(encode(_MARK))
    return before, after


def _finish_event(request: ModelRequest, completion: Completion) -> bytes:
    finish = completion.finish
    reason = finish.finish_reason if finish else 'error'
    chunk = _chunk(request, '', reason)
    chunk['verdict'] = Verdict.RAN.value
    return _data(chunk)


def _chunk(
    request: ModelRequest,
    text: str,
    finish_reason: str | None,
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if request.chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {
        'id': request.request_id,
        'object': 'chat.completion.chunk'
        if request.chat
        else 'text_completion',
        'created': int(time()),
        'model': request.route,
        'choices': [choice],
    }


def _whole_choice(
    request: ModelRequest, text: str, finish_reason: str
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return choice


def _data(content: dict[str, Any]) -> bytes:
    return b'data: ' + encode(content) + b'\n\n'
