"""Cancels a request's work when its caller closes the connection.

A watcher greenlet waits until the caller's socket is readable and peeks at
it: an empty read means that the caller closed the connection. The watcher
then raises `CallerGoneError` in the request's greenlet, whose clean-up closes
the channels to the endpoints.

Claimed calls are not watched: a call that was started runs to its outcome,
which a retry with the same key then receives.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from gevent import getcurrent, spawn
from gevent.socket import MSG_DONTWAIT, MSG_PEEK, wait_read
from greenlet import greenlet

from trestle_core.errorcodes import CANCELLED
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict


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
    watcher = spawn(_watch, sock, getcurrent())
    try:
        yield
    finally:
        watcher.kill(block=False)


def _watch(sock: Any, request_greenlet: greenlet) -> None:
    try:
        wait_read(sock.fileno())
        gone = not sock.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except OSError:
        gone = True
    if gone:
        request_greenlet.kill(CallerGoneError(), block=False)  # type: ignore[attr-defined]
