"""Steps on the channels of callers."""

from subprocess import run
from sys import executable

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.socket import socket, socketpair

from testbed.processes import ROOT
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone

SOON_SECONDS = 0.5
SHORTLY_SECONDS = 0.05


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
