"""The components that endpoints of engines and of services share."""

from collections.abc import Callable
from typing import NamedTuple

from trestle_core.metrics import Metrics
from trestle_core.namedset import EnginePool
from trestle_core.settings import EndpointSettings
from trestle_endpoint.admission_state import AdmissionState, ControlQueries
from trestle_endpoint.order_executor import ConfirmAssignment
from trestle_endpoint.permit_grants import long_prompt_limit
from trestle_endpoint.permits import PermitTable
from trestle_endpoint.slot_scheduler import SlotLimits, SlotScheduler
from trestle_endpoint.suspect_contents import SuspectContents
from trestle_endpoint.wait_estimate import WaitEstimate
from trestle_links.control_client import ControlClient
from trestle_links.fleet_messages import AdmitReply
from trestle_links.link import Identity
from trestle_links.link_server import Handlers


class EndpointCore(NamedTuple):
    """The shared components of one endpoint process."""

    settings: EndpointSettings
    metrics: Metrics
    control: ControlClient
    permits: PermitTable
    state: AdmissionState
    slots: SlotScheduler
    estimate: WaitEstimate
    contents: SuspectContents

    def pool(self) -> EnginePool | None:
        """Return the target's pool in the set in force, None for a service."""
        named_set = self.control.view.named_set
        return named_set.pools.get(self.settings.target) if named_set else None


class Target(NamedTuple):
    """The operations that differ between engine and service targets."""

    handlers: Handlers
    poll: Callable[[], None]
    is_idle: Callable[[], bool]
    matched_pieces: Callable[[list[str]], int]
    # The figures that are sent with each request for a freshness stamp.
    figures: Callable[[], dict[str, float]]
    on_admitted: Callable[[AdmitReply], None]
    # A background task; its argument repeats the admission request, which
    # returns the current assignment.
    run: Callable[[ConfirmAssignment], None]


def build_core(
    settings: EndpointSettings, identity: Identity, metrics: Metrics
) -> EndpointCore:
    """Create the shared components without starting them."""
    control = ControlClient.from_config(
        settings, identity, 'endpoint', [settings.target], metrics
    )
    view = control.view
    permits = PermitTable.from_config(settings, metrics)
    queries = ControlQueries(
        is_fresh=control.is_fresh,
        freshness_seconds=control.freshness_seconds,
        own_endpoint=lambda: view.endpoints.get(settings.host),
    )
    contents = SuspectContents(
        settings.host,
        permits.incarnation,
        control.submit,
        suspects=lambda: view.suspects,
        quarantined=lambda: view.quarantined,
    )
    limits = SlotLimits(
        max_running=settings.max_running,
        long_prompts=lambda: long_prompt_limit(core.pool()),
        is_suspect=contents.is_suspect,
    )
    core = EndpointCore(
        settings=settings,
        metrics=metrics,
        control=control,
        permits=permits,
        state=AdmissionState(permits.incarnation, queries),
        slots=SlotScheduler(limits),
        estimate=WaitEstimate(settings.max_running),
        contents=contents,
    )
    # Waiting work may start when a suspect content has been cleared.
    control.on_contents.append(core.slots.schedule)
    return core
