"""One copy at a time of a content that no engine has answered yet.

A content that crashes engines is sent by several callers at once, and no
crash has named it so far. So an entry dispatches one copy of a content and
holds equal ones back until that copy has its first token or has failed.
Contents that gave a token are remembered and pass freely; a crash forgets
them.

Invariant: of a content without a token at most one copy of each entry is on
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

_PROVEN_LIMIT: Final = 4096
_POLL_SECONDS: Final = 0.02
# A crash elsewhere at the same moment is known by then as well.
_SETTLE_SECONDS: Final = 0.3
_REPORT_SECONDS: Final = 2.0


class ContentGate:
    """The contents that are on their first engine, and the proven ones."""

    def __init__(self, metrics: Metrics) -> None:
        """Know no contents."""
        self.metrics = metrics
        self.copies: dict[str, Event] = {}
        # The least recently used content stands first.
        self.proven: OrderedDict[str, None] = OrderedDict()

    def enter(self, content: str, until: float) -> Event | None:
        """Wait for the only place of an unproven content.

        Returns what `leave` takes. Raises `deadline-passed` at the monotonic
        time `until`; nothing has run then.
        """
        while content not in self.proven:
            copy = self.copies.get(content)
            if copy is None:
                self.copies[content] = Event()
                return self.copies[content]
            self.metrics.count('content_waits')
            if not copy.wait(max(0, until - monotonic())):
                raise TrestleError(DEADLINE_PASSED)
        return None

    def leave(self, content: str, copy: Event | None) -> None:
        """Let the next copy pass."""
        if copy and self.copies.get(content) is copy:
            self.copies.pop(content).set()

    def prove(self, content: str) -> None:
        """Note that a content got a token."""
        self.proven[content] = None
        self.proven.move_to_end(content)
        if len(self.proven) > _PROVEN_LIMIT:
            self.proven.popitem(last=False)
        self.leave(content, self.copies.get(content))

    def doubt(self, content: str) -> None:
        """Note that an engine crashed while it ran a content."""
        self.proven.pop(content, None)


def wait_for_report(view: NodeView, content: str) -> None:
    """Wait until a crash is known for the content, or for a limit.

    A retry must not run before: an endpoint process runs one suspect at a
    time, and takes for none what is not in its view.
    """
    began = monotonic()
    sleep(_SETTLE_SECONDS)
    while monotonic() - began < _REPORT_SECONDS:
        if content in view.suspects or content in view.quarantined:
            return
        sleep(_POLL_SECONDS)
