"""Commands on endpoints: admission, withdrawal and restoration.

A withdrawal by the platform's host list never replaces an operator's, and
the list's restoration ends only a withdrawal that it caused itself.

A withdrawal is of the host: neither the incarnation that was serving nor a
later one is admitted until a restoration ends it. An incarnation that a
later one has replaced is never admitted again, so that an admission that
was delayed on its way cannot send work to a dead process.
"""

from typing import Final

from trestle_control.audit import Story
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

_INCARNATIONS_KEPT: Final = 100

# Name of the host-list reader in the place of an operator's.
PLATFORM: Final = 'platform'
ACCEPTED: Final = CommandReply(accepted=True, code='', text='')


def admit_endpoint(
    state: ControlState, command: AdmitEndpoint, story: Story
) -> AdmitReply:
    """Admit an incarnation and tell it about its outstanding order."""
    host = command.host
    past = state.past_incarnations.get(host, [])
    if host in state.withdrawals or command.incarnation in past:
        story.record([host], 'refused', 'withdrawn', command.incarnation)
        return AdmitReply(
            admitted=False,
            code=WITHDRAWN.code,
            order=None,
            fencing=0,
            engine_role='',
        )
    before = state.endpoints.get(host)
    if before and before.incarnation == command.incarnation:
        # A resend must not undo what changed since the admission.
        return _admitted(state, command)
    if before:
        kept = [*past, before.incarnation][-_INCARNATIONS_KEPT:]
        state.past_incarnations[host] = kept
    # The engine may have restarted as well: what it has loaded is asked anew.
    state.loaded.pop(host, None)
    story.record([host], 'admitted', 'process start', command.incarnation)
    state.endpoints[host] = EndpointInfo(
        *command, serving=True, cause='admitted'
    )
    return _admitted(state, command)


def withdraw_endpoint(
    state: ControlState, command: WithdrawEndpoint, story: Story
) -> CommandReply:
    """Take a host out of service; refused for a host never admitted."""
    host = command.host
    endpoint = state.endpoints.get(host)
    if endpoint is None:
        return CommandReply(
            accepted=False, code=NOT_FOUND.code, text=f'no endpoint {host}'
        )
    standing = state.withdrawals.get(host)
    if standing and command.operator in {standing.operator, PLATFORM}:
        # A resend, or a listing that must not hide an operator's withdrawal.
        return ACCEPTED
    state.withdrawals[host] = Withdrawal(
        host, endpoint.incarnation, command.cause, command.operator
    )
    state.endpoints[host] = endpoint._replace(
        serving=False, cause=command.cause
    )
    story.record(
        [host], 'withdrawn', command.cause, f'operator {command.operator}'
    )
    return ACCEPTED


def restore_endpoint(
    state: ControlState, command: RestoreEndpoint, story: Story
) -> CommandReply:
    """End a withdrawal; a resend finds none and is accepted."""
    host = command.host
    endpoint = state.endpoints.get(host)
    withdrawal = state.withdrawals.get(host)
    if endpoint is None:
        return CommandReply(
            accepted=False, code=NOT_FOUND.code, text=f'no endpoint {host}'
        )
    if withdrawal is None:
        return ACCEPTED
    by_platform = command.operator == PLATFORM
    if by_platform and withdrawal.operator != PLATFORM:
        return CommandReply(
            accepted=False,
            code=WITHDRAWN.code,
            text=f'withdrawn by {withdrawal.operator}',
        )
    state.withdrawals.pop(host)
    state.endpoints[host] = endpoint._replace(serving=True, cause=command.cause)
    story.record(
        [host], 'restored', command.cause, f'operator {command.operator}'
    )
    return ACCEPTED


def _admitted(state: ControlState, command: AdmitEndpoint) -> AdmitReply:
    order = state.orders.get(command.host)
    return AdmitReply(
        admitted=True,
        code='',
        order=_outstanding(order),
        fencing=order.fencing if order else 0,
        engine_role=state.wanted_roles.get(command.host, command.engine_role),
    )


def _outstanding(order: Order | None) -> Order | None:
    if order and order.state is OrderState.ISSUED:
        return order
    return None
