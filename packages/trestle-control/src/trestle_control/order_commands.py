"""Commands on engine orders.

The log index of an order is its fencing number. An engine has at most one
outstanding order: the next one is refused until the currently admitted
incarnation has reported the last one done or failed.
"""

from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.state import ControlState
from trestle_core.errorcodes import (
    BAD_REQUEST,
    NOT_FOUND,
    ORDER_OUTSTANDING,
    STALE_ORDER,
    WITHDRAWN,
    ErrorCode,
)
from trestle_links.fleet_messages import (
    CommandReply,
    IssueOrder,
    Order,
    OrderReply,
    OrderState,
    ReportOrder,
)

_KINDS: Final = frozenset(('set-role', 'load-model', 'load-adapter'))


def issue_order(
    state: ControlState, command: IssueOrder, trail: AuditTrail
) -> OrderReply:
    """Issue an order; a resend returns the equal outstanding order."""
    last = state.orders.get(command.endpoint)
    if last and last.state is OrderState.ISSUED:
        outstanding = (last.kind, last.argument, last.cause)
        if outstanding == (command.kind, command.argument, command.cause):
            return OrderReply(accepted=True, code='', order=last)
    refusal = _refusal(state, command)
    if refusal:
        return OrderReply(accepted=False, code=refusal.code, order=last)
    order = Order(
        trail.log_index,
        command.endpoint,
        command.kind,
        command.argument,
        OrderState.ISSUED,
        command.cause,
    )
    state.orders[command.endpoint] = order
    trail.record(
        [command.endpoint, f'order-{order.fencing}'],
        'order issued',
        command.cause,
        f'{command.kind} {command.argument}, fencing {order.fencing}',
    )
    return OrderReply(accepted=True, code='', order=order)


def report_order(
    state: ControlState, command: ReportOrder, trail: AuditTrail
) -> CommandReply:
    """Record the result of the outstanding order."""
    order = state.orders.get(command.endpoint)
    endpoint = state.endpoints.get(command.endpoint)
    if order is None or endpoint is None:
        return _refused(NOT_FOUND)
    if (order.fencing, endpoint.incarnation) != (
        command.fencing,
        command.incarnation,
    ):
        return _refused(STALE_ORDER)
    if order.state is not OrderState.ISSUED:
        accepted = order.state is command.state
        return CommandReply(accepted, '', f'order is {order.state.value}')
    if command.state is OrderState.ISSUED:
        return _refused(BAD_REQUEST)
    state.orders[command.endpoint] = order._replace(state=command.state)
    if command.state is OrderState.DONE:
        _apply_effect(state, order)
    trail.record(
        [command.endpoint, f'order-{order.fencing}'],
        f'order {command.state.value}',
        command.detail,
        f'{order.kind} {order.argument}, fencing {order.fencing}',
    )
    return CommandReply(accepted=True, code='', text='')


def _apply_effect(state: ControlState, order: Order) -> None:
    host = order.endpoint
    label = f'{order.kind} {order.argument}'
    if order.kind == 'set-role':
        state.wanted_roles[host] = order.argument
        state.endpoints[host] = state.endpoints[host]._replace(
            engine_role=order.argument
        )
    elif order.kind == 'load-model':
        # Loading a model removes the adapters of the previous one.
        state.loaded[host] = [label]
    else:
        state.loaded.setdefault(host, []).append(label)


def _refusal(state: ControlState, command: IssueOrder) -> ErrorCode | None:
    endpoint = state.endpoints.get(command.endpoint)
    if endpoint is None:
        return NOT_FOUND
    if command.kind not in _KINDS or endpoint.target_kind != 'engine':
        return BAD_REQUEST
    if not endpoint.serving:
        return WITHDRAWN
    last = state.orders.get(command.endpoint)
    if last and last.state is OrderState.ISSUED:
        return ORDER_OUTSTANDING
    return None


def _refused(code: ErrorCode) -> CommandReply:
    return CommandReply(accepted=False, code=code.code, text=code.summary)
