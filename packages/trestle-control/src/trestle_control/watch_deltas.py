"""Deltas for the state streams: the changes of a command, and complete lists."""

from collections.abc import Callable
from typing import Any, Final

from trestle_control.direct_deltas import (
    AppliedCommand,
    backends_listed,
    document_published,
    initial_direct_deltas,
)
from trestle_control.state import ControlState
from trestle_links.codec import Message
from trestle_links.direct_messages import ListBackends, PublishDocument
from trestle_links.engine_messages import ReportEngine
from trestle_links.fleet_messages import (
    AdmitEndpoint,
    ClearSuspect,
    IssueOrder,
    OrderState,
    PublishSet,
    ReleaseContent,
    ReportCrash,
    ReportOrder,
    RestoreEndpoint,
    WithdrawEndpoint,
)
from trestle_links.set_patch import set_patch
from trestle_links.watch_messages import (
    ContentDelta,
    EndpointsDelta,
    OrderDelta,
    SetDelta,
    SetPatch,
    Watch,
)


def set_delta(state: ControlState) -> SetDelta | None:
    """Return the set in force, or None before the first publication."""
    current = state.current_set
    if current is None:
        return None
    return SetDelta(
        current.version, current.digest, state.set_content, current.log_index
    )


def initial_deltas(
    state: ControlState, log_index: int, watch: Watch
) -> list[Message]:
    """Return the complete lists that a new stream starts with."""
    deltas: list[Message] = []
    published = set_delta(state)
    if published and published.version > watch.set_version:
        deltas.append(published)
    endpoints = EndpointsDelta(
        list(state.endpoints.values()), whole=True, log_index=log_index
    )
    deltas.append(_filter_endpoints(endpoints, watch.targets))
    deltas.append(_complete_contents(state, log_index))
    deltas.extend(initial_direct_deltas(state, log_index))
    order = state.orders.get(watch.host)
    if order and order.state is OrderState.ISSUED and is_endpoint(watch):
        deltas.append(OrderDelta(order))
    return deltas


def command_deltas(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    """Return the changes of one command, for all nodes."""
    build_deltas = _DELTA_BUILDERS.get(type(applied.command))
    return build_deltas(state, applied) if build_deltas else []


def delta_for(watch: Watch, delta: Message) -> Message | None:
    """Return the part of a delta that concerns a node, or None."""
    if isinstance(delta, EndpointsDelta):
        filtered = _filter_endpoints(delta, watch.targets)
        return filtered if filtered.endpoints else None
    if isinstance(delta, OrderDelta):
        is_own_order = is_endpoint(watch) and delta.order.endpoint == watch.host
        return delta if is_own_order else None
    return delta


def is_endpoint(watch: Watch) -> bool:
    """Return whether the watching node is an endpoint process."""
    return watch.role == 'endpoint'


def _filter_endpoints(
    delta: EndpointsDelta, targets: list[str]
) -> EndpointsDelta:
    if not targets:
        return delta
    wanted = [entry for entry in delta.endpoints if entry.target in targets]
    return delta._replace(endpoints=wanted)


def _complete_contents(state: ControlState, log_index: int) -> ContentDelta:
    suspects: list[str] = []
    quarantined: list[str] = []
    for record in state.contents.values():
        listed = quarantined if record.quarantined else suspects
        listed.append(record.content)
    return ContentDelta(
        suspects, quarantined, [], whole=True, log_index=log_index
    )


def _published(state: ControlState, applied: AppliedCommand) -> list[Message]:
    published = set_delta(state)
    if published is None or published.log_index != applied.log_index:
        return []
    return [_patch_to(state, published) or published]


def _patch_to(state: ControlState, published: SetDelta) -> SetPatch | None:
    if not state.base_content:
        return None
    base = SetDelta(published.version - 1, '', state.base_content, 0)
    return set_patch(base, published)


def _endpoint_changed(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    command = applied.command
    is_report = isinstance(command, ReportOrder)
    host = command.endpoint if is_report else command.host
    endpoint = state.endpoints.get(host)
    if endpoint is None:
        return []
    return [
        EndpointsDelta([endpoint], whole=False, log_index=applied.log_index)
    ]


def _order_issued(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    order = state.orders.get(applied.command.endpoint)
    if order and order.fencing == applied.log_index:
        return [OrderDelta(order)]
    return []


def _contents_changed(
    state: ControlState, applied: AppliedCommand
) -> list[Message]:
    command = applied.command
    is_crash = isinstance(command, ReportCrash)
    contents = command.contents if is_crash else [command.content]
    suspects: list[str] = []
    quarantined: list[str] = []
    cleared: list[str] = []
    for content in contents:
        record = state.contents.get(content)
        if record is None:
            cleared.append(content)
        elif record.quarantined:
            quarantined.append(content)
        else:
            suspects.append(content)
    return [
        ContentDelta(
            suspects,
            quarantined,
            cleared,
            whole=False,
            log_index=applied.log_index,
        )
    ]


_DELTA_BUILDERS: Final[
    dict[type[Any], Callable[[ControlState, AppliedCommand], list[Message]]]
] = {
    PublishSet: _published,
    AdmitEndpoint: _endpoint_changed,
    WithdrawEndpoint: _endpoint_changed,
    RestoreEndpoint: _endpoint_changed,
    ReportOrder: _endpoint_changed,
    ReportEngine: _endpoint_changed,
    IssueOrder: _order_issued,
    ReportCrash: _contents_changed,
    ClearSuspect: _contents_changed,
    ReleaseContent: _contents_changed,
    PublishDocument: document_published,
    ListBackends: backends_listed,
}
