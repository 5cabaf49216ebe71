"""The reported loads that the baseline routing policies use.

All endpoints are polled periodically, as a balancer that probes its back ends
would do, so the loads lag. The policy `permits` does not use them.
"""

from typing import Final

from gevent import sleep, spawn

from trestle_core.errors import TrestleError
from trestle_entry.entry_context import EntryContext
from trestle_links.permit_messages import LoadAsk, LoadReport
from trestle_links.watch_messages import EndpointInfo

LOAD_POLICIES: Final = frozenset(('least-load', 'two-choices'))
_POLL_PERIOD_SECONDS: Final = 0.25


class ReportedLoads:
    """The last reported number of requests by endpoint host."""

    def __init__(self) -> None:
        """Assume that unknown endpoints are idle."""
        self.by_host: dict[str, int] = {}

    def requests_at(self, host: str) -> float:
        """Return the number of requests that an endpoint last reported."""
        return self.by_host.get(host, 0)

    def poll(self, context: EntryContext) -> None:
        """Poll all endpoints once per period; never returns."""
        while True:
            for info in list(context.control.view.endpoints.values()):
                spawn(self._poll_endpoint, context, info)
            sleep(_POLL_PERIOD_SECONDS)

    def _poll_endpoint(self, context: EntryContext, info: EndpointInfo) -> None:
        link = context.links.link_to(info.address)
        try:
            report = link.call(LoadAsk(), LoadReport, _POLL_PERIOD_SECONDS)
        except TrestleError:
            context.metrics.count('load_asks_lost')
        else:
            self.by_host[info.host] = report.requests
