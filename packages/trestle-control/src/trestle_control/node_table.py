"""The last report of every node, from its stream or from another host.

Each control host sends the reports of its own streams to the other hosts
once a second, so that any host can tell which nodes hold a version and the
leader has the figures for its role policy.
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
# A node that has not been heard of for this long is forgotten.
_FORGET_SECONDS: Final = 60.0
_MS_PER_SECOND: Final = 1000


class Noted(NamedTuple):
    """A report and when it was made, by this host's clock."""

    report: NodeReport
    made_at: float
    is_own: bool


class NodeTable:
    """Reports by host."""

    def __init__(self) -> None:
        """Start with no node."""
        self.noted: dict[str, Noted] = {}

    def note(
        self, report: NodeReport, made_at: float, *, is_own: bool = True
    ) -> None:
        """Keep a report if it is newer than the one at hand."""
        known = self.noted.get(report.host)
        if known is None or made_at >= known.made_at:
            self.noted[report.host] = Noted(report, made_at, is_own)

    def reports(self) -> list[NodeReport]:
        """Return every report with its present age."""
        return [_aged(noted) for noted in self._recent()]

    def own_reports(self) -> list[NodeReport]:
        """Return the reports of this host's streams."""
        return [_aged(noted) for noted in self._recent() if noted.is_own]

    def _recent(self) -> list[Noted]:
        oldest = monotonic() - _FORGET_SECONDS
        for host, noted in list(self.noted.items()):
            if noted.made_at < oldest:
                self.noted.pop(host)
        return list(self.noted.values())


class NodeRelay:
    """Sends this host's reports to the other control hosts."""

    def __init__(
        self, table: NodeTable, addresses: list[str], me: Identity
    ) -> None:
        """Dial nothing yet."""
        self.table = table
        self.addresses = addresses
        self.links = LinkPool(me)

    @classmethod
    def from_config(
        cls, settings: ControlSettings, table: NodeTable, me: Identity
    ) -> 'NodeRelay':
        """Make a relay to the other members."""
        addresses = [
            member.address
            for member in settings.members
            if member.host != settings.host
        ]
        return cls(table, addresses, me)

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {NodeReports: self.take}

    def take(self, reports: NodeReports, _channel: Channel) -> Done:
        """Note the reports of another control host."""
        now = monotonic()
        for report in reports.nodes:
            made_at = now - report.age_ms / _MS_PER_SECOND
            self.table.note(report, made_at, is_own=False)
        return Done()

    def close(self) -> None:
        """Close the links to the other hosts."""
        self.links.close()

    def run(self) -> None:
        """Send once a second, for ever."""
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


def _aged(noted: Noted) -> NodeReport:
    age_seconds = monotonic() - noted.made_at
    return noted.report._replace(age_ms=int(age_seconds * _MS_PER_SECOND))
