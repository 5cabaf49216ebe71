"""The last report of every node, received on its stream or from another host.

Each control host sends the reports from its own streams to the other control
hosts once a second. Any host can therefore report which nodes have a
version in force, and the leader has the figures for its role policy.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import joinall, sleep, spawn

from trestle_core.errors import TrestleError
from trestle_core.settings import ControlSettings
from trestle_links.connection import Channel
from trestle_links.link import Identity, LinkPool
from trestle_links.link_messages import Done
from trestle_links.link_server import Handlers
from trestle_links.watch_messages import NodeReport, NodeReports

RELAY_SECONDS: Final = 1.0
# Two rounds, as a host may start right behind one.
_HEARD_ALL_SECONDS: Final = 2 * RELAY_SECONDS
# The report of a node is dropped after this time without a newer one.
_RETENTION_SECONDS: Final = 60.0
_MS_PER_SECOND: Final = 1000


class TimedReport(NamedTuple):
    """A report and its time of creation, by this host's clock."""

    report: NodeReport
    created_at: float
    is_own: bool


class NodeTable:
    """The last report of every node, by host."""

    def __init__(self) -> None:
        """Start without reports."""
        self.reports_by_host: dict[str, TimedReport] = {}
        self.complete_at = monotonic() + _HEARD_ALL_SECONDS

    def wait_until_complete(self) -> None:
        """Wait until every host that runs has told its reports.

        A host that has just started knows of no node, or of few.
        """
        sleep(max(0.0, self.complete_at - monotonic()))

    def record(
        self, report: NodeReport, created_at: float, *, is_own: bool = True
    ) -> None:
        """Store a report unless a newer one of the host is stored."""
        previous = self.reports_by_host.get(report.host)
        if previous is None or created_at >= previous.created_at:
            self.reports_by_host[report.host] = TimedReport(
                report, created_at, is_own
            )

    def reports(self) -> list[NodeReport]:
        """Return every report with its current age."""
        return [_with_current_age(entry) for entry in self._recent()]

    def own_reports(self) -> list[NodeReport]:
        """Return the reports of this host's streams."""
        return [
            _with_current_age(entry) for entry in self._recent() if entry.is_own
        ]

    def _recent(self) -> list[TimedReport]:
        oldest = monotonic() - _RETENTION_SECONDS
        for host, entry in list(self.reports_by_host.items()):
            if entry.created_at < oldest:
                self.reports_by_host.pop(host)
        return list(self.reports_by_host.values())


class NodeRelay:
    """Sends this host's reports to the other control hosts."""

    def __init__(
        self, table: NodeTable, addresses: list[str], identity: Identity
    ) -> None:
        """Start without connections."""
        self.table = table
        self.addresses = addresses
        self.links = LinkPool(identity)

    @classmethod
    def from_config(
        cls, settings: ControlSettings, table: NodeTable, identity: Identity
    ) -> 'NodeRelay':
        """Create a relay to the other members."""
        addresses = [
            member.address
            for member in settings.members
            if member.host != settings.host
        ]
        return cls(table, addresses, identity)

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {NodeReports: self.receive}

    def receive(self, reports: NodeReports, _channel: Channel) -> Done:
        """Store the reports of another control host."""
        now = monotonic()
        for report in reports.nodes:
            created_at = now - report.age_ms / _MS_PER_SECOND
            self.table.record(report, created_at, is_own=False)
        return Done()

    def close(self) -> None:
        """Close the links to the other hosts."""
        self.links.close()

    def run(self) -> None:
        """Send the reports once a second."""
        while True:
            sleep(RELAY_SECONDS)
            reports = NodeReports(self.table.own_reports())
            if reports.nodes:
                joinall(
                    [
                        spawn(self._send, address, reports)
                        for address in self.addresses
                    ]
                )

    def _send(self, address: str, reports: NodeReports) -> None:
        try:
            self.links.link_to(address).call(reports, Done, RELAY_SECONDS)
        except TrestleError:
            # The next round carries newer reports.
            self.links.forget(address)


def _with_current_age(entry: TimedReport) -> NodeReport:
    age_seconds = monotonic() - entry.created_at
    return entry.report._replace(age_ms=int(age_seconds * _MS_PER_SECOND))
