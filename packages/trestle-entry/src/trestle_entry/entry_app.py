"""Builds the entry process from its settings.

The pipeline of a request: `http_server`, the pages, `admission`, `places`,
then `completions`, `idempotent_calls` or `claimed_calls`.
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
from trestle_entry.choosing import (
    Choose,
    choose_at_random,
    choose_by_permits,
    choose_least_load,
    choose_of_two,
    choose_round_robin,
)
from trestle_entry.content_gate import ContentGate
from trestle_entry.entry_context import EntryContext, Inflight, WaitingRooms
from trestle_entry.estimates import Estimates
from trestle_entry.http_server import HttpServer
from trestle_entry.offered_work import OfferedWork
from trestle_entry.reported_loads import LOAD_POLICIES, ReportedLoads
from trestle_entry.request_records import RequestRecords
from trestle_entry.retry_budget import RetryBudgets
from trestle_links.control_client import ControlClient
from trestle_links.handshake import read_key
from trestle_links.link import Identity, LinkPool

_MS_PER_SECOND: Final = 1000
_DRAIN_POLL_SECONDS: Final = 0.05

_log = part_logger('entry')


def build_entry(settings: EntrySettings) -> Application:
    """Join the parts of an entry process."""
    loads = ReportedLoads()
    context = build_context(settings, loads)
    server = HttpServer(context)
    app = Application(
        f'entry {settings.host}', settings.drain_ms / _MS_PER_SECOND
    )

    def start_server() -> None:
        address = server.start()
        write_address_file(settings.http_address_file, address)
        _log.info('Callers connect to {}.', address)

    app.add(start=context.control.start, stop=context.control.stop)
    if settings.routing in LOAD_POLICIES:
        app.add_task(lambda: loads.poll(context))
    app.add(stop=context.links.close)
    app.add(start=start_server, drain=_drain(server), stop=server.stop)
    return app


def build_context(
    settings: EntrySettings, loads: ReportedLoads
) -> EntryContext:
    """Make the parts that all requests share."""
    metrics = Metrics()
    me = Identity(settings.host, read_key(settings.key_file), metrics)
    estimates = Estimates()
    control = ControlClient.from_config(settings, me, 'entry', [], metrics)
    return EntryContext(
        settings=settings,
        control=control,
        links=LinkPool(me),
        metrics=metrics,
        estimates=estimates,
        choose=_policy(settings, estimates, loads),
        rooms=WaitingRooms(settings.max_inflight),
        budgets=RetryBudgets(),
        inflight=Inflight(),
        records=RequestRecords(metrics),
        offered=OfferedWork(control.figures, estimates),
        gate=ContentGate(metrics),
    )


def _policy(
    settings: EntrySettings, estimates: Estimates, loads: ReportedLoads
) -> Choose:
    random = Random(settings.host)
    policies: dict[str, Callable[[], Choose]] = {
        'permits': lambda: choose_by_permits(estimates, settings.zone),
        'random': lambda: choose_at_random(random),
        'round-robin': choose_round_robin,
        'least-load': lambda: choose_least_load(loads.of, random),
        'two-choices': lambda: choose_of_two(loads.of, random),
    }
    return policies[settings.routing]()


def _drain(server: HttpServer) -> Callable[[], None]:
    """Return the drain hook: readiness off, then wait for started work.

    Requests are taken until the balancer had time to see the readiness.
    """
    settings = server.context.settings

    def drain() -> None:
        deadline = monotonic() + settings.drain_ms / _MS_PER_SECOND
        server.drain_state.ready = False
        sleep(settings.drain_notice_ms / _MS_PER_SECOND)
        server.drain_state.draining = True
        while server.context.inflight.total and monotonic() < deadline:
            sleep(_DRAIN_POLL_SECONDS)

    return drain
