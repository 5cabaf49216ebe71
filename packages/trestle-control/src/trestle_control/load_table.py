"""Loads of all entries, summed on the leader.

Each entry reports its running requests and receives the sums over the other
entries, so that its estimates cover the load of the whole fleet. Reports are
kept in memory only: a new leader receives them within one round, and until
then each entry relies on its own figures.

The exchange also carries which shared prompt parts the engines have cached
(`placement_log`).
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

# Older reports do not describe the current load.
_STALE_SECONDS: Final = 2.0
# An entry that sent no report for this long is not counted.
_ENTRY_TIMEOUT_SECONDS: Final = 5.0
# A role change takes an engine about three seconds, and the list shows the
# new role a second later.
_ROLE_CHANGE_SECONDS: Final = 4.5
_MAX_SUSPECTS: Final = 64
_MS_PER_SECOND: Final = 1000


class TimedLoadReport(NamedTuple):
    """A report and its monotonic time of receipt."""

    report: LoadReport
    received_at: float


class LoadTable:
    """The last report of every entry."""

    def __init__(self, replica: ReplicaApi) -> None:
        """Start without reports."""
        self.replica = replica
        self.reports: dict[str, TimedLoadReport] = {}
        self.placements = PlacementLog()
        self.transfer_slowness = SlownessTable()
        self.suspects: deque[str] = deque(maxlen=_MAX_SUSPECTS)
        # Time of the last role order by engine.
        self.changing_since: dict[str, float] = {}

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {LoadReport: self.exchange}

    def exchange(self, report: LoadReport, _channel: Channel) -> LoadView:
        """Store a report and return the sums over the other entries.

        Raises `NotLeaderError` unless this host leads.
        """
        if not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        now = monotonic()
        self._record(report, now)
        other_reports = [
            entry
            for entry in self._recent_reports(now)
            if entry.report.host != report.host
        ]
        oldest = min(
            (entry.received_at for entry in other_reports), default=now
        )
        # Change numbers are valid only for the leader that assigned them.
        seen = report.seen if report.term == self.replica.term else 0
        return LoadView(
            entries=self._count_entries(now),
            prefill_ms=_sum_by_name(
                entry.report.prefill_ms for entry in other_reports
            ),
            running=_sum_running(other_reports),
            placements=self.placements.placements_after(seen, report.host),
            suspects=list(self.suspects),
            seen=self.placements.last_number,
            changing=self._changing(now),
            age_ms=int((now - oldest) * _MS_PER_SECOND),
            term=self.replica.term,
            memories=self.placements.caches_after(seen),
            move_slowness=self.transfer_slowness.figures(),
        )

    def running_requests(self) -> dict[str, int]:
        """Return the running requests by back end, over all entries."""
        return _sum_running(self._recent_reports(monotonic()))

    def _recent_reports(self, now: float) -> list[TimedLoadReport]:
        return [
            entry
            for entry in self.reports.values()
            if now - entry.received_at < _STALE_SECONDS
        ]

    def _record(self, report: LoadReport, now: float) -> None:
        self.reports[report.host] = TimedLoadReport(report, now)
        self.placements.record_report(report.host, report.placements)
        for instance, slowness in report.move_slowness.items():
            self.transfer_slowness.note(instance, slowness)
        self.suspects.extend(report.suspects)

    def _changing(self, now: float) -> list[str]:
        self.changing_since = {
            instance: changed_at
            for instance, changed_at in self.changing_since.items()
            if now - changed_at < _ROLE_CHANGE_SECONDS
        }
        return list(self.changing_since)

    def _count_entries(self, now: float) -> int:
        return sum(
            now - entry.received_at < _ENTRY_TIMEOUT_SECONDS
            for entry in self.reports.values()
        )


def _sum_running(entries: list[TimedLoadReport]) -> dict[str, int]:
    totals = _sum_by_name(entry.report.running for entry in entries)
    return {name: int(total) for name, total in totals.items()}


def _sum_by_name(
    tables: Iterable[dict[str, float] | dict[str, int]],
) -> dict[str, float]:
    totals: dict[str, float] = {}
    for table in tables:
        for name, amount in table.items():
            totals[name] = totals.get(name, 0) + amount
    return totals
