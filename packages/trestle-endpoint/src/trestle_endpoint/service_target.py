"""The components of an endpoint process whose target is a service."""

from trestle_core.addresses import resolve_address
from trestle_endpoint.endpoint_core import EndpointCore, Target
from trestle_endpoint.order_executor import ConfirmAssignment
from trestle_endpoint.service_adapter import service_over_http
from trestle_endpoint.service_call_dispatch import (
    ServiceCallDispatcher,
    ServiceCallParts,
)
from trestle_links.answer_messages import DispatchCall
from trestle_links.fleet_messages import AdmitReply


def build_service_target(core: EndpointCore) -> Target:
    """Create the components for the service that the settings name."""
    target_url = core.settings.target_url
    service = service_over_http(lambda: resolve_address(target_url))
    parts = ServiceCallParts(
        service,
        core.control.submit,
        core.slots,
        core.estimate,
        core.metrics,
    )
    dispatcher = ServiceCallDispatcher(parts, core.permits)

    def poll() -> None:
        core.state.is_target_up = service.is_up()

    def on_admitted(_reply: AdmitReply) -> None:
        """Do nothing, because a service receives no orders."""

    def run(_confirm: ConfirmAssignment) -> None:
        """Do nothing, because a service has no background task."""

    return Target(
        handlers={DispatchCall: dispatcher.dispatch},
        poll=poll,
        is_idle=lambda: (
            core.slots.is_idle() and not dispatcher.unfinished_calls
        ),
        matched_pieces=lambda _pieces: 0,
        figures=lambda: {
            'running': len(core.slots.running),
            'waiting': len(core.slots.waiting),
            'run_seconds': core.estimate.run_seconds,
        },
        on_admitted=on_admitted,
        run=run,
    )
