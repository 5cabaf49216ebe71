"""Steps for rollouts of model versions."""

from json import loads
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn

from testbed.answers import expected_answer
from testbed.calls import http_call
from testbed.cluster import Cluster
from testbed.firms import (
    medena_layout,
    medena_set_with_version,
    publish_when_ready,
)
from testbed.processes import poll_until

READ_TOKENS = 40


@given('a Medena system with {readers:d} readers whose orders take 1 second')
def step_system(context: Context, readers: int) -> None:
    layout = medena_layout(readers, 1, ('--order-seconds=1',))
    context.cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(context.cluster)
    context.readers = [f'reader-{number + 1}' for number in range(readers)]
    context.reads = []
    poll_until(lambda: rollout(context)['done'] == readers, 20, 'known models')


@given('engines on which orders fail')
def step_fail(context: Context) -> None:
    set_fault(context, fail_orders=True)


@when('orders work again')
def step_mend(context: Context) -> None:
    set_fault(context, fail_orders=False)


@when('callers read certificates all the time')
def step_read(context: Context) -> None:
    for number in range(4):
        task = spawn(read_for_ever, context, number)
        context.add_cleanup(task.kill)
    poll_until(lambda: len(context.reads) > 4, 20, 'first reads')


@when('model version "{version}" is published')
def step_publish(context: Context, version: str) -> None:
    folder = medena_set_with_version(context.folder, version)
    published = context.cluster.operate('publish', str(folder))
    assert published.returncode == 0, published.stderr


@then(
    'all {readers:d} readers have loaded version "{version}" within {limit:d} s'
)
def step_loaded(
    context: Context, readers: int, version: str, limit: int
) -> None:
    def is_done() -> bool:
        status = rollout(context)
        return (status['version'], status['done']) == (version, readers)

    poll_until(is_done, limit, f'version {version} everywhere')
    for host in context.readers:
        address = context.cluster.process(f'{host}.engine').address
        _, state = http_call(address, 'GET', '/admin/state')
        assert state['version'] == version, state


@then('at most {most:d} reader loaded at a time')
def step_at_once(context: Context, most: int) -> None:
    # The order of issue and end in the log is the proof.
    loading: set[str] = set()
    for kind, host in order_events(context):
        if kind == 'order issued':
            loading.add(host)
        else:
            loading.discard(host)
        assert len(loading) <= most, loading


@then('no order has cut a request')
def step_uncut(context: Context) -> None:
    lines = [line for host in context.readers for line in orders(context, host)]
    assert lines
    assert not any(line['cut'] for line in lines), lines


@then('every read so far was whole')
def step_whole(context: Context) -> None:
    assert len(context.reads) > 10
    wrong = [text for prompt, text in context.reads if text != answer(prompt)]
    assert not wrong, wrong[:3]


@then('the rollout is halted within {limit:d} s')
def step_halted(context: Context, limit: int) -> None:
    poll_until(lambda: rollout(context)['halted'], limit, 'halted rollout')
    sleep(2)


@then('{amount:d} reader has begun to load version "{version}"')
def step_begun(context: Context, amount: int, version: str) -> None:
    begun = [
        host
        for host in context.readers
        for line in orders(context, host)
        if line['argument'].endswith(f'/{version}')
    ]
    assert len(begun) == amount, begun


@then('the rollout is done within {limit:d} s')
def step_done(context: Context, limit: int) -> None:
    def is_done() -> bool:
        status = rollout(context)
        return status['done'] == status['engines'] and not status['halted']

    poll_until(is_done, limit, 'rollout')


def rollout(context: Context) -> dict[str, Any]:
    """Return the rollout of Medena's one pool, as status shows it."""
    shown = context.cluster.operate('status', '--json')
    found: dict[str, Any] = loads(shown.stdout)['rollouts'][0]
    return found


def order_events(context: Context) -> list[tuple[str, str]]:
    """Return the issues and ends of load orders in log order."""
    events = []
    for host in context.readers:
        told = context.cluster.operate('explain', host, '--json')
        for record in loads(told.stdout)['records']:
            if 'load-model' in record['detail']:
                events.append((record['log_index'], record['kind'], host))
    return [(kind, host) for _, kind, host in sorted(events)]


def orders(context: Context, host: str) -> list[dict[str, Any]]:
    """Return the orders that a reader's engine has recorded."""
    record = context.cluster.record(host)
    return [line for line in record if line['event'] == 'order']


def set_fault(context: Context, **fault: object) -> None:
    """Set a fault on every engine."""
    for host in context.readers:
        address = context.cluster.process(f'{host}.engine').address
        status, _ = http_call(address, 'POST', '/fault', fault)
        assert status == 200


def read_for_ever(context: Context, number: int) -> None:
    """Read one certificate after another and keep the answers."""
    address = context.cluster.http_address(f'entry-{number % 2 + 1}')
    for turn in range(1000):
        prompt = f'certificate {number} {turn}'
        body = {
            'model': 'certificate-grades',
            'prompt': prompt,
            'max_tokens': READ_TOKENS,
        }
        _, content = http_call(address, 'POST', '/v1/completions', body)
        text = content.get('choices', [{}])[0].get('text', content)
        context.reads.append((prompt, text))


def answer(prompt: str) -> str:
    """Return the whole answer of a read."""
    return expected_answer(prompt, READ_TOKENS)
