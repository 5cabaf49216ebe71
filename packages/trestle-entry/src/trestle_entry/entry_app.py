"""Builds the entry process from its settings.

A request passes through `http_server`, its handler and `admission`. Then
`completion_runner`, `idempotent_calls` or `claimed_calls` runs it with a
permit from `permit_acquisition`.
"""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Final

from gevent import sleep

from trestle_core.addresses import write_address_file
from trestle_core.lifecycle import Application
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import EntrySettings
from trestle_entry.content_gate import ContentGate
from trestle_entry.entry_context import EntryContext, Inflight, RequestQueues
from trestle_entry.estimates import Estimates
from trestle_entry.http_server import HttpServer
from trestle_entry.offered_load import OfferedLoad
from trestle_entry.reported_loads import LOAD_POLICIES, ReportedLoads
from trestle_entry.request_records import RequestRecords
from trestle_entry.retry_budget import RetryBudgets
from trestle_entry.routing_policies import (
    RoutingPolicy,
    least_load_policy,
    permits_policy,
    random_policy,
    round_robin_policy,
    two_choices_policy,
)
from trestle_links.control_client import ControlClient
from trestle_links.handshake import read_key
from trestle_links.link import Identity, LinkPool

_MS_PER_SECOND: Final = 1000
_DRAIN_POLL_SECONDS: Final = 0.05
# Left of the drain to answer what still runs.
_ENDING_SECONDS: Final = 1.0

_log = part_logger('entry')


def build_entry(settings: EntrySettings) -> Application:
    """Assemble the application of an entry process."""
    loads = ReportedLoads()
    context = build_context(settings, loads)
    server = HttpServer(context)
    app = Application(
        f'entry {settings.host}', settings.drain_ms / _MS_PER_SECOND
    )

    def start_server() -> None:
        address = server.start()
        write_address_file(settings.http_address_file, address)
        _log.info('Listening for callers on {}.', address)

    app.add(start=context.control.start, stop=context.control.stop)
    if settings.routing in LOAD_POLICIES:
        app.add_task(lambda: loads.poll(context))
    app.add(stop=context.links.close)
    app.add(start=start_server, drain=drain_hook(server), stop=server.stop)
    return app


def build_context(
    settings: EntrySettings, loads: ReportedLoads
) -> EntryContext:
    """Create the state that all requests share."""
    metrics = Metrics()
    identity = Identity(settings.host, read_key(settings.key_file), metrics)
    estimates = Estimates()
    control = ControlClient.from_config(
        settings, identity, 'entry', [], metrics
    )
    return EntryContext(
        settings=settings,
        control=control,
        links=LinkPool(identity),
        metrics=metrics,
        estimates=estimates,
        policy=_routing_policy(settings, estimates, loads),
        queues=RequestQueues(settings.max_inflight),
        budgets=RetryBudgets(),
        inflight=Inflight(),
        records=RequestRecords(metrics),
        offered_load=OfferedLoad(control.figures, estimates),
        content_gate=ContentGate(metrics),
    )


def _routing_policy(
    settings: EntrySettings, estimates: Estimates, loads: ReportedLoads
) -> RoutingPolicy:
    random = Random(settings.host)
    policies: dict[str, Callable[[], RoutingPolicy]] = {
        'permits': lambda: permits_policy(estimates, settings.zone),
        'random': lambda: random_policy(random),
        'round-robin': round_robin_policy,
        'least-load': lambda: least_load_policy(loads.requests_at, random),
        'two-choices': lambda: two_choices_policy(loads.requests_at, random),
    }
    return policies[settings.routing]()


def drain_hook(server: HttpServer) -> Callable[[], None]:
    """Return the drain hook: turn readiness off, wait for started work.

    New requests are accepted until the balancer has had time to notice. What
    still runs at the end is answered.
    """
    settings = server.context.settings

    def drain() -> None:
        drain_seconds = settings.drain_ms / _MS_PER_SECOND
        ending_seconds = min(_ENDING_SECONDS, drain_seconds / 2)
        deadline = monotonic() + drain_seconds - ending_seconds
        server.drain_state.ready = False
        sleep(settings.drain_notice_ms / _MS_PER_SECOND)
        server.drain_state.draining = True
        while server.context.inflight.total and monotonic() < deadline:
            sleep(_DRAIN_POLL_SECONDS)
        server.end_requests(ending_seconds)

    return drain
