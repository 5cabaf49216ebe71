"""Assembles the endpoint process into one application.

At the start the process listens for links, follows the control state and
requests admission; it refuses every permit request until all three have
succeeded. At the stop it first reports itself as not ready and grants no
more permits, then waits until admitted work has ended and its outcomes are
committed, and closes the links last.
"""

from typing import Final

from gevent import Greenlet, sleep, spawn

from trestle_core.addresses import resolve_address, write_address_file
from trestle_core.lifecycle import Application
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import EndpointSettings
from trestle_endpoint.admission import admit_with_retries
from trestle_endpoint.endpoint_core import EndpointCore, Target, build_core
from trestle_endpoint.engine_target import build_engine_target
from trestle_endpoint.http_pages import HttpPages
from trestle_endpoint.permit_handlers import build_permit_handlers
from trestle_endpoint.service_target import build_service_target
from trestle_links.fleet_messages import AdmitEndpoint, AdmitReply
from trestle_links.handshake import read_key
from trestle_links.link import Identity
from trestle_links.link_server import LinkServer

_MS_PER_SECOND: Final = 1000
_DRAIN_POLL_SECONDS: Final = 0.02
_CONFIRM_TIMEOUT_SECONDS: Final = 3.0

_log = part_logger('endpoint')


def build_endpoint(settings: EndpointSettings) -> Application:
    """Build the application of an endpoint process."""
    metrics = Metrics.empty()
    identity = Identity(settings.host, read_key(settings.key_file), metrics)
    core = build_core(settings, identity, metrics)
    target = _build_target(core)
    process = EndpointProcess(core, target, identity)
    pages = HttpPages(
        settings, core.state.refusal_code, process.set_gauges, metrics
    )
    app = Application(
        f'Endpoint {settings.host}', settings.drain_ms / _MS_PER_SECOND
    )
    app.add(start=pages.start, stop=pages.stop)
    app.add(start=core.control.start, stop=core.control.stop)
    app.add(start=process.start, drain=process.drain, stop=process.stop)
    return app


def _build_target(core: EndpointCore) -> Target:
    if core.settings.target_kind == 'engine':
        return build_engine_target(core)
    return build_service_target(core)


class EndpointProcess:
    """The link server and the background greenlets."""

    def __init__(
        self, core: EndpointCore, target: Target, identity: Identity
    ) -> None:
        """Create the link server without starting it."""
        self.core = core
        self.target = target
        handlers = {**build_permit_handlers(core, target), **target.handlers}
        self.server = LinkServer(core.settings.listen, identity, handlers)
        self.tasks: list[Greenlet[..., None]] = []

    def start(self) -> None:
        """Listen, poll the target and request admission."""
        self.server.start()
        write_address_file(self.core.settings.address_file, self.server.address)
        self.tasks = [
            spawn(self._poll_target),
            spawn(self.target.run, self._confirm_admission),
            spawn(
                admit_with_retries,
                self.core.control.submit,
                self._admission_request,
                self.core.state,
                self.target.on_admitted,
            ),
        ]

    def drain(self) -> None:
        """Refuse new work and wait until all admitted work has ended."""
        self.core.state.draining = True
        while not self._is_idle():
            sleep(_DRAIN_POLL_SECONDS)

    def stop(self) -> None:
        """Stop the greenlets and close the links."""
        for task in self.tasks:
            task.kill()
        self.server.stop()

    def set_gauges(self) -> None:
        """Set the gauges of the metrics page."""
        core = self.core
        metrics = core.metrics
        metrics.set_gauge('running', len(core.slots.running))
        metrics.set_gauge('waiting', len(core.slots.waiting))
        metrics.set_gauge('permits_outstanding', len(core.permits.outstanding))
        metrics.set_gauge('permits_used', len(core.permits.used))
        metrics.set_gauge('set_version', core.control.view.set_version)

    def _admission_request(self) -> AdmitEndpoint:
        settings = self.core.settings
        address = self.server.address
        if settings.advertise:
            address = resolve_address(settings.advertise)
        return AdmitEndpoint(
            host=settings.host,
            incarnation=self.core.permits.incarnation,
            zone=settings.zone,
            address=str(address),
            target_kind=settings.target_kind,
            target=settings.target,
            engine_role=settings.engine_role,
        )

    def _confirm_admission(self) -> AdmitReply:
        # Repeating a committed admission returns the current assignment.
        return self.core.control.submit(
            self._admission_request(), AdmitReply, _CONFIRM_TIMEOUT_SECONDS
        )

    def _is_idle(self) -> bool:
        # A granted permit stays valid until it is used, returned or expired.
        permits = self.core.permits
        permits.expire()
        admitted = permits.outstanding or permits.used
        return not admitted and self.target.is_idle()

    def _poll_target(self) -> None:
        pause_seconds = self.core.settings.load_every_ms / _MS_PER_SECOND
        while True:
            try:
                self.target.poll()
                self.core.control.figures.update(self.target.figures())
            except Exception:
                _log.exception('Polling the target failed.')
            sleep(pause_seconds)
