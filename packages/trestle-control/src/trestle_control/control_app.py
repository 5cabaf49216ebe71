"""The control process: replica, state, servers and the leader's tasks."""

from collections.abc import Callable
from typing import Final, NamedTuple

from trestle_control.apply import ControlStateMachine
from trestle_control.command_server import CommandServer
from trestle_control.host_list import HostListReader
from trestle_control.leader_clock import LeaderClock
from trestle_control.node_table import NodeRelay, NodeTable
from trestle_control.queries import QueryContext
from trestle_control.replica import Replica
from trestle_control.role_manager import RoleManager
from trestle_control.rollout_manager import RolloutManager
from trestle_control.status_pages import StatusPages
from trestle_control.watch_server import WatchServer
from trestle_core.addresses import write_address_file
from trestle_core.lifecycle import Application
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.handshake import read_key
from trestle_links.link import Identity
from trestle_links.link_server import Handlers, LinkServer

_MS_PER_SECOND: Final = 1000


class ControlParts(NamedTuple):
    """The parts that control services of a platform use."""

    app: Application
    state_machine: ControlStateMachine
    replica: Replica
    metrics: Metrics
    identity: Identity


ExtendControl = Callable[[ControlParts], Handlers]


def build_control(
    settings: ControlSettings, extend: ExtendControl | None = None
) -> Application:
    """Assemble a control process.

    `extend` may add services to the application and returns link handlers.

    Raises `TrestleError` when the data folder cannot be used, `OSError` or
    `ValueError` when the key cannot be read.
    """
    metrics = Metrics.empty()
    identity = Identity(
        settings.host,
        read_key(settings.key_file),
        metrics,
        settings.connect_ms / _MS_PER_SECOND,
    )
    state_machine = ControlStateMachine()
    replica = Replica.from_config(settings, state_machine, identity)
    app = Application(
        f'control {settings.host}', settings.drain_ms / _MS_PER_SECOND
    )
    app.on_task_failure = lambda name: metrics.count('task_failures', name)

    # A member whose disk failed must stop serving.
    replica.on_failed.append(app.fail)
    nodes = NodeTable()
    relay = NodeRelay.from_config(settings, nodes, identity)
    watches = WatchServer(state_machine, replica, nodes, metrics)
    context = QueryContext(state_machine.state, nodes, replica.group_status)
    commands = CommandServer(
        replica, context, settings.answer_limit_bytes, metrics
    )
    parts = ControlParts(app, state_machine, replica, metrics, identity)
    extra_handlers = extend(parts) if extend else {}
    _add_servers(
        app,
        settings,
        identity,
        {
            **extra_handlers,
            **replica.handlers(),
            **relay.handlers(),
            **watches.handlers(),
            **commands.handlers(),
        },
    )
    app.add(start=replica.start, stop=replica.stop)
    _add_pages(app, settings, metrics, replica)
    app.add(stop=relay.close)
    app.add_task(relay.run)
    _add_leader_tasks(app, settings, state_machine, replica, nodes, metrics)
    return app


def _add_leader_tasks(
    app: Application,
    settings: ControlSettings,
    state_machine: ControlStateMachine,
    replica: Replica,
    nodes: NodeTable,
    metrics: Metrics,
) -> None:
    """Add the tasks that run on every member and act on the leader."""
    clock = LeaderClock(state_machine, replica, settings.answer_retention_ms)
    app.add_task(clock.run)
    rollout_manager = RolloutManager(state_machine, replica, metrics)
    app.add_task(rollout_manager.run)
    role_manager = RoleManager.from_config(
        settings, state_machine, replica, nodes, metrics
    )
    app.add_task(role_manager.run)
    if settings.host_list_url:
        host_list_reader = HostListReader.from_config(
            settings, state_machine, replica, metrics
        )
        app.add_task(host_list_reader.run)


def _add_servers(
    app: Application,
    settings: ControlSettings,
    identity: Identity,
    handlers: Handlers,
) -> None:
    server = LinkServer(settings.listen, identity, handlers)

    def start() -> None:
        server.start()
        write_address_file(settings.address_file, server.address)

    app.add(start=start, stop=server.stop)


def _add_pages(
    app: Application,
    settings: ControlSettings,
    metrics: Metrics,
    replica: Replica,
) -> None:
    stale_seconds = settings.stale_after_ms / _MS_PER_SECOND

    def is_ready() -> bool:
        if app.stop_asked.is_set():
            return False
        return replica.freshness_age_seconds() < stale_seconds

    pages = StatusPages(settings.http_listen, metrics, is_ready)

    def start() -> None:
        pages.start()
        write_address_file(settings.http_address_file, pages.address)

    app.add(start=start, stop=pages.stop)
