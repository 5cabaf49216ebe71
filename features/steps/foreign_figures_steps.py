"""Steps on figures and texts of others that do not fit."""

from time import monotonic
from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context

from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.codec import encode_frame
from trestle_links.connection import Connection
from trestle_links.link import Identity, Link
from trestle_links.link_server import LinkServer
from trestle_links.stream_messages import FindStream
from trestle_links.watch_messages import StateReply

KEY = b'k' * 32


@given('a peer that answers calls with a figure of 65 bits')
def step_odd_peer(context: Context) -> None:
    """Serve one kind of call."""

    def answer(_request: Any, _channel: Any) -> FindStream:
        return FindStream(2**64)

    me = Identity('peer', KEY, Metrics.empty())
    server = LinkServer('127.0.0.1:0', me, {FindStream: answer})
    server.start()
    context.add_cleanup(server.stop)
    context.link = Link.to_address(str(server.address), me)


@when('it is called')
def step_call(context: Context) -> None:
    """Make the call; keep its error and its time."""
    begun = monotonic()
    try:
        context.link.call(FindStream(1), StateReply, 3)
    except TrestleError as error:
        context.error = error
    context.seconds = monotonic() - begun


@then('the call ends at once with "{code}"')
def step_ends(context: Context, code: str) -> None:
    """Check that nobody was left waiting."""
    assert context.error.code.code == code, context.error
    assert context.seconds < 1, context.seconds


@given('a connection whose reader fails on each frame')
def step_failing_reader(context: Context) -> None:
    """Make a connection with a stand-in of its socket."""

    def fail(_connection: Any, _frame: Any) -> None:
        raise RecursionError('odd')

    context.sock = Mock()
    context.connection = Connection(context.sock, 'peer', fail, print)


@when('a frame arrives on it')
def step_frame(context: Context) -> None:
    """Let the reader receive a frame."""
    context.sock.recv.return_value = encode_frame(1, FindStream(1))
    context.connection.start()


@then('the connection is lost')
def step_lost(context: Context) -> None:
    """Check that its channels end."""
    assert context.connection.lost.wait(1)
