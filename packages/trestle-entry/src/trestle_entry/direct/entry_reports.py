"""What this entry has to tell the others besides its loads."""

from collections import Counter
from time import monotonic
from typing import Final, NamedTuple

from gevent.event import Event

from trestle_links.crash_messages import CrashNotice, ServedTrait, age_ms
from trestle_links.direct_messages import Placement
from trestle_links.load_messages import (
    CallCounts,
    FailureNotice,
    LeaveNotice,
)

_MAX_PLACEMENTS: Final = 300
_MAX_FAILURES: Final = 50
_MAX_CRASHES: Final = 1000
_MAX_SERVED: Final = 4000


class NotedCrash(NamedTuple):
    """A crash notice and when it was noted."""

    notice: CrashNotice
    at: float


class NotedService(NamedTuple):
    """A served trait and when it was noted."""

    served: ServedTrait
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
        self.served: list[NotedService] = []
        self.failures: list[FailureNotice] = []
        self.leaving: dict[str, LeaveNotice] = {}
        self.declined: Counter[str] = Counter()
        self.accepted: Counter[str] = Counter()

    def note_placement(self, placement: Placement) -> None:
        """Record a prompt part that an engine has cached or prefills."""
        self.placements.append(placement)
        self.changed.set()

    def note_crash(self, notice: CrashNotice) -> None:
        """Record a notice of the crash guard."""
        self.crashes.append(NotedCrash(notice, monotonic()))
        self.changed.set()

    def note_served(self, served: ServedTrait) -> None:
        """Record when a suspected trait was served."""
        self.served.append(NotedService(served, monotonic()))
        self.changed.set()

    def note_failure(self, notice: FailureNotice) -> None:
        """Record a back end without an answer."""
        self.failures.append(notice)
        self.changed.set()

    def note_leaving(self, notice: LeaveNotice) -> None:
        """Record a back end that leaves."""
        self.leaving[notice.instance] = notice
        self.changed.set()

    def note_call(self, instance: str, is_declined: bool) -> None:
        """Count a call of a back end that declines some."""
        counter = self.declined if is_declined else self.accepted
        counter[instance] += 1
        self.changed.set()

    def take_calls(self) -> list[CallCounts]:
        """Return the calls since the last call of this method."""
        taken = [
            CallCounts(
                instance, self.declined[instance], self.accepted[instance]
            )
            for instance in self.declined.keys() | self.accepted.keys()
        ]
        self.declined.clear()
        self.accepted.clear()
        return taken

    def take_leaving(self) -> list[LeaveNotice]:
        """Return the back ends that leave since the last call."""
        taken = list(self.leaving.values())
        self.leaving.clear()
        return taken

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
            notice._replace(age_ms=notice.age_ms + age_ms(now - at))
            for notice, at in taken
        ]

    def take_served(self) -> list[ServedTrait]:
        """Return the latest served traits since the last call."""
        now = monotonic()
        taken = self.served[-_MAX_SERVED:]
        self.served = []
        return [
            served._replace(age_ms=served.age_ms + age_ms(now - at))
            for served, at in taken
        ]

    def take_failures(self) -> list[FailureNotice]:
        """Return the latest failures since the last call."""
        taken = self.failures[-_MAX_FAILURES:]
        self.failures = []
        return taken
