"""Steps on documents and recovery on the users' platform."""

from functools import partial
from shutil import rmtree
from signal import SIGHUP

from behave import then, when
from behave.runner import Context
from gevent import sleep, spawn

from features.steps.platform_path_steps import (
    CORES,
    ENTRIES,
    LONG_NEED,
    call,
    fleet_of,
    publish_until_acknowledged,
)
from testbed.platform_fleet import document, in_force


@then('invalid documents get 400 and document 3 stays in force')
def step_invalid(context: Context) -> None:
    """Send documents with one fault each, of a higher version."""
    fleet = fleet_of(context)
    routes = document(5)['routes']
    faults = (
        {'routes': [{**routes[0], 'service': 'nobody'}]},
        {'routes': [routes[0], {**routes[0], 'name': 'twin'}]},
        {'routes': [{**routes[0], 'timeoutMs': 0}]},
        {
            'routes': [
                {
                    **routes[0],
                    'trafficSplit': [{'service': 'desk', 'weight': 0}],
                }
            ]
        },
        {'routes': 7},
    )
    for fault in faults:
        answer = fleet.publish('core-1', document(5, **fault))
        assert answer.status == 400, (fault, answer)
    assert in_force(fleet.read_document('core-1')) == 3


@when('"{first}" and "{second}" lose their disks and start again')
def step_lose_disks(context: Context, first: str, second: str) -> None:
    """Kill two control hosts and empty their disks."""
    fleet = fleet_of(context)
    for host in (first, second):
        context.processes.started[host].kill()
        rmtree(fleet.data_folder(host))
    for host in (first, second):
        fleet.start(host, bootstrap=False)


@when('every control host is killed and started again')
def step_kill_all(context: Context) -> None:
    """Kill all control hosts at once."""
    for host in CORES:
        context.processes.started[host].kill()
    for host in CORES:
        fleet_of(context).start(host, bootstrap=False)


@then('document {version:d} is read back at every control host')
def step_read_back(context: Context, version: int) -> None:
    """Read at each host; an older version is a failure at once."""
    fleet = fleet_of(context)

    def is_read(host: str) -> bool:
        try:
            found = in_force(fleet.read_document(host))
        except OSError:
            return False
        assert found in {0, version}, (host, found)
        return found == version

    for host in CORES:
        fleet.wait_for(partial(is_read, host), f'{version} at {host}')


@then('document 5 is acknowledged and document 9 stays in force')
def step_lower(context: Context) -> None:
    """Send a lower version after a higher one."""
    fleet = fleet_of(context)
    publish_until_acknowledged(context, 'core-4', document(5))
    assert in_force(fleet.read_document('core-5')) == 9


@when('{count:d} documents follow and the last one drops the route "/look/"')
def step_many_documents(context: Context, count: int) -> None:
    """Publish versions one after another; each is acknowledged."""
    for version in range(4, 4 + count):
        sent = document(version)
        if version == 3 + count:
            sent['routes'] = [
                route
                for route in sent['routes']
                if route['pathPrefix'] != '/look/'
            ]
        publish_until_acknowledged(context, 'core-2', sent)


@when('every process is killed and started again')
def step_restart_all(context: Context) -> None:
    """Kill control hosts and entries at once."""
    for host in (*CORES, *ENTRIES):
        context.processes.started[host].kill()
    for host in (*CORES, *ENTRIES):
        fleet_of(context).start(host, bootstrap=False)


@then('no call of "{path}" is served while the entry comes back')
def step_never_served(context: Context, path: str) -> None:
    """Call all the time until the entry answers by the newest document."""
    fleet = fleet_of(context)

    def is_back() -> bool:
        try:
            answer = call(context, path)
        except OSError:
            return False
        assert answer.status in {0, 503, 404}, answer
        return answer.status == 404

    fleet.wait_for(is_back, 'the entry answers by the newest document')
    assert fleet.is_ready('front-1')


@then('a stream that runs while every process gets SIGHUP comes back whole')
def step_hangup(context: Context) -> None:
    """Change a settings file and send the signal in the middle of a stream."""
    task = spawn(call, context, '/grade/slow', **LONG_NEED)
    sleep(0.6)
    node_file = context.processes.folder / 'front-1.json'
    content = node_file.read_text(encoding='utf-8')
    node_file.write_text(f'{content}\n', encoding='utf-8')
    for host in (*CORES, *ENTRIES):
        context.processes.started[host].popen.send_signal(SIGHUP)
    answer = task.get()
    assert answer.status == 200 and answer.whole, answer


@then('every process still runs')
def step_still_run(context: Context) -> None:
    """Check that nobody ended, some seconds after the signal."""
    sleep(1.5)
    for host in (*CORES, *ENTRIES):
        assert context.processes.started[host].running(), host
    assert call(context, '/look/plain').status == 200
