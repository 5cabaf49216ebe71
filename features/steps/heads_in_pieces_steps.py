"""Steps on requests that arrive in two pieces, cut at each place."""

from re import findall
from typing import Any
from unittest.mock import patch

from behave import given, then
from behave.runner import Context
from gevent import sleep
from gevent.pool import Pool
from gevent.socket import create_connection

from features.steps.request_heads_steps import HIDDEN, LIMIT_SECONDS, octets
from trestle_core.route_table import DEFAULT_LIMITS
from trestle_entry.direct import caller_server

FIRST = b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n'
LAST = b'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
# Time in which the first piece is read before the second one comes.
PAUSE_SECONDS = 0.02
CALLERS_AT_ONCE = 20
FAR_MS = 600_000


def send_cut(context: Context, request: bytes, place: int) -> list[bytes]:
    """Send a request in two pieces behind another one; return the statuses."""
    address = context.caller.getpeername()
    with create_connection(address, LIMIT_SECONDS) as caller:
        caller.sendall(FIRST)
        read_one_answer(caller)
        caller.sendall(request[:place])
        sleep(PAUSE_SECONDS)
        try:
            caller.sendall(request[place:])
            got = read_to_end(caller)
        except OSError:
            # Refused and closed before the second piece.
            return []
    return [bytes(status) for status in findall(rb'HTTP/1\.1 (\d+)', got)]


def read_one_answer(caller: Any) -> None:
    """Read an answer without a body."""
    got = b''
    while not got.endswith(b'\r\n\r\n'):
        got += caller.recv(65_536)


def read_to_end(caller: Any) -> bytes:
    """Read to the end of the connection."""
    got = b''
    while more := caller.recv(65_536):
        got += more
    return got


def cut_everywhere(context: Context, request: bytes) -> list[list[bytes]]:
    """Send a request cut at each place; return the statuses of each."""
    callers = Pool(CALLERS_AT_ONCE)
    return list(
        callers.imap(
            lambda place: send_cut(context, request, place),
            range(1, len(request)),
        )
    )


@given('its time limits are far away')
def step_limits(context: Context) -> None:
    """Let no head come too late, as one may on a busy machine."""
    far = DEFAULT_LIMITS._replace(idle_ms=FAR_MS, header_ms=FAR_MS)
    patched = patch.object(caller_server, 'DEFAULT_LIMITS', far)
    patched.start()
    context.add_cleanup(patched.stop)


@then('"{head}" with a request in its body is refused wherever it is cut')
def step_refused(context: Context, head: str) -> None:
    """Check that only the requests before ran."""
    request = octets(f'{head}\r\n\r\n') + HIDDEN
    for statuses in cut_everywhere(context, request):
        assert statuses in ([], [b'400']), statuses
    targets = {target for target, _ in context.ran}
    assert targets <= {'/first'}, targets


@then('"{request}" runs once with the body "{body}" wherever it is cut')
def step_runs(context: Context, request: str, body: str) -> None:
    """Check what ran."""
    packed = octets(request)
    outcomes = cut_everywhere(context, packed + LAST)
    assert all(found == [b'200'] * 2 for found in outcomes), outcomes
    bodies = [found for target, found in context.ran if target == '/x']
    assert bodies == [body.encode()] * len(outcomes), bodies
