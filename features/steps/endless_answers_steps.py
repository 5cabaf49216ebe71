"""Steps on answers that a back end sends without a pause and without end."""

from contextlib import suppress
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, sleep, spawn
from gevent.socket import create_connection
from gevent.subprocess import PIPE, Popen

from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BackendConnection,
    BrokenAnswerError,
)

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
