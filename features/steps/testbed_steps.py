"""Steps that prove the fakes and the fault proxy."""

from http import HTTPStatus
from json import loads
from uuid import uuid4

from behave import given, then, when
from behave.runner import Context
from gevent import spawn

from testbed.answers import expected_answer
from testbed.calls import http_call, stream_events
from testbed.processes import Process, poll_until
from testbed.serving import JsonObject

LIMIT_SECONDS = 20


def start_engine(
    context: Context, name: str = 'engine', options: str = ''
) -> Process:
    """Start a fake engine that records into the scenario's folder."""
    record = str(context.folder / f'{name}.jsonl')
    process: Process = context.processes.start_fake(
        name, 'fake_engine', '--record', record, *options.split()
    )
    return process


def read_record(context: Context, name: str) -> list[JsonObject]:
    """Return the lines that a fake has recorded."""
    path = context.folder / f'{name}.jsonl'
    if not path.exists():
        return []
    return [loads(line) for line in path.read_text().splitlines()]


def completion(prompt: str, tokens: int) -> JsonObject:
    """Return a completion's body."""
    return {
        'model': 'model',
        'prompt': prompt,
        'max_tokens': tokens,
        'request_id': uuid4().hex,
    }


def stream(context: Context, prompt: str, tokens: int, start: int = 0) -> None:
    """Stream a completion and keep its body and events."""
    context.body = {
        **completion(prompt, tokens),
        'stream': True,
        'resume_from': start,
    }
    context.events = []
    events = stream_events(
        context.engine.address, '/v1/completions', context.body
    )
    try:
        context.events.extend(events)
    except OSError:
        # The engine went away; the events so far are kept.
        return


def text_of(events: list[JsonObject]) -> str:
    """Return the text of a stream's events."""
    return ''.join(event['choices'][0]['text'] for event in events)


def send_order(context: Context, number: int) -> tuple[int, JsonObject]:
    """Send an order to become a decode engine."""
    body = {'fencing': number, 'kind': 'set-role', 'argument': 'decode'}
    return http_call(context.engine.address, 'POST', '/admin/orders', body)


@given('a fake engine')
def step_engine(context: Context) -> None:
    context.engine = start_engine(context)


@given('a fake engine with "{options}"')
def step_engine_with(context: Context, options: str) -> None:
    context.engine = start_engine(context, options=options)


@given('a second fake engine')
def step_second_engine(context: Context) -> None:
    context.second = start_engine(context, 'second')


@given('a fake engine behind a proxy')
def step_proxy(context: Context) -> None:
    context.engine = start_engine(context)
    link = f'engine=0:@{context.engine.address_file}'
    context.proxy = context.processes.start_fake(
        'proxy', 'fault_proxy', '--link', link
    )
    assert context.engine.address


@when('the prompt "{prompt}" is streamed with {tokens:d} tokens')
def step_stream(context: Context, prompt: str, tokens: int) -> None:
    stream(context, prompt, tokens)


@when(
    'the prompt "{prompt}" is streamed with {tokens:d} tokens'
    ' from token {start:d}'
)
def step_resume(context: Context, prompt: str, tokens: int, start: int) -> None:
    stream(context, prompt, tokens, start)


@when('a prompt of {tokens:d} tokens is streamed')
def step_long(context: Context, tokens: int) -> None:
    stream(context, ' '.join(map(str, range(tokens))), 2)


@then('the streamed text is the expected answer and has a finish marker')
def step_whole(context: Context) -> None:
    body = context.body
    expected = expected_answer(body['prompt'], body['max_tokens'])
    assert text_of(context.events) == expected
    numbers = [event['index'] for event in context.events]
    assert numbers == list(range(body['max_tokens'] + 1))
    assert context.events[-1]['choices'][0]['finish_reason'] == 'length'


@then('the streamed text is the expected answer from token {start:d}')
def step_rest(context: Context, start: int) -> None:
    body = context.body
    skipped = expected_answer(body['prompt'], start)
    expected = expected_answer(body['prompt'], body['max_tokens'])
    assert skipped + text_of(context.events) == expected
    assert context.events[0]['index'] == start


@then('{count:d} pieces are told as stored')
def step_pieces(context: Context, count: int) -> None:
    def stored() -> bool:
        path = '/admin/cache-events?after=0'
        _, answer = http_call(context.engine.address, 'GET', path)
        kinds = [event['kind'] for event in answer['events']]
        return kinds == ['stored'] * count

    poll_until(stored, LIMIT_SECONDS, 'the cache events')


@then('a ticket for it can be imported by the second engine')
def step_ticket(context: Context) -> None:
    body = {'request_id': context.body['request_id']}
    path = '/admin/kv/export'
    status, answer = http_call(context.engine.address, 'POST', path, body)
    assert status == HTTPStatus.OK, answer
    path = '/admin/kv/import'
    status, answer = http_call(context.second.address, 'POST', path, answer)
    assert (status, answer) == (HTTPStatus.OK, {'tokens': 4100})


@then('an unknown ticket is refused with 404')
def step_unknown_ticket(context: Context) -> None:
    ticket = {'ticket': f'{context.engine.address}/unknown'}
    path = '/admin/kv/import'
    status, _ = http_call(context.second.address, 'POST', path, ticket)
    assert status == HTTPStatus.NOT_FOUND


@when('the orders 5 and 4 are sent at once')
def step_two_orders(context: Context) -> None:
    for number in (5, 4):
        status, _ = send_order(context, number)
        assert status == HTTPStatus.ACCEPTED


@then('its record shows the order 4 begun with the conflict "{conflict}"')
def step_conflict(context: Context, conflict: str) -> None:
    lines = read_record(context, 'engine')
    found = [
        (line['fencing'], line['outcome'], line['conflict']) for line in lines
    ]
    assert found == [(5, 'begun', None), (4, 'begun', conflict)], found


@when('the order 5 is sent')
def step_order(context: Context) -> None:
    status, _ = send_order(context, 5)
    assert status == HTTPStatus.ACCEPTED


@then('a completion is refused with 503')
def step_refused(context: Context) -> None:
    body = completion('early', 2)
    path = '/v1/completions'
    status, _ = http_call(context.engine.address, 'POST', path, body)
    assert status == HTTPStatus.SERVICE_UNAVAILABLE


@then('after the order is done the order 4 is refused with "{code}"')
def step_stale(context: Context, code: str) -> None:
    def done() -> bool:
        _, state = http_call(context.engine.address, 'GET', '/admin/state')
        order = state['order']['state']
        return (order, state['role']) == ('done', 'decode')

    poll_until(done, LIMIT_SECONDS, 'the order')
    refusal = send_order(context, 4)
    assert refusal == (HTTPStatus.CONFLICT, {'code': code})


@then('the engine has exited and its record names the request')
def step_crashed(context: Context) -> None:
    assert context.engine.wait() == 3
    last = read_record(context, 'engine')[-1]
    assert last['event'] == 'crash'
    assert last['request_id'] == context.body['request_id']


def set_link(context: Context, mode: str) -> None:
    """Put the fault on the engine's link."""
    control = context.proxy.addresses['control']
    body = {'link': 'engine', 'mode': mode}
    status, answer = http_call(control, 'POST', '/faults', body)
    assert status == HTTPStatus.OK, answer


@when('the link is put on "{mode}" and a completion is sent')
def step_link(context: Context, mode: str) -> None:
    set_link(context, mode)
    context.pending = spawn(
        http_call,
        context.proxy.addresses['engine'],
        'POST',
        '/v1/completions',
        completion('through the proxy', 3),
    )

    def accepted() -> bool:
        control = context.proxy.addresses['control']
        _, answer = http_call(control, 'GET', '/links')
        return bool(answer['links']['engine']['accepted'])

    poll_until(accepted, LIMIT_SECONDS, 'the connection')


@then('the engine has no request')
def step_no_request(context: Context) -> None:
    assert not read_record(context, 'engine')
    assert not context.pending.ready()


@then('on "pass" the completion is answered')
def step_released(context: Context) -> None:
    set_link(context, 'pass')
    status, answer = context.pending.get(timeout=LIMIT_SECONDS)
    assert status == HTTPStatus.OK
    expected = expected_answer('through the proxy', 3)
    assert answer['choices'][0]['text'] == expected


@then('on "pass" the completion fails')
def step_lost(context: Context) -> None:
    set_link(context, 'pass')
    context.pending.join(LIMIT_SECONDS)
    assert isinstance(context.pending.exception, OSError)
    assert not read_record(context, 'engine')
