"""HTTP handlers for the platform and operators: health, metrics, requests."""

from trestle_core.errorcodes import DRAINING, NOT_FOUND
from trestle_core.errors import TrestleError
from trestle_core.texts import DRAINING as DRAINING_TEXT
from trestle_entry.admission import check_fresh
from trestle_entry.entry_context import EntryContext
from trestle_entry.http_types import (
    HttpRequest,
    HttpResponse,
    json_response,
    text_response,
)
from trestle_entry.model_handlers import Handler


class DrainState:
    """Whether the process is ready and whether it accepts requests.

    A planned stop first turns readiness off. The balancer notices with a
    delay, so requests are accepted a while longer.
    """

    def __init__(self) -> None:
        """Start ready and accepting requests."""
        self.ready = True
        self.draining = False

    def check_accepting(self) -> None:
        """Raise `draining` once requests are no longer accepted."""
        if self.draining:
            raise TrestleError(DRAINING, DRAINING_TEXT)

    def check_ready(self) -> None:
        """Raise `draining` once a planned stop has begun."""
        if not self.ready:
            raise TrestleError(DRAINING, DRAINING_TEXT)


def health_handler(_request: HttpRequest) -> HttpResponse:
    """Report that the process is running."""
    return json_response({'status': 'ok'})


def ready_handler(context: EntryContext, drain_state: DrainState) -> Handler:
    """Return the readiness handler.

    It responds with 503 while draining or stale. Without a named set the
    status is 200 and `ready` is false.
    """

    def handle(_request: HttpRequest) -> HttpResponse:
        drain_state.check_ready()
        check_fresh(context)
        view = context.control.view
        return json_response(
            {
                'ready': view.named_set is not None,
                'set_version': view.set_version,
            }
        )

    return handle


def metrics_handler(context: EntryContext) -> Handler:
    """Return the handler of `GET /metrics`: all counters and histograms."""

    def handle(_request: HttpRequest) -> HttpResponse:
        metrics = context.metrics
        metrics.set_gauge('inflight', context.inflight.total)
        metrics.set_gauge(
            'freshness_seconds', context.control.freshness_seconds()
        )
        return text_response(metrics.render())

    return handle


def request_trace_handler(context: EntryContext) -> Handler:
    """Return the handler of `GET /requests/ID`: the trace of a request."""

    def handle(request: HttpRequest) -> HttpResponse:
        request_id = request.path.rpartition('/')[2]
        record = context.records.recent.get(request_id)
        if record is None:
            raise TrestleError(NOT_FOUND, f'No recent request {request_id}.')
        return json_response(record.summary())

    return handle
