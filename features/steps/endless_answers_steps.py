"""Steps on bytes that come without a pause and without end."""

from collections.abc import Callable
from contextlib import suppress
from io import BytesIO
from time import monotonic, process_time
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, sleep, spawn
from gevent.socket import create_connection
from gevent.subprocess import PIPE, Popen

from testbed.endless_streams import EndlessStreams
from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BackendConnection,
    BrokenAnswerError,
)
from trestle_entry.request_bodies import BodyReader
from trestle_entry.request_heads import BodyFraming
from trestle_links.direct_messages import Backend
from trestle_platform.engine_caches import EngineCache
from trestle_platform.platform_calls import CallReply

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# The beginning of an answer, and what comes again and again.
ENDLESS = {
    'a body': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 65_536),
    'a body in tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 10_000),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: more\r\n' * 4000),
    'chunk extensions': (CHUNKED + b'1', b';extension=more' * 4000),
}
# Writes in a process of its own, so that it never waits for the reader's code.
SENDER = """
import socket, sys
begin, more = (bytes.fromhex(word) for word in sys.stdin.read().split())
listener = socket.create_server(('127.0.0.1', 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
try:
    connection.sendall(begin)
    while True:
        connection.sendall(more)
except OSError:
    pass
"""
PAUSE_SECONDS = 0.01


@given('a back end that sends {what} without a pause')
def step_sender(context: Context, what: str) -> None:
    """Start the process that sends."""
    begin, more = ENDLESS[what]
    sender: Any = Popen(['python3', '-c', SENDER], stdin=PIPE, stdout=PIPE)
    context.add_cleanup(sender.wait)
    context.add_cleanup(sender.kill)
    sender.stdin.write(f'{begin.hex()} {more.hex()}'.encode())
    sender.stdin.close()
    context.port = int(sender.stdout.readline())


@when('its answer is read with a limit of {seconds:f} seconds')
def step_read(context: Context, seconds: float) -> None:
    """Read the answer beside a greenlet that wakes again and again."""
    context.wakes = 0

    def wake() -> None:
        while True:
            sleep(PAUSE_SECONDS)
            context.wakes += 1

    waker = spawn(wake)
    sock = create_connection(('127.0.0.1', context.port))
    connection = BackendConnection(sock, '127.0.0.1', 'i-1')
    started_at = monotonic()
    with suppress(Timeout, BrokenAnswerError), Timeout(seconds):
        read_for_good(connection)
    context.seconds = monotonic() - started_at
    sleep(max(0.0, seconds - context.seconds))
    waker.kill()
    connection.close()


def read_for_good(connection: BackendConnection) -> None:
    """Read as a stream is relayed: what was parsed is passed on."""
    answer: Any = BackendAnswer('POST')
    while True:
        connection.read_more(answer)
        answer.drain_body()


@then('the read ends within {seconds:d} second')
def step_ends(context: Context, seconds: int) -> None:
    """Check that its time limit came through."""
    assert context.seconds < seconds, context.seconds


@then(
    'a greenlet that wakes each 10 ms woke at least {times:d} times meanwhile'
)
def step_woke(context: Context, times: int) -> None:
    """Check that others ran."""
    assert context.wakes >= times, context.wakes


@given('an entry whose engines send {what} without end')
def step_endless_streams(context: Context, what: str) -> None:
    """Start the entry and its back ends."""
    context.streams = EndlessStreams(what)
    context.add_cleanup(context.streams.stop)


@when('{callers:d} callers read streams and {lookups:d} lookups are made')
def step_lookups(context: Context, callers: int, lookups: int) -> None:
    """Call lookups one after another once the streams run."""
    streams = context.streams
    streams.open_streams(callers)
    while not streams.received_bytes:
        sleep(PAUSE_SECONDS)
    context.received_before = streams.received_bytes
    context.times = streams.time_lookups(lookups)


@then('each lookup took less than {limit_ms:d} ms of processor time')
def step_lookup_times(context: Context, limit_ms: int) -> None:
    """Check the slowest one."""
    slowest_ms = max(context.times) * 1000
    assert slowest_ms < limit_ms, slowest_ms


@then('the streams went on meanwhile')
def step_streams_go_on(context: Context) -> None:
    """Check that the lookups were not served at the cost of all streams."""
    assert context.streams.received_bytes > context.received_before


@given('a body of {chunks:d} chunks of one byte that has arrived')
def step_body(context: Context, chunks: int) -> None:
    """Hold the bytes of the body."""
    framing = BodyFraming(0, is_chunked=True)
    arrived = BytesIO(b'1\r\nx\r\n' * chunks + b'0\r\n\r\n')
    context.body = BodyReader(arrived, framing, None)
    context.chunks = chunks


@given("a listing of an engine's cache with {entries:d} odd entries")
def step_listing(context: Context, entries: int) -> None:
    """Let the engine reply with a page of numbers."""
    page = b'{"epoch":1,"next":1,"held":[%s]}' % b','.join([b'1'] * entries)
    engine = Backend('e', 'llm', '127.0.0.1:1', 'z', False, 'decode', 8)
    context.cache = EngineCache(engine, Mock())
    context.cache.connection = Mock()
    context.cache.connection.call.return_value = CallReply(200, page)


@when('it is read beside a greenlet that wakes each 10 ms')
def step_read_body(context: Context) -> None:
    """Read the body to its end."""
    context.woke_at = wakes_beside(lambda: context.body.read(context.chunks))


@when('the listing is read beside a greenlet that wakes each 10 ms')
def step_read_listing(context: Context) -> None:
    """Read all entries."""
    context.woke_at = wakes_beside(context.cache.listing)


def wakes_beside(work: Callable[[], object]) -> list[float]:
    """Return when a greenlet woke while the work was done, and its end.

    In seconds of this process, which others on the machine do not lengthen.
    """
    woke_at = []

    def wake() -> None:
        while True:
            woke_at.append(process_time())
            sleep(PAUSE_SECONDS)

    waker = spawn(wake)
    sleep(0)
    work()
    woke_at.append(process_time())
    waker.kill()
    return woke_at


@then('no two wakes were more than {limit_ms:d} ms of processor time apart')
def step_wakes(context: Context, limit_ms: int) -> None:
    """Check the longest time in which nothing else ran."""
    pairs = zip(context.woke_at, context.woke_at[1:], strict=False)
    longest_ms = max(later - earlier for earlier, later in pairs) * 1000
    assert longest_ms < limit_ms, longest_ms
