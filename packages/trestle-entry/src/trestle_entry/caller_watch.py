"""Cancels a request's work when its caller closes the connection.

The event loop watches the caller's socket until it is readable and peeks at
it: an empty read means that the caller closed the connection. The loop then
raises `CallerGoneError` in the request's greenlet, whose clean-up closes the
channels to the endpoints.

Claimed calls are not watched: a call that was started runs to its outcome,
which a retry with the same key then receives.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from select import POLLIN
from typing import Any, Final

from gevent import get_hub, getcurrent
from gevent.monkey import get_original
from gevent.socket import MSG_PEEK
from greenlet import greenlet

from trestle_core.errorcodes import CANCELLED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict

# The event of the loop's watchers that stands for bytes or an end.
_READABLE: Final = 1


class CallerGoneError(TrestleError):
    """The caller closed its connection before the answer was complete."""

    def __init__(self) -> None:
        """Set the verdict: the request may have run in part."""
        super().__init__(CANCELLED, verdict=Verdict.MAY_HAVE_RUN)


@contextmanager
def cancel_when_gone(sock: Any) -> Iterator[None]:
    """Raise `CallerGoneError` in the block when the caller disconnects."""
    if sock is None:
        yield
        return
    if sock.fileno() < 0:
        raise CallerGoneError
    watcher = get_hub().loop.io(sock.fileno(), _READABLE)
    watcher.start(_check, watcher, sock, getcurrent())
    try:
        yield
    finally:
        # Not later: the socket may be closed next, and the loop aborts the
        # process if it is to wait for a closed one.
        watcher.stop()
        watcher.close()


def has_arrived(sock: Any) -> bool:
    """Return whether something received, or the end, is waiting to be read."""
    # The gevent version would switch to other greenlets.
    readable = get_original('select', 'poll')()
    readable.register(sock.fileno(), POLLIN)
    return bool(readable.poll(0))


def _check(watcher: Any, sock: Any, request_greenlet: greenlet) -> None:
    """Handle a readable socket, as a callback of the loop."""
    try:
        gone = not _peek(sock)
    except BlockingIOError:
        # Nothing is there after all.
        return
    except OSError:
        gone = True
    # Bytes of a next request would be reported again and again.
    watcher.stop()
    if gone:
        request_greenlet.throw(CallerGoneError())


def _peek(sock: Any) -> bytes:
    """Look at the next byte without a wait, which the loop cannot do."""
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bytes(sock.recv(1, MSG_PEEK))
    finally:
        sock.settimeout(timeout)
