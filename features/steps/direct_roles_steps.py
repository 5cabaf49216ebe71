"""Steps on roles that the leader orders, without a network."""

from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from trestle_control import direct_roles
from trestle_control.apply import ControlStateMachine
from trestle_control.control_errors import NoQuorumError
from trestle_control.direct_roles import (
    ConfirmOrder,
    DirectRoleManager,
    RoleOrder,
)
from trestle_control.load_table import LoadTable
from trestle_control.replica_api import Lead
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend


class StandInReplica:
    """What roles need of the replicated log."""

    def __init__(self, *, is_leader: bool) -> None:
        """Lead since long, or follow."""
        self.is_leader = is_leader
        self.leader_address = None
        self.lead = Lead(4, 100.0) if is_leader else Lead(0, 0)
        self.has_quorum = True

    def confirm_leads(self, term: int, _timeout_seconds: float) -> None:
        """Confirm that this host leads."""
        if not self.has_quorum or self.lead.term != term:
            raise NoQuorumError

    def lose_lead(self) -> None:
        """Follow the leader of the next term."""
        self.is_leader = False
        self.lead = Lead(0, 0)


def make_roles(context: Context, engines: int, *, is_leader: bool) -> None:
    """Make the role manager and note what it orders."""
    context.orders = []
    context.now = 1000.0

    context.after_order = list

    def send(order: RoleOrder, confirm: ConfirmOrder) -> bool:
        confirm()
        context.orders.append(order)
        context.after_order()
        return True

    machine = ControlStateMachine()
    machine.state.backends = [
        Backend(
            f'e{number}',
            'llm',
            f'10.0.0.{number}:80',
            'z',
            False,
            'prefill' if number < 3 else 'decode',
            64,
        )
        for number in range(engines)
    ]
    context.replica = StandInReplica(is_leader=is_leader)
    replica: Any = context.replica
    context.roles = DirectRoleManager(
        send, 'c1', 3.0, machine, replica, LoadTable(replica), Metrics()
    )


@given('a leader with {engines:d} engines of which 3 read')
def step_leader(context: Context, engines: int) -> None:
    """Make a leader."""
    make_roles(context, engines, is_leader=True)


@given('a follower with {engines:d} engines of which 3 read')
def step_follower(context: Context, engines: int) -> None:
    """Make a follower."""
    make_roles(context, engines, is_leader=False)


@given('it freezes during its first order while another host takes the lead')
def step_frozen(context: Context) -> None:
    """Go on as a follower after one order."""
    context.after_order = context.replica.lose_lead


@given('it has led for {seconds:g} s after another host, with leases of 3 s')
def step_led(context: Context, seconds: float) -> None:
    """Keep the time of the lead where it is."""
    context.replica.lead = context.replica.lead._replace(seconds=seconds)


@given('it has no quorum')
def step_no_quorum(context: Context) -> None:
    """Take the quorum away."""
    context.replica.has_quorum = False


@when('it looks at them for {seconds:d} second')
@when('it looks at them for {seconds:d} seconds')
def step_look(context: Context, seconds: int) -> None:
    """Run looks on a clock of their own."""
    steps = int(seconds / direct_roles.POLL_SECONDS)
    with patch.object(direct_roles, 'monotonic', lambda: context.now):
        for _ in range(steps):
            context.now += direct_roles.POLL_SECONDS
            context.roles.poll()


@then('it has ordered nothing')
def step_nothing(context: Context) -> None:
    """Check that no order left."""
    assert context.orders == [], context.orders


@then('it has ordered {count:d} engines to read, each with the term as fence')
def step_ordered(context: Context, count: int) -> None:
    """Check the orders."""
    orders = context.orders
    assert len(orders) == count, orders
    assert {order.role for order in orders} == {'prefill'}
    assert {order.fence for order in orders} == {4}
    assert len({order.backend.instance for order in orders}) == count
