"""Steps on callers' connections at a planned stop, on a real socket."""

from collections.abc import Iterator
from socket import create_connection as create_blocking_connection
from time import monotonic
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import sleep
from gevent.event import Event
from gevent.socket import create_connection, socket

from testbed.direct_fixtures import make_caller_server
from trestle_entry.caller_watch import cancel_when_gone
from trestle_entry.direct import caller_server
from trestle_entry.direct.caller_server import CallerServer
from trestle_entry.direct.replies import DirectReply

REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKS = [('Transfer-Encoding', 'chunked')]
LIMIT_SECONDS = 2.0


def start(context: Context) -> None:
    """Start a server, and a caller whose first request was answered."""
    context.server = make_caller_server(wire=None)
    context.ended = Event()

    def body(sock: Any) -> Iterator[bytes]:
        with cancel_when_gone(sock):
            yield b'first'
            context.ended.wait(LIMIT_SECONDS)
            # Time in which a caller that seems to have left would be noticed.
            sleep(0.05)
            yield b'last'

    def serve(_context: Any, incoming: Any) -> DirectReply:
        return DirectReply(200, list(CHUNKS), body(incoming.socket))

    patched = patch.object(caller_server, 'serve', serve)
    patched.start()
    context.add_cleanup(patched.stop)
    context.server.start()
    context.add_cleanup(context.server.stop, 0)
    address = ('127.0.0.1', context.server.bound().port)
    context.caller = create_connection(address, LIMIT_SECONDS)
    context.add_cleanup(context.caller.close)


def read_until(context: Context, mark: bytes) -> bytes:
    """Read up to a mark."""
    got = b''
    while mark not in got:
        more = context.caller.recv(65_536)
        assert more, got
        got += more
    return got


@given("a callers' server with a kept connection that is idle")
def step_idle(context: Context) -> None:
    """Answer one request on it."""
    start(context)
    context.ended.set()
    context.caller.sendall(REQUEST)
    read_until(context, b'0\r\n\r\n')
    sleep(0.01)


@given("a callers' server with a kept connection on which a stream has begun")
def step_begun(context: Context) -> None:
    """Begin a stream."""
    start(context)
    context.caller.sendall(REQUEST)
    read_until(context, b'first')


@when('the stop ends what is idle')
def step_stop(context: Context) -> None:
    """End idle connections as the drain does."""
    context.server.close_idle()


@when('the stream ends')
def step_end(context: Context) -> None:
    """Let the stream end."""
    context.ended.set()
    context.got = read_until(context, b'0\r\n\r\n')


@when('a request arrives just before the stop ends what is idle')
def step_arrives(context: Context) -> None:
    """Send a request that no handler has read yet."""
    context.caller.sendall(REQUEST)
    context.server.close_idle()


@when('a connection with a request is made just before the stop ends listening')
def step_not_accepted(context: Context) -> None:
    """Connect without letting the server accept."""
    context.address = ('127.0.0.1', context.server.bound().port)
    connected = create_blocking_connection(context.address, LIMIT_SECONDS)
    context.caller = socket(fileno=connected.detach())
    context.add_cleanup(context.caller.close)
    context.caller.settimeout(LIMIT_SECONDS)
    context.caller.sendall(REQUEST)
    end_listening(context.server)


def end_listening(server: CallerServer) -> None:
    """End what is idle and the listening, as the drain does."""
    server.close_idle()
    server.stop_listening()


@then('another connection is refused')
def step_refused(context: Context) -> None:
    """Try to connect."""
    try:
        create_connection(context.address, LIMIT_SECONDS).close()
    except ConnectionRefusedError:
        return
    raise AssertionError('a connection was made')


@then('the stream was whole')
def step_whole(context: Context) -> None:
    """Check the end of the body."""
    assert b'last' in context.got, context.got


@then('the request is answered')
def step_answered(context: Context) -> None:
    """Read a whole answer."""
    assert b'last' in read_until(context, b'0\r\n\r\n')


@then('the caller reads the end of the connection within {seconds:f} s')
def step_closed(context: Context, seconds: float) -> None:
    """Read until the server closes."""
    began = monotonic()
    context.caller.settimeout(seconds)
    assert context.caller.recv(1) == b''
    assert monotonic() - began < seconds
