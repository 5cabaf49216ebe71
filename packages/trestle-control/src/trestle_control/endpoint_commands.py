"""Commands on endpoints: admission, withdrawal and restoration.

A withdrawal by the platform's host list never replaces one by an operator,
and a restoration by the host list ends only a withdrawal that the list
caused.

A withdrawal applies to the host: no incarnation, whether the one that was
serving or a later one, is admitted until a restoration ends the withdrawal.
An incarnation that was replaced by a later one is never admitted again, so a
delayed admission cannot direct work to a process that has ended.
"""

from typing import Final

from trestle_control.audit import AuditTrail
from trestle_control.state import ControlState, Withdrawal
from trestle_core.errorcodes import NOT_FOUND, WITHDRAWN
from trestle_links.fleet_messages import (
    AdmitEndpoint,
    AdmitReply,
    CommandReply,
    Order,
    OrderState,
    RestoreEndpoint,
    WithdrawEndpoint,
)
from trestle_links.watch_messages import EndpointInfo

_MAX_PAST_INCARNATIONS: Final = 100

# The operator name of changes that the host-list reader makes.
PLATFORM_OPERATOR: Final = 'platform'
ACCEPTED: Final = CommandReply(accepted=True, code='', text='')


def admit_endpoint(
    state: ControlState, command: AdmitEndpoint, trail: AuditTrail
) -> AdmitReply:
    """Admit an incarnation; the reply carries its outstanding order."""
    host = command.host
    past = state.past_incarnations.get(host, [])
    if host in state.withdrawals or command.incarnation in past:
        trail.record([host], 'refused', 'withdrawn', command.incarnation)
        return AdmitReply(
            admitted=False,
            code=WITHDRAWN.code,
            order=None,
            fencing=0,
            engine_role='',
        )
    previous = state.endpoints.get(host)
    if previous and previous.incarnation == command.incarnation:
        # A resend must not undo changes made since the admission.
        return _admission_reply(state, command)
    if previous:
        kept = [*past, previous.incarnation][-_MAX_PAST_INCARNATIONS:]
        state.past_incarnations[host] = kept
    # The engine may have restarted too, so what it has loaded is unknown.
    state.loaded.pop(host, None)
    trail.record([host], 'admitted', 'process start', command.incarnation)
    state.endpoints[host] = EndpointInfo(
        *command, serving=True, cause='admitted'
    )
    return _admission_reply(state, command)


def withdraw_endpoint(
    state: ControlState, command: WithdrawEndpoint, trail: AuditTrail
) -> CommandReply:
    """Take a host out of service; refused if it was never admitted."""
    host = command.host
    endpoint = state.endpoints.get(host)
    if endpoint is None:
        return CommandReply(
            accepted=False, code=NOT_FOUND.code, text=f'no endpoint {host}'
        )
    existing = state.withdrawals.get(host)
    if existing and command.operator in {existing.operator, PLATFORM_OPERATOR}:
        # A resend, or a listing, which does not replace an operator's withdrawal.
        return ACCEPTED
    state.withdrawals[host] = Withdrawal(
        host, endpoint.incarnation, command.cause, command.operator
    )
    state.endpoints[host] = endpoint._replace(
        serving=False, cause=command.cause
    )
    trail.record(
        [host], 'withdrawn', command.cause, f'operator {command.operator}'
    )
    return ACCEPTED


def restore_endpoint(
    state: ControlState, command: RestoreEndpoint, trail: AuditTrail
) -> CommandReply:
    """End a withdrawal; accepted also when the host is not withdrawn."""
    host = command.host
    endpoint = state.endpoints.get(host)
    withdrawal = state.withdrawals.get(host)
    if endpoint is None:
        return CommandReply(
            accepted=False, code=NOT_FOUND.code, text=f'no endpoint {host}'
        )
    if withdrawal is None:
        return ACCEPTED
    by_platform = command.operator == PLATFORM_OPERATOR
    if by_platform and withdrawal.operator != PLATFORM_OPERATOR:
        return CommandReply(
            accepted=False,
            code=WITHDRAWN.code,
            text=f'withdrawn by {withdrawal.operator}',
        )
    state.withdrawals.pop(host)
    state.endpoints[host] = endpoint._replace(serving=True, cause=command.cause)
    trail.record(
        [host], 'restored', command.cause, f'operator {command.operator}'
    )
    return ACCEPTED


def _admission_reply(state: ControlState, command: AdmitEndpoint) -> AdmitReply:
    order = state.orders.get(command.host)
    return AdmitReply(
        admitted=True,
        code='',
        order=_if_outstanding(order),
        fencing=order.fencing if order else 0,
        engine_role=state.wanted_roles.get(command.host, command.engine_role),
    )


def _if_outstanding(order: Order | None) -> Order | None:
    if order and order.state is OrderState.ISSUED:
        return order
    return None
