"""Steps on withdrawn hosts and planned stops under steady calls."""

from collections import Counter
from collections.abc import Iterator
from json import dumps, loads
from shutil import copytree
from time import sleep, time

from behave import given, then, when
from behave.runner import Context

from features.steps.fleet_steps import keep_fleet
from testbed.calls import http_call
from testbed.cluster import HOST_LIST, Cluster
from testbed.firms import DESK, MEDENA_SET, medena_layout, publish_when_ready
from testbed.fleet import LIMIT_SECONDS, ROUTE, Fleet
from testbed.processes import poll_until
from testbed.steady_callers import SteadyCallers

STOP_SECONDS = 20.0
LEAST_CALLS = 20
# Several looks of the balancer.
NOTICE_MS = 800
# So few that the steady calls need every engine.
MAX_RUNNING = 3


@given('a Medena system of {readers:d} readers under steady calls')
def step_readers(context: Context, readers: int) -> None:
    start_system(context, readers, 0)


@given(
    'a Medena system of {readers:d} readers and {desks:d} desks '
    'under steady calls'
)
def step_system(context: Context, readers: int, desks: int) -> None:
    start_system(context, readers, desks)


def start_system(context: Context, readers: int, desks: int) -> None:
    """Start a system and its callers; wait until all of them were served."""
    layout = medena_layout(
        readers,
        desks,
        host_lag_seconds=0.2,
        drain_notice_ms=NOTICE_MS,
        settings={'endpoint': {'max_running': MAX_RUNNING}},
    )
    cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(cluster)
    keep_fleet(context, Fleet(cluster))
    context.callers = SteadyCallers(cluster, ROUTE, DESK if desks else '')
    context.add_cleanup(context.callers.stop)
    context.callers.start()
    poll_until(
        lambda: len(context.callers.sent) >= LEAST_CALLS,
        LIMIT_SECONDS,
        'first answers',
    )


@when('the platform lists "{host}" as {state}')
def step_list(context: Context, host: str, state: str) -> None:
    address = context.fleet.cluster.process(HOST_LIST).address
    http_call(address, 'POST', f'/hosts/{host}', {'state': state})

    def shown() -> bool:
        hosts = http_call(address, 'GET', '/hosts')[1]['hosts']
        return {'host': host, 'state': state} in hosts

    poll_until(shown, LIMIT_SECONDS, f'{host} is listed as {state}')
    context.changed_at = time()


@when('the operator withdraws "{host}"')
def step_withdraw(context: Context, host: str) -> None:
    context.fleet.operate('withdraw', host, '--cause', 'the deal ends')
    context.changed_at = time()


@when('the operator restores "{host}"')
def step_restore(context: Context, host: str) -> None:
    context.fleet.operate('restore', host, '--cause', 'the deal goes on')
    context.changed_at = time()


@when('the process of "{host}" is killed and started again')
def step_restart(context: Context, host: str) -> None:
    context.fleet.cluster.process(host).kill()
    context.fleet.restart(host)


@then(
    '"{host}" gets no new work from {after:d} seconds on, '
    'for {length:d} seconds'
)
def step_no_work(context: Context, host: str, after: int, length: int) -> None:
    begin = context.changed_at + after
    sleep(max(begin + length - time(), length))
    late = [at for at in request_times(context, host) if at > begin]
    assert not late, [at - context.changed_at for at in late]
    others = [at for at in request_times(context, 'reader-2') if at > begin]
    assert others


@then('"{host}" gets work again')
def step_work_again(context: Context, host: str) -> None:
    def works() -> bool:
        return any(
            at > context.changed_at for at in request_times(context, host)
        )

    context.fleet.wait_ready(host)
    context.changed_at = time()
    poll_until(works, LIMIT_SECONDS, f'work on {host}')


def request_times(context: Context, host: str) -> Iterator[float]:
    """Yield the wall-clock times of an engine's requests."""
    for line in context.fleet.cluster.record(host):
        if line['event'] == 'request':
            yield line['time']


@then('"explain" of "{host}" tells of "{kinds}"')
def step_explained(context: Context, host: str, kinds: str) -> None:
    told = context.fleet.operate('explain', host, '--json')
    found = {record['kind'] for record in loads(told)['records']}
    assert found >= set(kinds.split(', ')), found


@when('sets are published {times:d} times')
def step_publish(context: Context, times: int) -> None:
    folder = context.folder / 'changed-set'
    copytree(MEDENA_SET, folder)
    path = folder / 'plans.json'
    plans = loads(path.read_text(encoding='utf-8'))
    for turn in range(times):
        plans['plans']['goodput-first']['dwell_ms'] += turn + 1
        path.write_text(dumps(plans), encoding='utf-8')
        context.fleet.operate('publish', str(folder), '--wait')


@when('these stop as planned and start again: "{names}"')
def step_stop(context: Context, names: str) -> None:
    cluster = context.fleet.cluster
    hosts = names.split(', ')
    for host in hosts:
        cluster.process(host).terminate()
    for host in hosts:
        status = cluster.process(host).wait(STOP_SECONDS)
        assert status == 0, (host, status)
    for host in hosts:
        context.fleet.restart(host)
    cluster.wait_ready(hosts)


@then('no call was cut or refused')
def step_uncut(context: Context) -> None:
    sent = context.callers.finish()
    wrong = [one for one in sent if not one.correct]
    print(f'{len(sent)} calls, {len(wrong)} cut or refused')
    assert not wrong, (len(wrong), len(sent), wrong[:3])


@then('no booking ran twice')
def step_once(context: Context) -> None:
    cluster = context.fleet.cluster
    keys = Counter(
        line['key'] for host in desks(cluster) for line in cluster.record(host)
    )
    assert keys and set(keys.values()) == {1}, keys.most_common(3)


@then('no answer was continued on another engine')
def step_not_moved(context: Context) -> None:
    cluster = context.fleet.cluster
    lines = [
        line
        for endpoint in cluster.layout.endpoints
        if endpoint.kind == 'engine'
        for line in cluster.record(endpoint.host)
        if line['event'] == 'request'
    ]
    moved = [line for line in lines if line['resume_from']]
    assert lines and not moved, moved[:3]


def desks(cluster: Cluster) -> list[str]:
    """Return the hosts of plain services."""
    return [
        endpoint.host
        for endpoint in cluster.layout.endpoints
        if endpoint.kind == 'service'
    ]


@when('the operator withdraws it before its work has ended')
def step_withdraw_draining(context: Context) -> None:
    fleet: Fleet = context.fleet
    poll_until(
        lambda: not fleet.cluster.ready(context.host), LIMIT_SECONDS, 'drain'
    )
    step_withdraw(context, context.host)
    assert fleet.gauge(context.host, 'running')


@when('the operator restores it')
def step_restore_it(context: Context) -> None:
    step_restore(context, context.host)


@then('its order is "{state}" and it keeps the role "{role}"')
def step_order_ended(context: Context, state: str, role: str) -> None:
    found = context.fleet.wait_order(context.host)
    assert found == state, context.fleet.query('explain', context.host)
    engine = context.fleet.engine_call(context.host, '/admin/state')
    assert engine['role'] == role, engine


@then('no engine has begun a role change')
def step_no_change(context: Context) -> None:
    lines = context.fleet.recorded('order')
    assert not [one for one in lines if one['kind'] == 'set-role'], lines
