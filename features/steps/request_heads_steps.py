"""Steps of the strict reading of callers' requests."""

from codecs import decode
from collections.abc import Callable
from re import findall
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent.socket import create_connection

from testbed.direct_fixtures import make_caller_server
from trestle_core.errors import TrestleError
from trestle_entry.direct import caller_server
from trestle_entry.direct.backend_exchange import NotSentError, encode_head
from trestle_entry.direct.replies import DirectReply, error_answer
from trestle_platform.caller_http import caller_wire, read_request
from trestle_platform.wire_names import REQUEST_ID

HIDDEN = b'GET /in HTTP/1.1\r\nHost: h\r\n\r\n'
LIMIT_SECONDS = 30.0


def octets(text: str) -> bytes:
    """Return the bytes that a table names with escapes."""
    return decode(text, 'unicode_escape').encode('latin-1')


def raised_by(call: Callable[[], object]) -> Exception | None:
    """Return what a call raises."""
    try:
        call()
    except Exception as error:
        return error
    return None


def read_all(context: Context) -> bytes:
    """Read to the end of the connection."""
    got = b''
    while more := context.caller.recv(65_536):
        got += more
    return got


@given("a callers' server that notes what runs")
def step_server(context: Context) -> None:
    """Start it, with one caller."""
    wire = caller_wire()
    server = make_caller_server(wire)
    context.ran = []

    def serve(_context: Any, incoming: Any) -> DirectReply:
        try:
            body = incoming.read_body()
        except TrestleError as error:
            return error_answer(wire, '', error)
        context.ran.append((incoming.target, body))
        return DirectReply(200, [('Content-Length', '0')], [b''])

    patched = patch.object(caller_server, 'serve', serve)
    patched.start()
    context.add_cleanup(patched.stop)
    server.start()
    context.add_cleanup(server.stop, 0)
    address = ('127.0.0.1', server.bound().port)
    context.caller = create_connection(address, LIMIT_SECONDS)
    context.add_cleanup(context.caller.close)


@when('a caller sends "{line}" and "{head}" with a request in the body')
def step_hidden(context: Context, line: str, head: str) -> None:
    """Send both at once."""
    outer = octets(f'{line}\r\n{head}\r\n\r\n')
    context.caller.sendall(outer + HIDDEN)


@when('a caller sends the chunks "{chunks}" with a request behind them')
def step_chunks(context: Context, chunks: str) -> None:
    """Send both at once."""
    head = 'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
    context.caller.sendall(octets(head + chunks) + HIDDEN)


@then('it reads only 400 and the end of the connection')
def step_refused(context: Context) -> None:
    """Read all answers."""
    statuses = findall(rb'HTTP/1\.1 (\d+)', read_all(context))
    assert statuses == [b'400'], (statuses, context.ran)


@then('nothing ran')
def step_nothing(context: Context) -> None:
    """Check that nothing got past the reading."""
    assert not context.ran, context.ran


@when('a caller sends the sound request "{request_text}" twice')
def step_sound(context: Context, request_text: str) -> None:
    """Send it twice on one connection, and end the connection."""
    last = b'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    context.caller.sendall(octets(request_text) * 2 + last)
    context.got = read_all(context)


@then('"{body}" ran twice')
@then('"" ran twice')
def step_twice(context: Context, body: str = '') -> None:
    """Check what ran, and the answers."""
    bodies = [body for _, body in context.ran]
    assert bodies == [body.encode(), body.encode(), b''], context.ran
    assert context.got.count(b'HTTP/1.1 200 OK') == 3, context.got


@when('a caller sends "{text}"')
def step_sends(context: Context, text: str) -> None:
    """Send bytes."""
    context.caller.sendall(octets(text))


@then('it reads "{text}"')
def step_reads(context: Context, text: str) -> None:
    """Read some bytes."""
    wanted = octets(text)
    got = b''
    while not got.startswith(wanted):
        got += context.caller.recv(1)


@when(
    'a request to "{target}" of "{host}" is written with the header '
    '"{name}" of "{text}"'
)
def step_written(
    context: Context, target: str, host: str, name: str, text: str
) -> None:
    """Encode it as for a back end."""
    target, host, name, text = (
        decode(part, 'unicode_escape') for part in (target, host, name, text)
    )
    context.error = raised_by(
        lambda: encode_head('POST', target, host, [(name, text)], 0)
    )


@then('no byte of it is sent')
def step_unsent(context: Context) -> None:
    """Check that it failed before."""
    assert isinstance(context.error, NotSentError), context.error


@given('a request whose connection options name its id, on a second line')
def step_options(context: Context) -> None:
    """Build the headers."""
    context.headers = [
        ('Connection', f'A, {REQUEST_ID}'),
        ('Connection', 'keep-alive'),
        ('A', 'b'),
        (REQUEST_ID, 'r1'),
    ]


@then('its id is forwarded, and the other option is not')
def step_forwarded(context: Context) -> None:
    """Decode it as from a caller."""
    got = read_request('GET', '/x', context.headers, b'', None)
    assert got.forwarded_headers == [(REQUEST_ID, 'r1')], got


@when('its id is repeated')
def step_repeated(context: Context) -> None:
    """Add another one."""
    context.headers.append((REQUEST_ID.lower(), 'r2'))


@then('the request is refused')
def step_id_refused(context: Context) -> None:
    """Check the error."""
    error = raised_by(
        lambda: read_request('GET', '/x', context.headers, b'', None)
    )
    assert isinstance(error, TrestleError), error
    assert error.code.status == 400
