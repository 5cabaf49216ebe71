"""Steps on answers that engines and links spoil."""

from time import sleep

from behave import given, then, when
from behave.runner import Context

from features.steps.fleet_steps import keep_fleet, step_ask
from testbed.fleet import LIMIT_SECONDS, Fleet
from testbed.processes import poll_until

LINK = 'entry>reader-1'


@given('a fleet of 1 engine behind a proxy for its callers')
def step_proxied(context: Context) -> None:
    fleet = Fleet.from_config(context.processes, 1, links=(LINK,))
    keep_fleet(context, fleet)


@when('"{host}" answers {fault}')
def step_answer_fault(context: Context, host: str, fault: str) -> None:
    context.fleet.engine_call(host, '/fault', {'answers': fault})


@when('answers of {tokens:d} tokens are streamed until "{host}" has begun one')
def step_until_met(context: Context, tokens: int, host: str) -> None:
    """Go on asking: on a busy machine one engine may get all at first."""
    fleet: Fleet = context.fleet

    def met() -> bool:
        begun = fleet.recorded('request')
        if any(line['host'] == host for line in begun):
            return True
        step_ask(context, 2, tokens)
        return False

    poll_until(met, LIMIT_SECONDS, f'a request at {host}')


@when('the link to the engine is {fault} for {seconds:f} seconds')
@when('the link to the engine is {fault} for {seconds:d} seconds')
def step_link(context: Context, fault: str, seconds: float) -> None:
    cluster = context.fleet.cluster
    # Every answer has its first tokens by then.
    sleep(0.3)
    cluster.set_link(LINK, fault)
    sleep(seconds)
    cluster.set_link(LINK, 'pass')


@when('the busiest engine is killed')
def step_kill_engine(context: Context) -> None:
    sleep(0.3)
    context.host = context.fleet.busiest()
    context.fleet.cluster.process(f'{context.host}.engine').kill()


@when('the busiest endpoint process is killed')
def step_kill_endpoint(context: Context) -> None:
    sleep(0.3)
    context.fleet.cluster.process(context.fleet.busiest()).kill()


@when('its caller goes away')
def step_caller_gone(context: Context) -> None:
    sleep(0.3)
    context.asked.pop().kill()


@then('the endpoint processes have counted "{series}"')
def step_counted(context: Context, series: str) -> None:
    fleet: Fleet = context.fleet
    hosts = [one.host for one in fleet.cluster.layout.endpoints]
    found = [fleet.gauge(host, series) for host in hosts]
    assert sum(found), found


@then('the engine has run each request once')
def step_once(context: Context) -> None:
    found = [one['request_id'] for one in context.fleet.recorded('request')]
    assert len(found) == len(set(found)) == len(context.asked), found


@then('some answers were continued from the tokens already sent')
def step_continued(context: Context) -> None:
    starts = [one['resume_from'] for one in context.fleet.recorded('request')]
    assert any(starts), starts


@then('the engine has nothing to do within {seconds:d} seconds')
def step_idle(context: Context, seconds: int) -> None:
    fleet: Fleet = context.fleet
    assert fleet.recorded('request')

    def idle() -> bool:
        load = fleet.engine_call('reader-1', '/admin/load')
        return not load['running'] and not load['queued']

    # The load report lags half a second.
    sleep(0.6)
    poll_until(idle, seconds, 'an idle engine')
    cancels = 'engine_cancels_total{code="sent"}'
    poll_until(
        lambda: fleet.gauge('reader-1', cancels) == 1, LIMIT_SECONDS, cancels
    )
