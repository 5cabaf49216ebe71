"""Steps on answers that end early, and on statuses that are none."""

from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context

from testbed.cut_answers import LONG_STREAM, LOOKUP, STREAM
from testbed.early_answers import (
    BOOKING,
    EarlyAnswers,
    part_then,
    refuse,
    whole_after_request,
    whole_before_request,
    with_status,
)
from trestle_core.addresses import resolve_address
from trestle_links.http_exchange import HttpRequest, fetch
from trestle_platform.platform_calls import call_platform

PATHS = {
    'a lookup': LOOKUP,
    'a booking': BOOKING,
    'a stream': STREAM,
    'a long stream': LONG_STREAM,
}
STATUSES = ('000', '0', '099', '20', '101', '600', '999', '2000', '-200')
SMALL_BYTES = 300
LIMIT_SECONDS = 5.0


def start(context: Context, *serve: Callable[..., None]) -> None:
    """Start the entry and back ends that serve so."""
    context.answers = EarlyAnswers()
    context.add_cleanup(context.answers.stop)
    context.answers.list_backends(*serve)


@given('an entry and a back end that answers in part and {ends}')
def step_part(context: Context, ends: str) -> None:
    """Start a back end that ends its connection so."""
    start(context, part_then(ends))


@given('an entry and a back end that reads all and closes')
def step_whole(context: Context) -> None:
    """Start a sound back end without lengths."""
    start(context, whole_after_request)


@given('an entry, a back end that turns requests away and a sound one')
def step_refusing(context: Context) -> None:
    """Start a back end that has no room, and another one."""
    start(context, refuse, whole_after_request)


@given('an entry and a back end that answers before it reads on')
def step_reads_later(context: Context) -> None:
    """Start a back end that keeps its connections."""
    start(context, whole_before_request)


def call_times(context: Context, times: int, kind: str, sizes: str) -> None:
    """Call so often with each size."""
    context.got = []
    context.seconds = []
    for size in sizes.replace(' and ', ', ').split(', '):
        for _ in range(times):
            call_once(context, kind, int(size))


@when('callers make {times:d} calls for {kind} with each of {sizes} bytes')
def step_calls(context: Context, times: int, kind: str, sizes: str) -> None:
    """Call so often with each size."""
    call_times(context, times, kind, sizes)


@then('no caller got a success that looks whole')
def step_none_whole(context: Context) -> None:
    """Check what callers can tell."""
    wrong = [got for got in context.got if got.status == 200 and got.whole]
    assert not wrong, (len(wrong), len(context.got), wrong[0])


@then('each caller got a success that looks whole')
def step_all_whole(context: Context) -> None:
    """Check that nothing was refused or broken off."""
    wrong = [got for got in context.got if got.status != 200 or not got.whole]
    assert not wrong, (len(wrong), len(context.got), wrong[0])


@given('an entry and a back end with foreign statuses')
def step_foreign(context: Context) -> None:
    """Let calls name the status."""
    context.status = STATUSES[0]
    start(context, partial(serve_status, context))


@given('an entry, a back end with foreign statuses and a sound one')
def step_foreign_two(context: Context) -> None:
    """The same with another back end."""
    context.status = STATUSES[0]
    start(context, partial(serve_status, context), whole_after_request)


@given('an engine whose statuses are foreign reads prompts, and another one')
def step_foreign_prefill(context: Context) -> None:
    """The same with engines that read prompts only."""
    context.status = STATUSES[0]
    start(context, partial(serve_status, context), whole_after_request)
    context.answers.split_roles()


def serve_status(context: Context, sock: Any, head: str) -> None:
    """Answer with the status of the moment, if need be behind a sound one."""
    with_status(context.status, context.framing)(sock, head)


@when(
    'callers make a call for {kind} with each status, on new and kept '
    'connections'
)
def step_status_calls(context: Context, kind: str) -> None:
    """Call with each status, with and without a length."""
    context.got = []
    context.seconds = []
    for context.framing in ('', 'a length'):
        for status in STATUSES:
            if context.framing:
                # A sound answer comes first on the connection.
                context.status = '200'
                context.answers.call(PATHS[kind], SMALL_BYTES)
            context.status = status
            call_once(context, kind)


@when('callers make a call for {kind} with each status')
def step_status_calls_new(context: Context, kind: str) -> None:
    """Call with each status."""
    context.got = []
    context.seconds = []
    context.framing = 'a length'
    for context.status in STATUSES:
        call_once(context, kind)


@then('each call took less than {limit_ms:d} ms')
def step_call_times(context: Context, limit_ms: int) -> None:
    """Check the slowest call."""
    assert max(context.seconds) * 1000 < limit_ms, context.seconds


def call_once(context: Context, kind: str, size: int = SMALL_BYTES) -> None:
    """Call, and note the answer and its time."""
    began_at = monotonic()
    context.got.append(context.answers.call(PATHS[kind], size))
    context.seconds.append(monotonic() - began_at)


@then('each caller got 502 within {seconds:d} second')
def step_502(context: Context, seconds: int) -> None:
    """Check status and time of each call."""
    assert {got.status for got in context.got} == {502}, context.got
    assert max(context.seconds) < seconds, context.seconds


def call_as_platform(address: str, size: int) -> Any:
    """Make a call of the system's own."""
    return call_platform(address, 'POST', '/x', b'x' * size)


def call_as_endpoint(address: str, size: int) -> Any:
    """Make a call as endpoint processes do."""
    request = HttpRequest('POST', '/x', b'x' * size)
    return fetch(lambda: resolve_address(address), request, LIMIT_SECONDS)


READERS = {'the platform': call_as_platform, 'an endpoint': call_as_endpoint}


@given('a server that replies in part and {ends}')
def step_server_part(context: Context, ends: str) -> None:
    """Start a server of its own."""
    start(context, part_then(ends))


@given('a server with foreign statuses')
def step_server_status(context: Context) -> None:
    """Start a server of its own."""
    context.framing = 'a length'
    context.status = STATUSES[0]
    start(context, partial(serve_status, context))


def call_server(context: Context, reader: str, size: int) -> Any:
    """Make one call; None if it fails."""
    address = f'127.0.0.1:{context.answers.servers[0].server_port}'
    try:
        return READERS[reader](address, size)
    except OSError:
        return None


@then('each of {times:d} calls of {reader} with {size:d} bytes fails')
def step_readers_fail(
    context: Context, times: int, reader: str, size: int
) -> None:
    """Check that nothing was taken for a reply."""
    replies = [call_server(context, reader, size) for _ in range(times)]
    assert not any(replies), replies


@then('a call of {reader} fails within {seconds:d} second for each status')
def step_status_readers(context: Context, reader: str, seconds: int) -> None:
    """Check that no status was taken."""
    for context.status in STATUSES:
        began_at = monotonic()
        reply = call_server(context, reader, SMALL_BYTES)
        assert reply is None, (context.status, reply)
        assert monotonic() - began_at < seconds, context.status
