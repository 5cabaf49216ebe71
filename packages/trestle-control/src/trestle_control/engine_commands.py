"""The report of an engine that started: its true role and what it loaded.

An engine that restarts comes up as its own settings have it, whatever orders
gave it before. The tables take what the engine is; the role policy and the
rollout then repair it by orders.

Invariant: a report never undoes the effect of an order. It is refused while
an order is outstanding, and when an order was issued after the engine was
read.
"""

from trestle_control.audit import Story
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
    state: ControlState, command: ReportEngine, story: Story
) -> CommandReply:
    """Take an engine's role and what it loaded; a resend changes nothing."""
    refusal = _refusal(state, command)
    if refusal:
        return CommandReply(
            accepted=False, code=refusal.code, text=refusal.summary
        )
    host = command.host
    endpoint = state.endpoints[host]
    known = (endpoint.engine_role, state.loaded.get(host))
    if known == (command.role, command.loaded):
        return ACCEPTED
    state.endpoints[host] = endpoint._replace(engine_role=command.role)
    state.loaded[host] = list(command.loaded)
    story.record(
        [host],
        'engine reported',
        f'engine incarnation {command.engine_incarnation}',
        f'role {command.role}, was {endpoint.engine_role}; '
        f'has {_listed(command.loaded)}, was {_listed(known[1])}',
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


def _listed(loaded: list[str] | None) -> str:
    return ', '.join(loaded) if loaded else 'unknown'
