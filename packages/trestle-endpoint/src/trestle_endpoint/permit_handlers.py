"""Handlers of permit requests and of named sets exchanged with peers."""

from trestle_core.errorcodes import STALE_NODE
from trestle_core.errors import TrestleError
from trestle_endpoint.endpoint_core import EndpointCore, Target
from trestle_endpoint.permit_grants import GrantLimits, GrantParts, grant_permit
from trestle_links.connection import Channel
from trestle_links.link_messages import Done
from trestle_links.link_server import Handlers
from trestle_links.permit_messages import (
    LoadAsk,
    LoadReport,
    PermitAsk,
    PermitGrant,
    PermitReturn,
    PermitRevoke,
    PermitRevoked,
)
from trestle_links.watch_messages import FetchSet, SetDelta


def build_permit_handlers(core: EndpointCore, target: Target) -> Handlers:
    """Return the handlers that are common to all endpoint processes."""
    settings = core.settings
    parts = GrantParts(
        limits=GrantLimits(
            settings.target, settings.max_running, settings.max_queued
        ),
        state=core.state,
        permits=core.permits,
        slots=core.slots,
        estimate=core.estimate,
        pool=core.pool,
        matched_pieces=target.matched_pieces,
        set_version=lambda: core.control.view.set_version,
        metrics=core.metrics,
    )

    def grant(body: PermitAsk, _channel: Channel) -> PermitGrant:
        return grant_permit(parts, body)

    def return_permit(body: PermitReturn, _channel: Channel) -> Done:
        core.permits.return_unused(body.permit)
        return Done()

    def revoke(body: PermitRevoke, _channel: Channel) -> PermitRevoked:
        return core.permits.revoke(body.permit)

    def fetch_set(_body: FetchSet, _channel: Channel) -> SetDelta:
        return _set_in_force(core)

    def offer_set(body: SetDelta, _channel: Channel) -> Done:
        # Sent by an entry that received a grant with an older set version.
        core.control.offer_set(body)
        return Done()

    def report_load(_body: LoadAsk, _channel: Channel) -> LoadReport:
        return LoadReport(_reported_requests(target.figures()))

    return {
        PermitAsk: grant,
        LoadAsk: report_load,
        PermitReturn: return_permit,
        PermitRevoke: revoke,
        FetchSet: fetch_set,
        SetDelta: offer_set,
    }


def _reported_requests(figures: dict[str, float]) -> int:
    # A service reports no load, so this process's own counts are used.
    running = figures.get('engine_running', figures['running'])
    waiting = figures.get('engine_queued', figures['waiting'])
    return int(running + waiting)


def _set_in_force(core: EndpointCore) -> SetDelta:
    view = core.control.view
    if view.named_set is None:
        raise TrestleError(STALE_NODE, 'No named set is in force here.')
    return SetDelta(
        view.set_version, view.set_digest, view.set_content, view.set_log_index
    )
