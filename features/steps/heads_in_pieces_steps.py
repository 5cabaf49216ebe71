"""Steps on requests that arrive in two pieces, cut at each place."""

from contextlib import suppress
from os import getpid
from re import findall
from sys import executable
from time import monotonic
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.pool import Pool
from gevent.socket import create_connection
from gevent.subprocess import PIPE, Popen

from features.steps.request_heads_steps import HIDDEN, LIMIT_SECONDS, octets
from testbed.freezing_caller import FIRST, LAST
from testbed.processes import ROOT
from trestle_core.route_table import DEFAULT_LIMITS
from trestle_entry.direct import caller_server

# Time in which the first piece is read before the second one comes.
PAUSE_SECONDS = 0.02
CALLERS_AT_ONCE = 20
# Bytes of a request that are there before the process stands still.
BEGUN = {'the end of a head': 1, 'a second request': 0}
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


@given(
    'a head may take {head:g} seconds, and a connection be idle for {idle:g}'
)
def step_short_limits(context: Context, head: float, idle: float) -> None:
    """Let both pass soon."""
    limits = DEFAULT_LIMITS._replace(
        idle_ms=round(idle * 1000), header_ms=round(head * 1000)
    )
    patched = patch.object(caller_server, 'DEFAULT_LIMITS', limits)
    patched.start()
    context.add_cleanup(patched.stop)


@when('{what} arrives while the process stands still for {seconds:g} seconds')
def step_standstill(context: Context, what: str, seconds: float) -> None:
    """Let the caller stop this process, which has the server, for a time."""
    _, port = context.caller.getpeername()
    numbers = (port, getpid(), BEGUN[what], seconds)
    caller = Popen(
        [executable, '-m', 'testbed.freezing_caller', *map(str, numbers)],
        cwd=ROOT,
        stdout=PIPE,
    )
    context.got, _ = caller.communicate(timeout=LIMIT_SECONDS)


@then('it has run and is answered')
def step_answered(context: Context) -> None:
    """Check that it was read."""
    assert context.got.startswith(b'HTTP/1.1 200 '), context.got
    targets = [target for target, _ in context.ran]
    assert targets == ['/first', '/last'], targets


@when('a head comes a byte every {pause:g} seconds')
def step_trickle(context: Context, pause: float) -> None:
    """Send until the server has enough."""
    caller = create_connection(context.caller.getpeername(), LIMIT_SECONDS)
    context.add_cleanup(caller.close)
    began_at = monotonic()

    def trickle() -> None:
        for place in range(len(LAST) - 1):
            caller.sendall(LAST[place : place + 1])
            sleep(pause)

    sender = spawn(trickle)
    context.got = read_one_head(caller)
    context.seconds = monotonic() - began_at
    sender.kill()


def read_one_head(caller: Any) -> bytes:
    """Read what comes before the connection ends."""
    got = b''
    with suppress(OSError):
        got = read_to_end(caller)
    return got


@then('it is answered {status:d} within {seconds:d} seconds')
def step_status_within(context: Context, status: int, seconds: int) -> None:
    """Check the answer and its time."""
    assert context.got.startswith(b'HTTP/1.1 %d ' % status), context.got
    assert context.seconds < seconds, context.seconds
