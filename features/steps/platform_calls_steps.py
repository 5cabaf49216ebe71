"""Steps on calls to the platform that get no proper answer."""

from collections.abc import Callable
from contextlib import suppress
from itertools import count
from resource import RUSAGE_SELF, getrusage
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, sleep
from gevent.server import StreamServer
from gevent.socket import SO_LINGER, SOL_SOCKET, socket
from msgspec.json import encode

from trestle_control.backend_list import BackendListReader
from trestle_control.host_list import HostList, http_reader
from trestle_core.addresses import resolve_address
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend
from trestle_links.http_exchange import HttpReply, HttpRequest, fetch
from trestle_platform.caller_http import read_request
from trestle_platform.engine_caches import EngineCache
from trestle_platform.instance_list import read_backends
from trestle_platform.platform_calls import (
    CallReply,
    PlatformConnection,
    call_platform,
)

ANSWERS = {
    'nothing': b'',
    'garbage': b'\x00\x01 no answer at all\r\n\r\n',
    'half a head': b'HTTP/1.1 200 OK\r\nContent-Le',
    'a body that is cut': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}',
    'a body of 3 MB': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n' + b' ' * 3_000_000
    ),
    'an endless line': b'HTTP/1.1 200 ' + b'x' * 300_000,
}
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
BODY = b'{"instances":[],"next":null,"hosts":[]}'
CHUNK = b'%x\r\n%s\r\n' % (len(BODY), BODY)
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked\r\n'
REPLIES = {
    'a length': HEAD + LENGTH + BODY,
    'chunks': HEAD + CHUNKED + b'\r\n' + CHUNK + b'0\r\n\r\n',
    'chunks and trailers': (
        HEAD + CHUNKED + b'Trailer: A\r\n\r\n' + CHUNK + b'0\r\nA: b\r\n\r\n'
    ),
    'an interim answer': (
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' + HEAD + LENGTH + BODY
    ),
}
# `SO_LINGER` on, with no time: closing resets the connection.
RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'
# Time for bytes to arrive.
FLUSH_SECONDS = 0.002
LIMIT_SECONDS = 2.0

# What is sent again and again, and the pause after each time.
ENDLESS = {'in drops': (b'x', 0.2), 'in floods': (b'x' * 1_000_000, 0)}


def serve(context: Context, *answers: bytes) -> None:
    """Start a server that sends answers in turn, the last one on and on."""
    left = list(answers)

    def handle(sock: socket, _address: object) -> None:
        sock.recv(65_536)
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        sock.close()

    listen(context, handle)


def listen(context: Context, handle: Callable[[socket, object], None]) -> None:
    """Start a server."""
    server = StreamServer(('127.0.0.1', 0), handle)
    server.start()
    context.add_cleanup(server.stop)
    context.address = f'127.0.0.1:{server.server_port}'


@given('a server that answers {name}')
def step_server(context: Context, name: str) -> None:
    """Start a server with one of the answers."""
    serve(context, ANSWERS[name])


@then('a call to it raises an error of the connection')
def step_raises(context: Context) -> None:
    """Check the type of the error."""
    try:
        call_platform(context.address, 'GET', '/x')
    except OSError:
        return
    raise AssertionError('the call returned')


@given('a server whose answers do not end {how}')
def step_endless_server(context: Context, how: str) -> None:
    """Start a server whose reply has no end."""
    chunk, pause_seconds = ENDLESS[how]

    def handle(sock: socket, _address: object) -> None:
        with suppress(OSError):
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
            while True:
                sock.sendall(chunk)
                sleep(pause_seconds)

    server = StreamServer(('127.0.0.1', 0), handle)
    server.start()
    context.add_cleanup(server.stop)
    context.address = f'127.0.0.1:{server.server_port}'


@then('a call to it raises an error of the connection within {seconds:d} s')
def step_raises_soon(context: Context, seconds: int) -> None:
    """Check the type of the error and its time."""
    with Timeout(seconds):
        step_raises(context)


@given('a server that stops at any byte of a reply with {framing} and {ends}')
def step_cut(context: Context, framing: str, ends: str) -> None:
    """Stop within a reply."""
    serve_cuts(context, REPLIES[framing], ends)


@given('a server that stops at any byte of a reply without a length and resets')
def step_cut_endless(context: Context) -> None:
    """The same for a reply that has no end of its own."""
    serve_cuts(context, HEAD + b'\r\n' + BODY, 'resets')


def serve_cuts(context: Context, reply: bytes, ends: str) -> None:
    """Send a reply up to the place that the context names, and stop."""
    context.reply = reply

    def handle(sock: socket, _address: object) -> None:
        sock.recv(65_536)
        sock.sendall(reply[: context.place])
        if ends == 'resets':
            # A reset drops what the peer has not read yet.
            sleep(FLUSH_SECONDS)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
        sock.close()

    listen(context, handle)


def call_each(
    context: Context, call: Callable[[str], object]
) -> list[object | None]:
    """Call once for each place of a cut; None for calls that failed."""
    replies: list[object | None] = []
    for context.place in range(len(context.reply) + 1):
        try:
            replies.append(call(context.address))
        except (OSError, ValueError):
            replies.append(None)
    return replies


def call_as_platform(address: str) -> CallReply:
    """Make a call to the platform."""
    return call_platform(address, 'GET', '/x')


def call_as_endpoint(address: str) -> HttpReply:
    """Make a call as endpoints do to engines and services."""
    request = HttpRequest('GET', '/x')
    return fetch(lambda: resolve_address(address), request, LIMIT_SECONDS)


def read_host_list(address: str) -> HostList:
    """Read the list of hosts."""
    return http_reader(address)()


READERS: dict[str, tuple[Callable[[str], object], object]] = {
    'the platform': (call_as_platform, CallReply(200, BODY)),
    'an endpoint': (call_as_endpoint, HttpReply(200, BODY)),
    'the reader of hosts': (read_host_list, HostList([])),
}


@then('{reader} gets the whole reply after its last byte and else none')
def step_reader(context: Context, reader: str) -> None:
    """Check the replies of another client."""
    call, expected = READERS[reader]
    *cut, whole = call_each(context, call)
    taken = {place: reply for place, reply in enumerate(cut) if reply}
    assert not taken, taken
    assert whole == expected, whole


@given('a server that closes behind the head of a reply without a length')
def step_head_alone(context: Context) -> None:
    """Send nothing behind the head."""
    serve(context, HEAD + b'\r\n')


@then('a call of {reader} fails within {seconds:d} s')
def step_reader_fails(context: Context, reader: str, seconds: int) -> None:
    """Check the type of the error and its time."""
    call, _ = READERS[reader]
    context.memory_kb_before = getrusage(RUSAGE_SELF).ru_maxrss
    with Timeout(seconds):
        try:
            reply = call(context.address)
        except (OSError, ValueError):
            return
    raise AssertionError(f'it returned {reply!r:.200}')


@then('the process took less than {limit_mb:d} MB more')
def step_memory(context: Context, limit_mb: int) -> None:
    """Compare the peak with that before."""
    now_kb = getrusage(RUSAGE_SELF).ru_maxrss
    taken_mb = (now_kb - context.memory_kb_before) / 1024
    assert taken_mb < limit_mb, taken_mb


@then('a call to it returns the whole reply after its last byte and else fails')
def step_whole_only(context: Context) -> None:
    """Check the reply of each call."""
    *cut, whole = call_each(context, call_as_platform)
    taken = {place: reply for place, reply in enumerate(cut) if reply}
    assert not taken, taken
    assert whole == CallReply(200, BODY), whole


@then('each call to it fails')
def step_each_fails(context: Context) -> None:
    """Check that no call returned."""
    replies = call_each(context, call_as_platform)
    assert not any(replies), replies


@given('a server that sends each reply twice on a kept connection')
def step_twice(context: Context) -> None:
    """Answer with the number of the connection."""
    numbers = count(1)

    def handle(sock: socket, _address: object) -> None:
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d' % next(
            numbers
        )
        with suppress(ConnectionResetError):
            while sock.recv(65_536):
                sock.sendall(reply)
                sleep(FLUSH_SECONDS)
                sock.sendall(reply)

    listen(context, handle)


@then('the second call on a connection gets a reply of its own')
def step_two_calls(context: Context) -> None:
    """Check that what came behind the first reply is not taken for it."""
    connection = PlatformConnection(context.address)
    replies = []
    for _ in range(2):
        replies.append(connection.call('GET', '/x').body)
        sleep(2 * FLUSH_SECONDS)
    connection.close()
    assert replies == [b'1', b'2'], replies


@given('a server that lists a cache with one good entry among four bad ones')
def step_cache(context: Context) -> None:
    """Start a server with a cache list."""
    held = [
        ['', 'ab', 100, 'm'],
        ['', 'no part', 100, 'm'],
        ['', 'ac', 'many', 'm'],
        ['', 'ad'],
        None,
    ]
    body = encode({'epoch': 1, 'next': 7, 'held': held})
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    serve(context, head.encode() + body)


@then('the good entry is what the engine holds')
def step_good(context: Context) -> None:
    """Check the listing."""
    backend = Backend('e', 'llm', context.address, 'z', False, 'decode', 64)
    cache = EngineCache(backend, Mock())
    listing = cache.listing()
    cache.close()
    assert listing.cached == {0xAB: 100}, listing
    assert listing.next == 7, listing


@when('a leader reads its list of back ends there {times:d} times')
def step_read_list(context: Context, times: int) -> None:
    """Follow the list as a leader."""
    replica: Any = Mock(is_leader=True)
    machine: Any = Mock()
    context.reads = times
    context.listed = BackendListReader(
        lambda: read_backends(context.address), machine, replica, Metrics()
    )
    for _ in range(times):
        context.listed.refresh()


@then('each read counts as a failure')
def step_failures(context: Context) -> None:
    """Check that no read ended the reader."""
    assert context.listed.failed_reads == context.reads


@then('a request with "{text}" ms to wait gets the default time')
def step_default_time(_context: Context, text: str) -> None:
    """Decode a head with a number that is none."""
    headers = [
        ('Kingcuptrestle-Request-Id', 'r1'),
        ('Kingcuptrestle-Deadline-Ms', text),
    ]
    request = read_request('GET', '/', headers, b'', None)
    assert request.deadline - request.arrived_at == 30, request
