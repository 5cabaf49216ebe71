"""Steps on engine orders and the faults in the middle of them."""

from collections.abc import Callable, Mapping
from time import sleep
from typing import Final

from behave import then, when
from behave.runner import Context

from testbed.fleet import LIMIT_SECONDS, Fleet
from testbed.processes import poll_until

HOST: Final = 'reader-1'
ENGINE: Final = 'reader-1.engine'
PAUSE_SECONDS: Final = 3
RESUMED_SECONDS: Final = 2


def crash_endpoint(fleet: Fleet) -> None:
    """Kill the endpoint process and start it again."""
    fleet.cluster.process(HOST).kill()
    fleet.restart(HOST)


def pause_endpoint(fleet: Fleet) -> None:
    """Pause the endpoint process for longer than the order takes."""
    process = fleet.cluster.process(HOST)
    process.pause()
    sleep(PAUSE_SECONDS)
    process.resume()


def crash_engine(fleet: Fleet) -> None:
    """Kill the engine and start it again."""
    fleet.cluster.process(ENGINE).kill()
    fleet.restart(ENGINE)


def lose_leader(fleet: Fleet) -> None:
    """Kill the control host that leads; the others go on."""
    fleet.cluster.process(fleet.leader()).kill()


def crash_both(fleet: Fleet) -> None:
    """Kill the endpoint process and its engine."""
    fleet.cluster.process(HOST).kill()
    crash_engine(fleet)
    fleet.restart(HOST)


def crash_endpoint_and_leader(fleet: Fleet) -> None:
    """Kill the endpoint process and the leader at once."""
    lose_leader(fleet)
    crash_endpoint(fleet)


FAULTS: Final[Mapping[str, Callable[[Fleet], None]]] = {
    'a crash of the endpoint process': crash_endpoint,
    'a pause of the endpoint process': pause_endpoint,
    'a crash of the engine': crash_engine,
    'the loss of the leader': lose_leader,
    'a crash of both processes': crash_both,
    'a crash of the endpoint and leader': crash_endpoint_and_leader,
}


@when('the engine of "{host}" is ordered to become "{role}"')
def step_order_role(context: Context, host: str, role: str) -> None:
    context.fleet.issue(host, 'set-role', role)


@when('the busiest engine is ordered to become "{role}"')
def step_order_busiest(context: Context, role: str) -> None:
    context.host = context.fleet.busiest()
    context.fleet.issue(context.host, 'set-role', role)


@then('its order is done and it has the role "{role}"')
def step_busiest_done(context: Context, role: str) -> None:
    step_ended(context, context.host, 'done')
    step_role(context, context.host, role)


@when('in the middle of it comes {fault}')
def step_fault(context: Context, fault: str) -> None:
    context.fleet.wait_order_runs(HOST)
    FAULTS[fault](context.fleet)


@then('the order of "{host}" is "{end}"')
def step_ended(context: Context, host: str, end: str) -> None:
    found = context.fleet.wait_order(host)
    assert found == end, context.fleet.query('explain', host)


@then('the engine of "{host}" has the role "{role}"')
def step_role(context: Context, host: str, role: str) -> None:
    found = context.fleet.engine_call(host, '/admin/state')['role']
    assert found == role, found


@then('a later order to become "{role}" is done')
def step_later_order(context: Context, role: str) -> None:
    fleet: Fleet = context.fleet
    fleet.issue(HOST, 'set-role', role)
    assert fleet.wait_order(HOST) == 'done', fleet.query('explain', HOST)
    step_role(context, HOST, role)


@when('the process of "{host}" is paused before it sends the order')
def step_pause(context: Context, host: str) -> None:
    # It is closed for new work and waits for the read that runs.
    cluster = context.fleet.cluster
    poll_until(lambda: not cluster.ready(host), LIMIT_SECONDS, 'it waits')
    context.paused = cluster.process(host)
    context.paused.pause()
    assert not context.fleet.recorded('order')
    context.add_cleanup(context.paused.kill)


@when('another process takes its place')
def step_second_process(context: Context) -> None:
    cluster = context.fleet.cluster
    processes = cluster.processes
    processes.started.pop(HOST)
    cluster.start_endpoint(cluster.layout.endpoints[0])


@then('the paused process resumes and sends no order')
def step_resume(context: Context) -> None:
    before = len(context.fleet.recorded('order'))
    context.paused.resume()
    sleep(RESUMED_SECONDS)
    found = context.fleet.recorded('order')
    assert len(found) == before, found
