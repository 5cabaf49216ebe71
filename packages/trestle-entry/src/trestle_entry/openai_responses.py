"""Responses to model requests in the OpenAI format.

One server-sent event carries all tokens that arrived together. Only the text
is encoded per event; the rest of the event is encoded once per answer.
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
from trestle_entry.completion_runner import Completion
from trestle_entry.http_types import (
    EVENT_STREAM_TYPE,
    STATUS_OK,
    HttpResponse,
    error_body,
    json_response,
    verdict_headers,
)

_TEXT_PLACEHOLDER = '@text@'


def complete_response(
    request: ModelRequest, completion: Completion, text: str
) -> HttpResponse:
    """Return the response to a request that is not streamed."""
    finish = completion.finish
    assert finish is not None
    content: dict[str, Any] = {
        'id': request.request_id,
        'object': 'chat.completion' if request.chat else 'text_completion',
        'created': int(time()),
        'model': request.route,
        'choices': [_complete_choice(request, text, finish.finish_reason)],
        'usage': {
            'prompt_tokens': request.prompt_tokens,
            'completion_tokens': finish.total_tokens,
            'total_tokens': request.prompt_tokens + finish.total_tokens,
        },
    }
    headers = verdict_headers(request.request_id, Verdict.RAN)
    return json_response(content, *headers)


def stream_response(
    request: ModelRequest,
    completion: Completion,
    first_tokens: list[str],
    batches: Iterator[list[str]],
) -> HttpResponse:
    """Return a streamed response that starts with `first_tokens`."""
    headers = [
        ('Content-Type', EVENT_STREAM_TYPE),
        ('Cache-Control', 'no-cache'),
        *verdict_headers(request.request_id, Verdict.RAN),
    ]
    events = _events(request, completion, first_tokens, batches)
    return HttpResponse(STATUS_OK, headers, events)


def _events(
    request: ModelRequest,
    completion: Completion,
    first_tokens: list[str],
    batches: Iterator[list[str]],
) -> Iterator[bytes]:
    before, after = _event_template(request)
    with closing(batches):  # type: ignore[type-var]
        try:
            yield before + encode(''.join(first_tokens)) + after
            for tokens in batches:
                yield before + encode(''.join(tokens)) + after
        except CallerGoneError:
            raise
        except TrestleError as error:
            completion.record.note_failure(error)
            yield _server_sent_event(error_body(error))
            return
    yield _finish_event(request, completion)
    yield b'data: [DONE]\n\n'


def _event_template(request: ModelRequest) -> tuple[bytes, bytes]:
    """Return the bytes before and after the text of each event."""
    event = _server_sent_event(_chunk(request, _TEXT_PLACEHOLDER, None))
    before, _, after = event.partition(encode(_TEXT_PLACEHOLDER))
    return before, after


def _finish_event(request: ModelRequest, completion: Completion) -> bytes:
    finish = completion.finish
    reason = finish.finish_reason if finish else 'error'
    chunk = _chunk(request, '', reason)
    chunk['verdict'] = Verdict.RAN.value
    return _server_sent_event(chunk)


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


def _complete_choice(
    request: ModelRequest, text: str, finish_reason: str
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return choice


def _server_sent_event(content: dict[str, Any]) -> bytes:
    return b'data: ' + encode(content) + b'\n\n'
