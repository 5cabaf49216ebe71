"""The lagging loads that the baselines of the routing policy rest on.

Asked of every endpoint in turn of a period, as a balancer that probes its
back ends would. The policy `permits` does without them.
"""

from typing import Final

from gevent import sleep, spawn

from trestle_core.errors import TrestleError
from trestle_entry.entry_context import EntryContext
from trestle_links.permit_messages import LoadAsk, LoadReport
from trestle_links.watch_messages import EndpointInfo

LOAD_POLICIES: Final = frozenset(('least-load', 'two-choices'))
_PERIOD_SECONDS: Final = 0.25


class ReportedLoads:
    """The last reported requests by endpoint host."""

    def __init__(self) -> None:
        """Take unknown endpoints for idle."""
        self.by_host: dict[str, int] = {}

    def of(self, host: str) -> float:
        """Return the requests that an endpoint last reported."""
        return self.by_host.get(host, 0)

    def poll(self, context: EntryContext) -> None:
        """Ask all endpoints, once in a period, for ever."""
        while True:
            for info in list(context.control.view.endpoints.values()):
                spawn(self._ask, context, info)
            sleep(_PERIOD_SECONDS)

    def _ask(self, context: EntryContext, info: EndpointInfo) -> None:
        link = context.links.link_to(info.address)
        try:
            report = link.call(LoadAsk(), LoadReport, _PERIOD_SECONDS)
        except TrestleError:
            context.metrics.count('load_asks_lost')
        else:
            self.by_host[info.host] = report.requests
