"""Builds a direct entry from its settings and a platform's wire protocol.

The entry is ready while it has a route table and is not draining. It keeps
serving with its table while no control host is reachable: the platform may
lose any number of them, and the last table received is the newest that this
entry can have.
"""

from collections.abc import Callable
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import sleep
from gevent.pywsgi import WSGIServer

from trestle_core.addresses import resolve_address, write_address_file
from trestle_core.errors import TrestleError
from trestle_core.lifecycle import Application
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.route_table import RouteTable
from trestle_core.settings import DirectSettings
from trestle_core.turns import LOOP_TURNS
from trestle_entry.direct.caller_server import CallerServer
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.load_stream import run_load_stream
from trestle_entry.direct.take_ups import leader_origins
from trestle_entry.direct.wire_types import BackendWire, CallerWire
from trestle_links.control_client import ControlClient
from trestle_links.handshake import read_key
from trestle_links.link import Identity, LinkPool
from trestle_links.packed_document import unpack_document

_MS_PER_SECOND: Final = 1000
_POLL_SECONDS: Final = 0.05
# Time in which an entry that starts hears of routes and loads, if control serves.
_START_SECONDS: Final = 1.0
_POOL_CLEANUP_SECONDS: Final = 1.0
# Time at a stop for the last answers to be sent.
_FLUSH_SECONDS: Final = 0.2
# The end of the drain, in which what still runs is answered.
_ENDING_SECONDS: Final = 2 * _FLUSH_SECONDS

_log = part_logger('entry')


class Platform(NamedTuple):
    """A platform's wire protocol and the parser of its route document.

    `read_table` raises `TrestleError` if the document is invalid.
    """

    caller_wire: CallerWire
    backend_wire: BackendWire
    read_table: Callable[[bytes], RouteTable]


def build_direct(
    settings: DirectSettings,
    platform: Platform,
    read_settings: Callable[[], DirectSettings],
    started_at: float,
    listener: int | None = None,
) -> Application:
    """Assemble a direct entry; `read_settings` is called at a reload.

    Nothing has served since `started_at`, in monotonic seconds, but this
    application. `listener` is the descriptor of a socket that already listens
    for callers.
    """
    metrics = Metrics.empty()
    identity = Identity(
        settings.host,
        read_key(settings.key_file),
        metrics,
        settings.connect_ms / _MS_PER_SECOND,
    )
    control = ControlClient.from_config(
        settings, identity, 'entry', [], metrics
    )
    control.freshness.started_at = started_at
    context = DirectContext(
        settings, platform.caller_wire, platform.backend_wire, metrics
    )
    if not settings.first_start:
        _log.info('The fixed part of the retry limits begins in a window.')
    context.starts_until = monotonic() + _START_SECONDS
    server = CallerServer(context, listener)
    app = Application(
        f'entry {settings.host}', settings.drain_ms / _MS_PER_SECOND
    )
    app.on_task_failure = lambda name: metrics.count('task_failures', name)
    follow_control(context, control, platform.read_table)
    links = LinkPool(identity)
    app.add(start=control.start, stop=control.stop)
    app.add(stop=links.close)
    context.ask_origin = leader_origins(control, links)
    context.list_age_seconds = control.freshness_seconds
    app.add_task(lambda: run_load_stream(context, control, links))
    app.add_task(lambda: _close_expired_connections(context))
    _add_pages(app, context)

    def reload() -> None:
        new_settings = read_settings()
        control.add_addresses(new_settings.control)
        context.apply_settings(new_settings)

    app.reload_hooks.append(reload)

    def start_server() -> None:
        server.start()
        write_address_file(settings.http_address_file, server.bound())

    app.add(
        start=start_server,
        drain=_drain(app, server),
        stop=lambda: server.stop(timeout=1),
    )
    return app


def follow_control(
    context: DirectContext,
    control: ControlClient,
    read_table: Callable[[bytes], RouteTable],
) -> None:
    """Update the route table and the back ends of a context on changes."""

    def apply_document() -> None:
        if context.table is None and not control.is_fresh():
            # A control host that restarts replays older documents first.
            return
        if control.view.document_version in {0, _table_version(context)}:
            return
        try:
            table = read_table(unpack_document(control.view.document))
        except TrestleError as error:
            # Unexpected, because documents are checked before publication.
            _log.error('The route document cannot be used: {}.', error)
            return
        context.take_table(table)
        _log.info('Route table {} is in force.', table.version)

    def apply_backends() -> None:
        fleet = context.fleet
        fleet.replace_list(control.view.backends)
        context.pool.keep_only(set(fleet.backends))
        context.loads.keep_only(set(fleet.backends))
        context.crash_guard.keep_only(set(fleet.backends))

    control.on_document.append(apply_document)
    control.on_stamp.append(apply_document)
    control.on_stamp.append(context.note_confirmed)
    control.on_backends.append(apply_backends)


def _table_version(context: DirectContext) -> int:
    return context.table.version if context.table else 0


def _add_pages(app: Application, context: DirectContext) -> None:
    settings = context.settings

    def ready(_environ: Any, start_response: Any) -> list[bytes]:
        is_ready = context.table is not None and not app.stop_asked.is_set()
        status = '200 OK' if is_ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return []

    def metrics(_environ: Any, start_response: Any) -> list[bytes]:
        context.metrics.set_gauge('paced_turns', LOOP_TURNS.paced)
        body = context.metrics.render().encode()
        headers = [
            ('Content-Type', 'text/plain; version=0.0.4'),
            ('Content-Length', str(len(body))),
        ]
        start_response('200 OK', headers)
        return [body]

    pages = [(settings.ready_listen, ready)]
    if settings.metrics_listen:
        pages.append((settings.metrics_listen, metrics))
    for listen, page in pages:
        address = resolve_address(listen)
        server = WSGIServer(
            (address.ip, address.port), page, log=None, error_log=None
        )
        app.add(start=server.start, stop=server.stop)


def _close_expired_connections(context: DirectContext) -> None:
    while True:
        sleep(_POOL_CLEANUP_SECONDS)
        context.pool.close_expired()


def _drain(app: Application, server: CallerServer) -> Callable[[], None]:
    """Return the drain hook; readiness ends as soon as a stop is requested.

    Requests are accepted until the load balancer has had time to notice.
    Meanwhile each answer closes its connection, so that callers reconnect to
    another entry. What still runs at the end is answered by this entry.
    """
    settings = server.context.settings
    planned_stop = server.context.planned_stop

    def drain() -> None:
        ends_at = monotonic() + app.drain_seconds - _ENDING_SECONDS
        server.is_closing = True
        sleep(settings.drain_notice_ms / _MS_PER_SECOND)
        planned_stop.begin(ends_at)
        server.close_idle()
        server.stop_listening()
        _wait_for_handlers(server, ends_at)
        planned_stop.end_requests()
        _wait_for_handlers(server, monotonic() + _FLUSH_SECONDS)
        sleep(_FLUSH_SECONDS)

    return drain


def _wait_for_handlers(server: CallerServer, until: float) -> None:
    """Wait until no connection of a caller is left, or until a time."""
    handlers = server.pool
    while handlers and len(handlers) and monotonic() < until:
        sleep(_POLL_SECONDS)
