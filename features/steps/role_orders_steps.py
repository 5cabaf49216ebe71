"""Steps on role orders of a leader that was frozen."""

from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent.server import StreamServer
from gevent.socket import socket
from msgspec.json import decode

from features.steps.read_barrier_steps import start_member
from testbed.log_fixtures import LEADER
from trestle_control import leader_terms
from trestle_control.control_errors import NoQuorumError
from trestle_control.direct_roles import RoleOrder
from trestle_control.leader_terms import confirm_term
from trestle_control.read_barrier import confirm_leads
from trestle_control.replica_state import Role
from trestle_core.errors import TrestleError
from trestle_links.direct_messages import Backend
from trestle_platform.engine_orders import send_order

TERM = 4
REPORT = b'{"seq": 7, "busy": false}'


@given('a follower of a leader that answers reads')
def step_follower(context: Context) -> None:
    """Follow the peer that confirms every read."""
    start_member(context).set_role(Role.FOLLOWER, LEADER)


@when('it asks whether it leads in term {term:d}')
def step_ask(context: Context, term: int) -> None:
    """Ask as a leader does."""
    context.code, context.took_ms = '', 0.0
    try:
        confirm_leads(context.state, term, 1.0)
    except TrestleError as error:
        context.code = error.code.code


@when('its term is confirmed, and it is frozen for {seconds:f} s meanwhile')
def step_frozen(context: Context, seconds: float) -> None:
    """Let the clock jump in the confirmation."""
    context.code = ''
    times = iter((100.0, 100.0 + seconds))
    with patch.object(leader_terms, 'clock_gettime', lambda _: next(times)):
        try:
            confirm_term(context.replica, TERM)
        except TrestleError as error:
            context.code = error.code.code


@given('an engine that notes what arrives')
def step_engine(context: Context) -> None:
    """Answer every request with a report."""
    context.arrived = []

    def handle(sock: socket, _address: object) -> None:
        if received := sock.recv(65_536):
            context.arrived.append(received)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(REPORT)}\r\n\r\n'
        sock.sendall(head.encode() + REPORT)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), handle)
    server.start()
    context.add_cleanup(server.stop)
    address = f'127.0.0.1:{server.server_port}'
    engine = Backend('e', 'llm', address, 'z', False, 'decode', 64)
    context.order = RoleOrder(engine, 'prefill', 'c1', TERM)


@when('an order is sent there that is not confirmed')
def step_unconfirmed(context: Context) -> None:
    """Lose the lead before the order."""

    def refuse() -> None:
        raise NoQuorumError

    try:
        send_order(context.order, refuse, print)
    except NoQuorumError:
        return
    raise AssertionError('the order was sent')


@then('only the report was asked for')
def step_report_only(context: Context) -> None:
    """Check what arrived."""
    starts = [data.split()[1] for data in context.arrived]
    assert starts == [b'/report'], starts


@when('an order is sent there that is confirmed')
def step_confirmed(context: Context) -> None:
    """Send it while leading."""
    context.arrived.clear()
    assert send_order(context.order, lambda: None, print)


@then("the order arrived once, with its number and the report's sequence")
def step_arrived(context: Context) -> None:
    """Check the body of the order."""
    report, order = context.arrived
    assert report.startswith(b'GET /report')
    order_body = decode(order.partition(b'\r\n\r\n')[2])
    assert (order_body['fence'], order_body['expected']) == (TERM, 7)
