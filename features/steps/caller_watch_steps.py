"""Steps of the watch on the connection of a caller."""

from socket import SO_LINGER, SOL_SOCKET
from struct import pack

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone

LIMIT_SECONDS = 60.0


@given('a request that is watched for {seconds:f} s')
def step_request(context: Context, seconds: float) -> None:
    """Connect a caller; the request begins with what the caller does."""
    accepted: list[socket] = []

    def keep(sock: socket, _address: object) -> None:
        accepted.append(sock)
        sleep(LIMIT_SECONDS)

    server = StreamServer(('127.0.0.1', 0), keep)
    server.start()
    context.add_cleanup(server.stop, 0)
    context.caller = create_connection(('127.0.0.1', server.server_port))
    context.add_cleanup(context.caller.close)
    while not accepted:
        sleep(0.01)

    def request() -> str:
        try:
            with cancel_when_gone(accepted[0]):
                sleep(seconds)
        except CallerGoneError:
            return 'gone'
        return 'served'

    context.request = request


@when('its caller {act}')
def step_act(context: Context, act: str) -> None:
    """Begin the request, and let its caller act in it."""
    if act == 'has left before':
        context.caller.close()
        sleep(0.01)
    context.running = spawn(context.request)
    sleep(0.01)
    if act == 'sends another request':
        context.caller.sendall(b'GET /')
    if act == 'resets':
        context.caller.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    if act in {'leaves', 'resets'}:
        context.caller.close()


@then('the request ends as {outcome}')
def step_outcome(context: Context, outcome: str) -> None:
    """Check how it ended."""
    assert context.running.get(timeout=LIMIT_SECONDS) == outcome
