"""The report of an engine that started: its current role and loaded models.

An engine that restarts has the role and models of its own settings, whatever
earlier orders changed. The tables record the reported state; the role policy
and the rollout then correct it by orders.

Invariant: a report never undoes the effect of an order. It is refused while
an order is outstanding, and when an order was issued after the state of the
engine was read.
"""

from trestle_control.audit import AuditTrail
from trestle_control.endpoint_commands import ACCEPTED
from trestle_control.state import ControlState
from trestle_core.errorcodes import (
    NOT_FOUND,
    ORDER_OUTSTANDING,
    STALE_ORDER,
    WITHDRAWN,
    ErrorCode,
)
from trestle_links.engine_messages import ReportEngine
from trestle_links.fleet_messages import (
    CommandReply,
    OrderState,
)


def report_engine(
    state: ControlState, command: ReportEngine, trail: AuditTrail
) -> CommandReply:
    """Record the role and the loaded models; a resend changes nothing."""
    refusal = _refusal(state, command)
    if refusal:
        return CommandReply(
            accepted=False, code=refusal.code, text=refusal.summary
        )
    host = command.host
    endpoint = state.endpoints[host]
    previous = (endpoint.engine_role, state.loaded.get(host))
    if previous == (command.role, command.loaded):
        return ACCEPTED
    state.endpoints[host] = endpoint._replace(engine_role=command.role)
    state.loaded[host] = list(command.loaded)
    trail.record(
        [host],
        'engine reported',
        f'engine incarnation {command.engine_incarnation}',
        f'role {command.role}, was {endpoint.engine_role}; '
        f'has {_format_loaded(command.loaded)}, was {_format_loaded(previous[1])}',
    )
    return ACCEPTED


def _refusal(state: ControlState, command: ReportEngine) -> ErrorCode | None:
    endpoint = state.endpoints.get(command.host)
    if endpoint is None:
        return NOT_FOUND
    if endpoint.incarnation != command.incarnation:
        return WITHDRAWN
    order = state.orders.get(command.host)
    if order and order.state is OrderState.ISSUED:
        return ORDER_OUTSTANDING
    if order and order.fencing != command.fencing:
        return STALE_ORDER
    return None


def _format_loaded(loaded: list[str] | None) -> str:
    return ', '.join(loaded) if loaded else 'unknown'
