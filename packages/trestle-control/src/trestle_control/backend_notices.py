"""What back ends say of themselves, as the leader knows it.

Some say it in replies to this host, of the others the entries tell. That a
back end leaves is passed on to all entries; that one wants nothing for a time
holds for this host only.
"""

from collections.abc import Callable

from gevent.event import Event

from trestle_links.direct_messages import Backend
from trestle_links.leaving_backends import LeavingBackends
from trestle_links.load_messages import LeaveNotice
from trestle_links.resting_backends import RestingBackends

# Records what a back end has said to this host: whether it leaves, and for how
# many seconds it wants no calls.
NoteSaid = Callable[[Backend, bool, float], None]


class BackendNotices:
    """The back ends that leave or rest, and what the entries must be told."""

    def __init__(self, changed: Event) -> None:
        """Start without any; `changed` is set when there is news."""
        self.changed = changed
        self.leaving = LeavingBackends()
        self.resting = RestingBackends()
        self.news: list[LeaveNotice] = []

    def note_leaving(self, notices: list[LeaveNotice], source: str) -> None:
        """Record back ends that leave; `source` tells who heard it."""
        for notice in notices:
            if self.leaving.note_told(notice.instance, notice.boot, source):
                self._pass_on(notice)

    def note_said(
        self, backend: Backend, is_leaving: bool, rest_seconds: float
    ) -> None:
        """Record what a back end has said to this host."""
        instance, boot = backend.instance, backend.boot
        if is_leaving and self.leaving.note_heard(instance, boot):
            self._pass_on(LeaveNotice(instance, boot))
        if rest_seconds:
            self.resting.note(instance, boot, rest_seconds)

    def _pass_on(self, notice: LeaveNotice) -> None:
        self.news.append(notice)
        self.changed.set()

    def take_news(self) -> list[LeaveNotice]:
        """Return the back ends that leave since the last call."""
        taken = self.news
        self.news = []
        return taken

    def follow(self, backends: list[Backend]) -> None:
        """Forget what was said by processes that have ended, by the list."""
        self.leaving.follow(backends)
        self.resting.follow(backends)
