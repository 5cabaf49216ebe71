"""Steps on the start of an entry."""

from math import inf
from socket import create_connection
from time import monotonic
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import spawn
from msgspec.json import encode

from testbed.customer_entry import ANA, CustomerEntry, customer_document
from testbed.direct_fixtures import make_direct_settings
from trestle_core.metrics import Metrics
from trestle_entry.direct.caller_server import CallerServer
from trestle_entry.direct.direct_context import DirectContext
from trestle_links import control_client
from trestle_links.watch_messages import Stamp
from trestle_platform import early_listener
from trestle_platform.caller_http import caller_wire
from trestle_platform.manifest import read_table

START_SECONDS = 5.0
LIMIT_SECONDS = 10.0
OLD_MS = 60_000
ODD_FILES = {
    'nothing': b'',
    'half of its text': b'{"listen": {"front": "127.0.',
    'no address': b'{"listen": {}}',
    'an address in words': b'{"listen": {"front": "here:now"}}',
}


@given('an entry that has just started and knows nothing')
def step_starting(context: Context) -> None:
    """Take its table away."""
    make_entry(context, monotonic() + START_SECONDS)


@given('an entry that started long ago and knows nothing')
def step_started(context: Context) -> None:
    """Let its start be over."""
    make_entry(context, -inf)


def make_entry(context: Context, starts_until: float) -> None:
    """Make an entry without a table."""
    context.entry = CustomerEntry(ANA)
    context.add_cleanup(context.entry.replica.server.stop)
    direct = context.entry.context
    direct.table = None
    direct.has_table.clear()
    direct.starts_until = starts_until


@when('its routes arrive')
def step_routes(context: Context) -> None:
    """Put a table in force."""
    table = read_table(customer_document(1, ANA))
    context.entry.context.take_table(table)


@when('its loads arrive')
def step_loads(context: Context) -> None:
    """Let the first push have come."""
    context.entry.context.has_loads.set()


@given('the settings file of an entry')
def step_file(context: Context) -> None:
    """Write it with a free port."""
    write_file(context, encode({'listen': {'front': '127.0.0.1:0'}}))


@given('a file of settings with {odd}')
def step_odd_file(context: Context, odd: str) -> None:
    """Write what cannot be used."""
    write_file(context, ODD_FILES[odd])


def write_file(context: Context, content: bytes) -> None:
    """Write a settings file and name it to this process."""
    path = context.folder / 'node.json'
    path.write_bytes(content)
    patched = patch.dict(
        'os.environ', {early_listener.NODE_FILE_VARIABLE: str(path)}
    )
    patched.start()
    context.add_cleanup(patched.stop)


@when('the process listens early')
def step_listen(context: Context) -> None:
    """Do what the program does first."""
    context.began_at = monotonic()
    early_listener.listen_early()


@when('the process listens early and a caller connects and sends a request')
def step_connect(context: Context) -> None:
    """Connect while nobody accepts."""
    step_listen(context)
    context.start = early_listener.take_start()
    wire: Any = caller_wire()
    direct = DirectContext(make_direct_settings(), wire, wire, Metrics())
    context.server = CallerServer(direct, context.start.listener)
    address = context.server.socket.getsockname()
    context.caller = create_connection(address, timeout=LIMIT_SECONDS)
    context.caller.sendall(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')


@when('the server starts on that socket')
def step_serve(context: Context) -> None:
    """Accept from now on."""
    context.server.start()
    context.add_cleanup(context.server.stop)


@then('the caller is answered')
def step_answered(context: Context) -> None:
    """Read the start of an answer."""
    answer = spawn(context.caller.recv, 12).get(timeout=LIMIT_SECONDS)
    assert answer == b'HTTP/1.1 400', answer


@then('the next application of the process listens itself')
def step_taken(context: Context) -> None:
    """Check that the socket is given once, and the time with it."""
    assert context.start.started_at >= context.began_at
    again = early_listener.take_start()
    assert again.listener is None
    assert again.started_at > context.start.started_at


@then('no socket listens')
def step_no_socket(_context: Context) -> None:
    """Check the start of this process."""
    assert early_listener.take_start().listener is None


@when('it has sent {asks:d} asks of which {stamps:d} have been answered')
def step_asks(context: Context, asks: int, stamps: int) -> None:
    """Answer the first ones, with stamps too old to count."""
    freshness = context.client.freshness
    for number in range(asks):
        freshness.note_ask(number)
    for number in range(stamps):
        freshness.take(Stamp(number, 9, OLD_MS, 0))
    assert not freshness.was_ever_fresh


@then('it asks again after {pause:d} ms')
def step_pause(context: Context, pause: int) -> None:
    """Check the time until the next ask."""
    seconds = control_client._ask_pause(context.client)  # noqa: SLF001
    assert round(seconds * 1000) == pause, seconds
