"""Steps on the whole path of the users' platform."""

from functools import partial
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from msgspec import Raw

from testbed.platform_fleet import (
    Answer,
    PlatformFleet,
    document,
)
from testbed.platform_replica import EVENTS, SEAL

APPLY_SECONDS = 2.0
CORES = [f'core-{number}' for number in range(1, 6)]
ENTRIES = ['front-1', 'front-2']
LONG_NEED = {
    'Model': 'm',
    'Token_Counts': '17000,13',
    'Prefix_Hash': 'a1:13000,b2:4000',
}


def fleet_of(context: Context) -> PlatformFleet:
    """Return the fleet of a scenario."""
    fleet: PlatformFleet = context.fleet
    return fleet


def call(context: Context, path: str, **headers: str) -> Answer:
    """Call an entry with an id of its own; `ran` lists what ran by it."""
    context.number += 1
    request_id = f'r{context.number}'
    sent = {'Request_Id': request_id, 'Deadline_Ms': '4000', **headers}
    answer = fleet_of(context).call_entry('front-1', path, **sent)
    context.request_id = request_id
    context.ran = [
        received
        for replica in fleet_of(context).replicas
        for received in replica.ran
        if received.named('Request-Id') == request_id
    ]
    return answer


@given('a platform with 5 control hosts, 2 entries, 2 services and 3 engines')
def step_platform(context: Context) -> None:
    """Start everything at once."""
    start_platform(context)


def start_platform(context: Context, usage_window_s: int = 0) -> None:
    """Start everything at once; with a window, usage has to be reported."""
    fleet = PlatformFleet(context.processes)
    fleet.usage_window_s = usage_window_s
    context.fleet = fleet
    context.number = 0
    context.add_cleanup(fleet.stop)
    fleet.add_usual_replicas()
    for name in (*CORES, *ENTRIES):
        fleet.start(name, bootstrap=True)


@given('the list has entries that cannot be read')
def step_bad_entries(context: Context) -> None:
    """Put foreign entries on the list."""
    fleet_of(context).extra_entries = [
        {'id': 7, 'service': None},
        {'id': 'x', 'service': 'desk', 'addr': 'nowhere', 'zone': 'z1'},
        'not an entry',
        {
            'id': 'y',
            'service': 'desk',
            'addr': '127.0.0.1:1',
            'zone': 'z1',
            'state': 'dreaming',
        },
    ]


@when('other writers leave odd entries in the list')
def step_odd_entries(context: Context) -> None:
    """Put entries on the list that its page cannot be decoded with."""
    fleet_of(context).extra_entries = [
        Raw(b'{"id":"\\ud800","service":"desk"}'),
        Raw(b'[' * 5000 + b']' * 5000),
        Raw(b'{"slots":' + b'9' * 300 + b',"state":"ready"}'),
        {
            'id': 'i-port',
            'service': 'desk',
            'addr': '127.0.0.1:70000',
            'zone': 'z1',
            'version': 'v1',
            'state': 'ready',
            'slots': 2**63,
        },
    ]


@then('no process has failed at a task or ended')
def step_no_failures(context: Context) -> None:
    """Look at the processes and their logs."""
    for process in context.processes.started.values():
        assert process.running(), process.name
        assert 'begins again' not in process.log_tail(), process.name


@then('each entry answers 503 and is not ready before a document is published')
def step_not_ready(context: Context) -> None:
    """Check entries that know nothing yet."""
    fleet = fleet_of(context)
    fleet.wait_for(lambda: _answers(context), 'entries that listen')
    assert call(context, '/book/plain').status == 503
    assert not any(fleet.is_ready(entry) for entry in ENTRIES)


def _answers(context: Context) -> bool:
    try:
        return call(context, '/book/plain').status != 0
    except OSError:
        return False


@when('document {version:d} is published at "{host}"')
def step_publish(context: Context, version: int, host: str) -> None:
    """Publish until it is acknowledged."""
    publish_until_acknowledged(context, host, document(version))
    context.published_at = monotonic()


def publish_until_acknowledged(
    context: Context, host: str, sent: dict[str, Any]
) -> None:
    """Send a document again while the group says that it cannot take it.

    Below the wanted number of voters, as while a lost disk is made good, a
    host refuses with 503, and an operator sends the same again.
    """
    fleet = fleet_of(context)

    def acknowledged() -> bool:
        try:
            answer = fleet.publish(host, sent)
        except OSError:
            return False
        assert answer.status in {200, 503}, answer
        return answer.status == 200

    version = sent['version']
    fleet.wait_for(acknowledged, f'document {version} is acknowledged')


@then('every entry is ready within its bound')
def step_ready(context: Context) -> None:
    """Check readiness, and that the back ends are known."""
    fleet = fleet_of(context)
    for entry in ENTRIES:
        fleet.wait_for(partial(fleet.is_ready, entry), f'{entry} is ready')
    assert monotonic() - context.published_at < APPLY_SECONDS
    fleet.wait_for(
        lambda: (
            call(context, '/look/plain').status == 200
            and call(context, '/check/plain', **LONG_NEED).status == 200
        ),
        'the list of back ends is known',
    )


@then('a call of "{path}" runs once and comes back sealed')
def step_sealed(context: Context, path: str) -> None:
    """Check the answer and what ran."""
    answer = call(context, path)
    assert answer.status == 200 and answer.whole, answer
    assert answer.headers['kingcuptrestle-server-seal'] == SEAL
    assert answer.headers['kingcuptrestle-request-id'] == context.request_id
    assert len(context.ran) == 1


@then('a call of "{path}" gets 404')
def step_unknown(context: Context, path: str) -> None:
    """Check a path without a route."""
    assert call(context, path).status == 404


@then('a stream of "{path}" comes back whole after its prompt was read apart')
def step_stream(context: Context, path: str) -> None:
    """Check a stream whose memory came from another engine."""
    # No engine holds this prompt from a call before.
    need = {**LONG_NEED, 'Prefix_Hash': 'c3:13000,d4:4000'}
    answer = call(context, path, **need)
    assert answer.status == 200 and answer.whole, answer
    assert answer.body.count(b'data: token') == EVENTS
    assert context.ran[0].named('Kv-Source'), context.ran


@then('no handle is left at an engine')
def step_no_handle(context: Context) -> None:
    """Check that every handle was taken or freed."""
    fleet = fleet_of(context)
    taken = {
        received.named('Kv-Source').rpartition('/')[2]
        for replica in fleet.replicas
        for received in replica.ran
    }
    left = {
        handle
        for replica in fleet.replicas
        for handle in replica.handles - taken
    }
    assert not left, left


@then('a call of "{path}" gets {status:d} and ran once')
def step_once(context: Context, path: str, status: int) -> None:
    """Check a failure that must not be repeated."""
    answer = call(context, path)
    assert answer.status == status and answer.whole, answer
    assert len(context.ran) == 1, context.ran


@then('a call of "{path}" gets {status:d} and ran twice')
def step_twice(context: Context, path: str, status: int) -> None:
    """Check a failure that is tried at another back end."""
    answer = call(context, path)
    assert answer.status == status, answer
    assert len(context.ran) == 2, context.ran


@then('a call of "{path}" gets 503 with a time to come back and never ran')
def step_refused(context: Context, path: str) -> None:
    """Check a true refusal."""
    answer = call(context, path)
    assert answer.status == 503, answer
    assert float(answer.headers['retry-after']) > 0
    assert not context.ran


@then('{count:d} calls of "{path}" in a row each get their own answer')
def step_own_answers(context: Context, count: int, path: str) -> None:
    """Check that bytes behind an answer belong to nobody."""
    for _ in range(count):
        answer = call(context, path)
        assert answer.status == 200, answer
        assert b'nobody' not in answer.body
        own = answer.headers['kingcuptrestle-request-id']
        assert own == context.request_id


@then('a stream of "{path}" comes back whole although it broke off')
def step_resumed(context: Context, path: str) -> None:
    """Check a stream that went on at another engine."""
    answer = call(context, path, **LONG_NEED)
    assert answer.status == 200 and answer.whole, answer
    ids = [
        int(line[4:])
        for line in answer.body.splitlines()
        if line.startswith(b'id:')
    ]
    assert ids == list(range(EVENTS)), ids


@then('a stream of "{path}" ends without the end of its body')
def step_aborted(context: Context, path: str) -> None:
    """Check a stream that must not go on elsewhere."""
    answer = call(context, path, **LONG_NEED)
    assert answer.status == 200 and not answer.whole, answer
    assert len(context.ran) == 1, context.ran


@then('a call of "{path}" with forged system headers passes clean')
def step_forged(context: Context, path: str) -> None:
    """Check target and headers byte for byte at the back end."""
    answer = call(
        context,
        path,
        Target_Instance='i-other',
        Serving_Stage='prefill',
        Kv_Source='1.2.3.4:5/x',
        Kv_Hold='h',
        Pin_Ms='4000',
        Kv_Backup='1.2.3.4:5',
        Request_Priority='0',
    )
    assert answer.status == 200, answer
    received = context.ran[0]
    assert received.target == path, received
    assert received.named('Target-Instance').startswith('i-desk')
    for name in (
        'Serving-Stage',
        'Kv-Source',
        'Kv-Hold',
        'Pin-Ms',
        'Kv-Backup',
    ):
        assert not received.named(name), name
    assert int(received.named('Deadline-Ms')) <= 4000


@then('a caller that leaves "{path}" ends the stream within half a second')
def step_leaves(context: Context, path: str) -> None:
    """Leave in the middle of a slow stream."""
    fleet = fleet_of(context)
    before = sum(replica.cut_streams for replica in fleet.replicas)
    task = spawn(call, context, path, **LONG_NEED)
    sleep(0.8)
    task.kill()
    left_at = monotonic()
    fleet.wait_for(
        lambda: sum(replica.cut_streams for replica in fleet.replicas) > before,
        'the engine sees the end',
    )
    assert monotonic() - left_at < 0.5


@when('a service is listed as leaving for {seconds:d} seconds')
def step_leaving(context: Context, seconds: int) -> None:
    """Change the list and wait for the drain bound."""
    fleet_of(context).leaving.add('i-desk1')
    sleep(seconds)


@then('{count:d} calls of "{path}" all run elsewhere')
def step_elsewhere(context: Context, count: int, path: str) -> None:
    """Check that the leaving back end takes nothing."""
    leaving = fleet_of(context).replicas[0]
    before = len(leaving.ran)
    for _ in range(count):
        assert call(context, path).status == 200
    assert len(leaving.ran) == before


@then('a head of 20,000 bytes gets 431 and a body of 5,000 bytes gets 413')
def step_too_large(context: Context) -> None:
    """Send more than the limits allow; nothing of it runs."""
    assert call(context, '/book/plain', Padding='x' * 20_000).status == 431
    assert not context.ran
    fleet = fleet_of(context)
    address = f'{fleet.ip("front-1")}:{fleet.port + 7}'
    headers = {'Kingcuptrestle-Request-Id': 'large'}
    answer = fleet.call(address, 'POST', '/book/plain', b'x' * 5_000, headers)
    assert answer.status == 413, answer
