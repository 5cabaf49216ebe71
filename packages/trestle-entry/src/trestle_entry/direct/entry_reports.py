"""What this entry has to tell the others besides its loads."""

from typing import Final

from gevent.event import Event

from trestle_links.direct_messages import Placement
from trestle_links.load_messages import FailureNotice

_MAX_PLACEMENTS: Final = 300
_MAX_FAILURES: Final = 50


class EntryReports:
    """Placements, crash notices and failures since the last report.

    Each note sets an event, so that a report is sent soon.
    """

    def __init__(self, changed: Event) -> None:
        """Start without anything to tell."""
        self.changed = changed
        self.placements: list[Placement] = []
        self.crash_notices: list[str] = []
        self.failures: list[FailureNotice] = []

    def note_placement(self, placement: Placement) -> None:
        """Record a prompt part that an engine has cached or prefills."""
        self.placements.append(placement)
        self.changed.set()

    def note_crash(self, notice: str) -> None:
        """Record a notice of the crash guard."""
        self.crash_notices.append(notice)
        self.changed.set()

    def note_failure(self, notice: FailureNotice) -> None:
        """Record a back end without an answer."""
        self.failures.append(notice)
        self.changed.set()

    def take_placements(self) -> list[Placement]:
        """Return the latest placements since the last call."""
        taken = self.placements[-_MAX_PLACEMENTS:]
        self.placements = []
        return taken

    def take_crash_notices(self) -> list[str]:
        """Return the notices since the last call."""
        taken = self.crash_notices
        self.crash_notices = []
        return taken

    def take_failures(self) -> list[FailureNotice]:
        """Return the latest failures since the last call."""
        taken = self.failures[-_MAX_FAILURES:]
        self.failures = []
        return taken
