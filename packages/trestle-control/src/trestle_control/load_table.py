"""Loads of all entries, summed on the leader.

Each entry reports what it has in work and gets the sums of the others, so
that an estimate does not rest on the small part of the load that one entry
sees. Reports are kept in memory only: a new leader has them within one
round, and meanwhile each entry goes by its own figures.

What engines hold of shared prompt parts travels along (`placement_log`).
"""

from collections import deque
from collections.abc import Iterable
from time import monotonic
from typing import Final, NamedTuple

from trestle_control.control_errors import NotLeaderError
from trestle_control.placement_log import PlacementLog
from trestle_control.replica_api import ReplicaApi
from trestle_links.connection import Channel
from trestle_links.direct_messages import LoadReport, LoadView
from trestle_links.engine_slowness import SlownessTable
from trestle_links.link_server import Handlers

# Reports older than this say nothing of the present load.
_STALE_SECONDS: Final = 2.0
# Seconds after its last report until an entry no longer counts.
_GONE_SECONDS: Final = 5.0
# An engine that changes its role is back after three seconds, and the list
# shows the new role a second later.
_CHANGE_SECONDS: Final = 4.5
_SUSPECTS_KEPT: Final = 64
_MS_PER_SECOND: Final = 1000


class Reported(NamedTuple):
    """A report and when it came."""

    report: LoadReport
    came_at: float


class LoadTable:
    """The last report of every entry."""

    def __init__(self, replica: ReplicaApi) -> None:
        """Start with no report."""
        self.replica = replica
        self.reported: dict[str, Reported] = {}
        self.placements = PlacementLog()
        self.moving = SlownessTable()
        self.suspects: deque[str] = deque(maxlen=_SUSPECTS_KEPT)
        # Engines whose role was ordered to change, and when.
        self.changing: dict[str, float] = {}

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {LoadReport: self.exchange}

    def exchange(self, report: LoadReport, _channel: Channel) -> LoadView:
        """Note a report and return the sums of the others.

        Raises `NotLeaderError`: another host has the reports.
        """
        if not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        now = monotonic()
        self._note(report, now)
        others = [
            entry
            for entry in self._recent(now)
            if entry.report.host != report.host
        ]
        oldest = min((entry.came_at for entry in others), default=now)
        # Numbers of another leader say nothing here.
        seen = report.seen if report.term == self.replica.term else 0
        return LoadView(
            entries=self._entries(now),
            prefill_ms=_sum(entry.report.prefill_ms for entry in others),
            running=_running(others),
            placements=self.placements.placements_after(seen, report.host),
            suspects=list(self.suspects),
            seen=self.placements.number,
            changing=self._changing(now),
            age_ms=int((now - oldest) * _MS_PER_SECOND),
            term=self.replica.term,
            memories=self.placements.memories_after(seen),
            move_slowness=self.moving.figures(),
        )

    def running(self) -> dict[str, int]:
        """Return the requests in work by back end, over all entries."""
        return _running(self._recent(monotonic()))

    def _recent(self, now: float) -> list[Reported]:
        return [
            entry
            for entry in self.reported.values()
            if now - entry.came_at < _STALE_SECONDS
        ]

    def _note(self, report: LoadReport, now: float) -> None:
        self.reported[report.host] = Reported(report, now)
        self.placements.note_report(report.host, report.placements)
        for instance, slowness in report.move_slowness.items():
            self.moving.note(instance, slowness)
        self.suspects.extend(report.suspects)

    def _changing(self, now: float) -> list[str]:
        self.changing = {
            instance: since
            for instance, since in self.changing.items()
            if now - since < _CHANGE_SECONDS
        }
        return list(self.changing)

    def _entries(self, now: float) -> int:
        return sum(
            now - entry.came_at < _GONE_SECONDS
            for entry in self.reported.values()
        )


def _running(entries: list[Reported]) -> dict[str, int]:
    totals = _sum(entry.report.running for entry in entries)
    return {name: int(total) for name, total in totals.items()}


def _sum(
    tables: Iterable[dict[str, float] | dict[str, int]],
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for table in tables:
        for name, amount in table.items():
            totals[name] = totals.get(name, 0) + amount
    return totals
