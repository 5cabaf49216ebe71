"""HTTP pages for the platform and operators: health, metrics, requests."""

from trestle_core.errorcodes import DRAINING, NOT_FOUND
from trestle_core.errors import TrestleError
from trestle_core.texts import DRAINING as DRAINING_TEXT
from trestle_entry.admission import check_fresh
from trestle_entry.entry_context import EntryContext
from trestle_entry.http_types import (
    HttpCall,
    HttpReply,
    json_reply,
    text_reply,
)
from trestle_entry.model_pages import Page


class DrainState:
    """Whether the process is ready and whether it takes new requests.

    A planned stop first turns readiness off: the balancer sees that late, so
    requests are taken for a while longer.
    """

    def __init__(self) -> None:
        """Be ready and take requests."""
        self.ready = True
        self.draining = False

    def check(self) -> None:
        """Raise `draining` once requests are not taken any more."""
        if self.draining:
            raise TrestleError(DRAINING, DRAINING_TEXT)

    def check_ready(self) -> None:
        """Raise `draining` once a planned stop has begun."""
        if not self.ready:
            raise TrestleError(DRAINING, DRAINING_TEXT)


def health_page(_call: HttpCall) -> HttpReply:
    """Answer that the process runs."""
    return json_reply({'status': 'ok'})


def ready_page(context: EntryContext, drain: DrainState) -> Page:
    """Return the readiness page: 503 when draining, stale or without a set."""

    def page(_call: HttpCall) -> HttpReply:
        drain.check_ready()
        check_fresh(context)
        view = context.control.view
        return json_reply(
            {
                'ready': view.named_set is not None,
                'set_version': view.set_version,
            }
        )

    return page


def metrics_page(context: EntryContext) -> Page:
    """Return the page of all counters and histograms."""

    def page(_call: HttpCall) -> HttpReply:
        metrics = context.metrics
        metrics.set_gauge('inflight', context.inflight.total)
        metrics.set_gauge(
            'freshness_seconds', context.control.freshness_seconds()
        )
        return text_reply(metrics.render())

    return page


def request_page(context: EntryContext) -> Page:
    """Return the page that tells the story of one recent request."""

    def page(call: HttpCall) -> HttpReply:
        request_id = call.path.rpartition('/')[2]
        record = context.records.recent.get(request_id)
        if record is None:
            raise TrestleError(NOT_FOUND, f'No recent request {request_id}.')
        return json_reply(record.summary())

    return page
