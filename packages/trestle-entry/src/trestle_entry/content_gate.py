"""Limits unproven contents to one dispatched request per entry.

A content is a prompt with its model, identified by a digest. Several callers
may send a content that crashes engines before any crash report names it. So
an entry dispatches one request with a content and delays the others until
that request has its first token or has failed. A content that produced a
token is proven and no longer limited, until an engine crashes on it.

Invariant: at most one request of each entry with an unproven content is on
an engine.
"""

from collections import OrderedDict
from time import monotonic
from typing import Final

from gevent import sleep
from gevent.event import Event

from trestle_core.errorcodes import DEADLINE_PASSED
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.node_view import NodeView

_MAX_PROVEN: Final = 4096
_POLL_SECONDS: Final = 0.02
# Long enough that a simultaneous crash on another engine is reported, too.
_SETTLE_SECONDS: Final = 0.3
_REPORT_TIMEOUT_SECONDS: Final = 2.0


class ContentGate:
    """The unproven contents in flight, and the proven contents."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with no contents."""
        self.metrics = metrics
        self.in_flight: dict[str, Event] = {}
        # The least recently used content stands first.
        self.proven: OrderedDict[str, None] = OrderedDict()

    def acquire(self, content: str, until: float) -> Event | None:
        """Wait until a request with the content may be dispatched.

        Returns the argument of `release`. Raises `deadline-passed` at the
        monotonic time `until`; the request has not run then.
        """
        while content not in self.proven:
            released = self.in_flight.get(content)
            if released is None:
                self.in_flight[content] = Event()
                return self.in_flight[content]
            self.metrics.count('content_waits')
            if not released.wait(max(0, until - monotonic())):
                raise TrestleError(DEADLINE_PASSED)
        return None

    def release(self, content: str, released: Event | None) -> None:
        """Admit the next request with the content."""
        if released and self.in_flight.get(content) is released:
            self.in_flight.pop(content).set()

    def mark_proven(self, content: str) -> None:
        """Record that a content produced a token."""
        self.proven[content] = None
        self.proven.move_to_end(content)
        if len(self.proven) > _MAX_PROVEN:
            self.proven.popitem(last=False)
        self.release(content, self.in_flight.get(content))

    def mark_unproven(self, content: str) -> None:
        """Record that an engine crashed while it ran a content."""
        self.proven.pop(content, None)


def wait_for_crash_report(view: NodeView, content: str) -> None:
    """Wait until a crash report names the content, or for a time limit.

    A retry must not run earlier: an endpoint process runs one suspect at a
    time, but only treats the contents in its view as suspects.
    """
    started = monotonic()
    sleep(_SETTLE_SECONDS)
    while monotonic() - started < _REPORT_TIMEOUT_SECONDS:
        if content in view.suspects or content in view.quarantined:
            return
        sleep(_POLL_SECONDS)
