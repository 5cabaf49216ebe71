"""Cancels a request's work when its caller closes the connection.

The event loop watches until the caller's socket is readable and peeks at it:
an empty read means that the caller closed the connection. `CallerGoneError` is
then raised in the request's greenlet, whose clean-up closes the channels to the
endpoints.

Invariant: nothing watches the socket once the block has ended. The socket may
be closed right after it, and the loop ends the process if it is to wait for a
descriptor that is closed. So it is no greenlet that waits: one ends only when
the loop comes to it.

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

# The event of the loop's watchers of descriptors.
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
    watcher = _start_watch(sock, getcurrent())
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _start_watch(sock: Any, request_greenlet: greenlet) -> Any:
    """Watch a socket; the returned watcher must be stopped by the request."""
    watcher: Any = get_hub().loop.io(sock.fileno(), _READABLE)

    def check() -> None:
        if not has_arrived(sock):
            return
        # What arrived may be the next request, which nobody reads yet.
        watcher.stop()
        if _is_gone(sock):
            request_greenlet.throw(CallerGoneError())

    watcher.start(check)
    return watcher


def has_arrived(sock: Any) -> bool:
    """Return whether something received, or the end, is waiting to be read."""
    # The gevent version would switch to other greenlets.
    readable = get_original('select', 'poll')()
    readable.register(sock.fileno(), POLLIN)
    return bool(readable.poll(0))


def _is_gone(sock: Any) -> bool:
    """Return whether what has arrived is the end; does not block then."""
    try:
        return not sock.recv(1, MSG_PEEK)
    except OSError:
        return True
