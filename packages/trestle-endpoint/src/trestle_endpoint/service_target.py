"""The parts of an endpoint process beside a plain service."""

from trestle_core.addresses import resolve_address
from trestle_endpoint.calls import CallParts, Calls
from trestle_endpoint.endpoint_core import EndpointCore, Target
from trestle_endpoint.orders import ConfirmAssignment
from trestle_endpoint.service_adapter import service_over_http
from trestle_links.answer_messages import DispatchCall
from trestle_links.fleet_messages import AdmitReply


def service_target(core: EndpointCore) -> Target:
    """Join the parts around the service that the settings name."""
    target_url = core.settings.target_url
    service = service_over_http(lambda: resolve_address(target_url))
    parts = CallParts(
        service,
        core.control.submit,
        core.places,
        core.estimate,
        core.metrics,
    )
    calls = Calls(parts, core.permits)

    def poll() -> None:
        core.state.target_up = service.is_up()

    def on_admitted(_reply: AdmitReply) -> None:
        """A service takes no orders."""

    def run(_confirm: ConfirmAssignment) -> None:
        """A service has nothing to carry out."""

    return Target(
        handlers={DispatchCall: calls.dispatch},
        poll=poll,
        is_idle=lambda: core.places.is_idle() and not calls.open_calls,
        matched_pieces=lambda _pieces: 0,
        figures=lambda: {
            'running': len(core.places.running),
            'waiting': len(core.places.waiting),
            'run_seconds': core.estimate.run_seconds,
        },
        on_admitted=on_admitted,
        run=run,
    )
