"""Steps on calls to the platform that get no proper answer."""

from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context
from gevent.server import StreamServer
from gevent.socket import socket
from msgspec.json import encode

from trestle_control.backend_list import BackendListReader
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend
from trestle_platform.caller_http import read_request
from trestle_platform.engine_caches import EngineCache
from trestle_platform.instance_list import read_backends
from trestle_platform.platform_calls import call_platform

ANSWERS = {
    'nothing': b'',
    'garbage': b'\x00\x01 no answer at all\r\n\r\n',
    'half a head': b'HTTP/1.1 200 OK\r\nContent-Le',
    'a body that is cut': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}',
    'an endless line': b'HTTP/1.1 200 ' + b'x' * 300_000,
}


def serve(context: Context, *answers: bytes) -> None:
    """Start a server that sends answers in turn, the last one on and on."""
    left = list(answers)

    def handle(sock: socket, _address: object) -> None:
        sock.recv(65_536)
        sock.sendall(left.pop(0) if len(left) > 1 else left[0])
        sock.close()

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
