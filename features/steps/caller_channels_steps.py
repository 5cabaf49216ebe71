"""Steps on the channels of callers."""

from subprocess import run
from sys import executable
from time import monotonic
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import get_hub, sleep, spawn
from gevent.socket import MSG_PEEK, socket, socketpair

from testbed.cut_answers import LOOKUP, STREAM, CutEntry
from testbed.processes import ROOT, poll_until
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone

SOON_SECONDS = 0.5
LIMIT_MS = 2000
FAR_MS = 60_000
LIMIT_SECONDS = 20.0
READ_BYTES = 1_048_576
# Characters of an unexpected answer in a message.
SHOWN = 100
# Far more than the buffers of the connections in between.
LARGE_EVENTS = b''.join(
    b'id: %d\ndata: %b\n\n' % (number, b'x' * 900_000) for number in range(30)
)
SHORTLY_SECONDS = 0.05
LARGE_RESULT = b'{"x":"%b"}' % b''.join(
    b'%d,' % number for number in range(1_800_000)
)
LARGE = {
    'streams': (STREAM, {STREAM: LARGE_EVENTS}),
    'lookups': (LOOKUP, {LOOKUP: LARGE_RESULT}),
}


@then('a process that closes channels of callers while it is behind goes on')
def step_closed_channels(_context: Context) -> None:
    """Run the program to its end."""
    ended = run(
        [executable, '-m', 'testbed.closed_channels'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 0, (ended.returncode, ended.stderr[-500:])
    assert not ended.stderr, ended.stderr[-500:]


class TakenChannel:
    """A channel whose first bytes somebody else takes before they are seen."""

    def __init__(self, channel: socket) -> None:
        """Wrap one end of a socket pair."""
        self.channel = channel
        self.fileno = channel.fileno
        self.gettimeout = channel.gettimeout
        self.settimeout = channel.settimeout
        self.is_taken = False

    def recv(self, size: int, flags: int) -> bytes:
        """Receive as gevent does, which waits if there is a time to wait."""
        if not self.is_taken:
            self.is_taken = True
            self.channel.recv(size)
        return self.channel.recv(size, flags)


@given('a request whose channel is reported readable for nothing')
def step_false_report(context: Context) -> None:
    """Let a byte arrive that is gone when it is looked for."""
    channel, context.caller = socketpair()

    def serve() -> None:
        with cancel_when_gone(TakenChannel(channel)):
            sleep(SOON_SECONDS)

    context.request = spawn(serve)
    sleep(0)
    context.caller.sendall(b'x')
    sleep(SHORTLY_SECONDS)


@when('its caller closes the channel')
def step_closes(context: Context) -> None:
    """Leave as a caller does."""
    context.caller.close()


@then('the request is cancelled')
def step_cancelled(context: Context) -> None:
    """Check that the request ends with the caller."""
    context.request.join(SOON_SECONDS)
    assert isinstance(context.request.exception, CallerGoneError)


@given('an entry whose {kind} are larger than a connection holds')
def step_large(context: Context, kind: str) -> None:
    """Start an entry, and note what its server reports."""
    entry = CutEntry()
    context.add_cleanup(entry.stop)
    path, entry.bodies = LARGE[kind]
    entry.list_backends(path, 'sound')
    context.entry = entry
    context.failures = []
    noted = patch.object(
        get_hub(), 'handle_error', lambda *told: context.failures.append(told)
    )
    noted.start()
    context.add_cleanup(noted.stop)


@given('connections may be idle for {seconds:d} second')
def step_idle(context: Context, seconds: int) -> None:
    """Let a document say so."""
    context.entry.limit_idle(seconds * 1000)


@when('a caller reads nothing of a lookup')
def step_unread_lookup(context: Context) -> None:
    """Send a request, and wait until all of the answer is to be written."""
    context.caller = context.entry.send(LOOKUP)
    context.add_cleanup(context.caller.close)
    poll_until(lambda: outcomes(context), LIMIT_SECONDS, 'the outcome')
    context.began_at = monotonic()


@then(
    'its connection is gone within {most:d} seconds, and not before {least:d} '
    'second'
)
def step_gone(context: Context, most: int, least: int) -> None:
    """Wait until no connection is handled."""
    poll_until(lambda: not context.entry.server.pool, most, 'the end')
    seconds = monotonic() - context.began_at
    assert seconds > least, seconds


@when('a caller reads a lookup in pieces with pauses of {pause:g} seconds')
def step_slowly(context: Context, pause: float) -> None:
    """Read to the end of the body."""
    caller = context.entry.send(LOOKUP)
    context.add_cleanup(caller.close)
    context.began_at = monotonic()
    context.body_bytes = -1
    received = bytearray()
    while not received.endswith(LARGE_RESULT[-SHOWN:]):
        sleep(pause)
        more = caller.recv(READ_BYTES)
        assert more, (len(received), bytes(received[-SHOWN:]))
        received += more
    context.body_bytes = len(received.partition(b'\r\n\r\n')[2])


@then('it gets the whole lookup, over more than {seconds:d} seconds')
def step_slow_whole(context: Context, seconds: int) -> None:
    """Check the length, and that the limit has passed meanwhile."""
    assert context.body_bytes == len(LARGE_RESULT), context.body_bytes
    assert monotonic() - context.began_at > seconds


@when('a caller reads nothing of a stream until {end}')
def step_unread(context: Context, end: str) -> None:
    """Wait with the first read until the request has its outcome."""
    entry = context.entry
    is_stopped = end != 'its time limit'
    entry.limit_calls(FAR_MS if is_stopped else LIMIT_MS)
    context.caller = entry.send(STREAM)
    context.add_cleanup(context.caller.close)
    # The answer has begun; the rest of it fills the buffers.
    context.caller.recv(1, MSG_PEEK)
    sleep(SOON_SECONDS)
    if is_stopped:
        entry.context.planned_stop.end_requests()
    poll_until(lambda: outcomes(context), LIMIT_SECONDS, 'the outcome')


def outcomes(context: Context) -> list[str]:
    """Return the outcomes that the entry has counted, from its metrics."""
    page = context.entry.context.metrics.render()
    return [
        line.partition('"')[2].partition('"')[0]
        for line in page.splitlines()
        if '_request_outcomes_total{' in line
    ]


@then('the stream has ended as "{outcome}", and its answer is visibly broken')
def step_unread_end(context: Context, outcome: str) -> None:
    """Read what there is."""
    assert outcomes(context) == [outcome], outcomes(context)
    received = b''
    while more := context.caller.recv(READ_BYTES):
        received += more
    assert received.startswith(b'HTTP/1.1 200 '), received[:SHOWN]
    assert not received.endswith(b'0\r\n\r\n'), received[-SHOWN:]


@then('the server has reported no failure of its own')
def step_no_failure(context: Context) -> None:
    """Check what would have gone to the standard error output."""
    assert not context.failures, context.failures
