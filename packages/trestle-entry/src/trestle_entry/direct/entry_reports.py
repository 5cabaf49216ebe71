"""What this entry has to tell the others besides its loads."""

from time import monotonic
from typing import Final, NamedTuple

from gevent.event import Event

from trestle_links.crash_messages import ClearedTrait, CrashNotice, aged_by
from trestle_links.direct_messages import Placement
from trestle_links.load_messages import FailureNotice

_MAX_PLACEMENTS: Final = 300
_MAX_FAILURES: Final = 50
_MAX_CRASHES: Final = 1000
_MAX_CLEARED: Final = 4000


class NotedCrash(NamedTuple):
    """A crash notice and when it was noted."""

    notice: CrashNotice
    at: float


class NotedClearance(NamedTuple):
    """A cleared trait and when it was noted."""

    cleared: ClearedTrait
    at: float


class EntryReports:
    """Placements, crashes and failures since the last report.

    Each note sets an event, so that a report is sent soon.
    """

    def __init__(self, changed: Event) -> None:
        """Start without anything to tell."""
        self.changed = changed
        self.placements: list[Placement] = []
        self.crashes: list[NotedCrash] = []
        self.cleared: list[NotedClearance] = []
        self.failures: list[FailureNotice] = []

    def note_placement(self, placement: Placement) -> None:
        """Record a prompt part that an engine has cached or prefills."""
        self.placements.append(placement)
        self.changed.set()

    def note_crash(self, notice: CrashNotice) -> None:
        """Record a notice of the crash guard."""
        self.crashes.append(NotedCrash(notice, monotonic()))
        self.changed.set()

    def note_cleared(self, cleared: ClearedTrait) -> None:
        """Record a trait that a served request has cleared."""
        self.cleared.append(NotedClearance(cleared, monotonic()))
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

    def take_crashes(self) -> list[CrashNotice]:
        """Return the latest notices since the last call."""
        now = monotonic()
        taken = self.crashes[-_MAX_CRASHES:]
        self.crashes = []
        return [
            notice._replace(age_ms=aged_by(notice.age_ms, now - at))
            for notice, at in taken
        ]

    def take_cleared(self) -> list[ClearedTrait]:
        """Return the traits that were cleared since the last call."""
        now = monotonic()
        taken = self.cleared[-_MAX_CLEARED:]
        self.cleared = []
        return [
            cleared._replace(age_ms=aged_by(cleared.age_ms, now - at))
            for cleared, at in taken
        ]

    def take_failures(self) -> list[FailureNotice]:
        """Return the latest failures since the last call."""
        taken = self.failures[-_MAX_FAILURES:]
        self.failures = []
        return taken
