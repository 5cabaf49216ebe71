"""The parts that every endpoint process has, engine or service."""

from collections.abc import Callable
from typing import NamedTuple

from trestle_core.metrics import Metrics
from trestle_core.namedset import EnginePool
from trestle_core.settings import EndpointSettings
from trestle_endpoint.admission_state import AdmissionState, ControlFacts
from trestle_endpoint.contents import Contents
from trestle_endpoint.grants import long_limit
from trestle_endpoint.orders import ConfirmAssignment
from trestle_endpoint.permits import PermitTable
from trestle_endpoint.places import PlaceLimits, Places
from trestle_endpoint.wait_estimate import WaitEstimate
from trestle_links.control_client import ControlClient
from trestle_links.fleet_messages import AdmitReply
from trestle_links.link import Identity
from trestle_links.link_server import Handlers


class EndpointCore(NamedTuple):
    """Shared parts."""

    settings: EndpointSettings
    metrics: Metrics
    control: ControlClient
    permits: PermitTable
    state: AdmissionState
    places: Places
    estimate: WaitEstimate
    contents: Contents

    def pool(self) -> EnginePool | None:
        """Return the engine pool of the set in force, None for a service."""
        named_set = self.control.view.named_set
        return named_set.pools.get(self.settings.target) if named_set else None


class Target(NamedTuple):
    """What differs between an engine and a service behind the process."""

    handlers: Handlers
    poll: Callable[[], None]
    is_idle: Callable[[], bool]
    matched_pieces: Callable[[list[str]], int]
    figures: Callable[[], dict[str, float]]
    on_admitted: Callable[[AdmitReply], None]
    # A background task; its argument asks for the admission once more.
    run: Callable[[ConfirmAssignment], None]


def build_core(
    settings: EndpointSettings, me: Identity, metrics: Metrics
) -> EndpointCore:
    """Make the shared parts; nothing is started."""
    control = ControlClient.from_config(
        settings, me, 'endpoint', [settings.target], metrics
    )
    view = control.view
    permits = PermitTable.from_config(settings, metrics)
    facts = ControlFacts(
        is_fresh=control.is_fresh,
        freshness_seconds=control.freshness_seconds,
        own_info=lambda: view.endpoints.get(settings.host),
    )
    contents = Contents(
        settings.host,
        permits.incarnation,
        control.submit,
        suspects=lambda: view.suspects,
        quarantined=lambda: view.quarantined,
    )
    limits = PlaceLimits(
        max_running=settings.max_running,
        long_prompts=lambda: long_limit(core.pool()),
        is_suspect=contents.is_suspect,
    )
    core = EndpointCore(
        settings=settings,
        metrics=metrics,
        control=control,
        permits=permits,
        state=AdmissionState(permits.incarnation, facts),
        places=Places(limits),
        estimate=WaitEstimate(settings.max_running),
        contents=contents,
    )
    # Cleared suspects may let waiting work start.
    control.on_contents.append(core.places.admit)
    return core
