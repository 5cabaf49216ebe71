"""Steps that drive a whole system through its callers' HTTP."""

from json import dumps, loads
from typing import Any, NamedTuple

from behave import given, then, when
from behave.runner import Context
from gevent import joinall, spawn
from geventhttpclient import HTTPClient

from testbed.answers import expected_answer
from testbed.cluster import Cluster
from testbed.firms import medena_layout, publish_when_ready

LIMIT_SECONDS = 30


class Sent(NamedTuple):
    """A request and its answer."""

    body: dict[str, Any]
    status: int
    verdict: str
    answer: Any


def send(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> tuple[int, str, bytes]:
    """Return the status, the verdict header and the body of an answer."""
    ip, _, port = address.partition(':')
    client = HTTPClient(ip, int(port), network_timeout=LIMIT_SECONDS)
    try:
        response = client.request(method, path, body, headers or {})
        verdict = str(response.get('Request-Verdict') or '')
        return response.status_code, verdict, bytes(response.read())
    finally:
        client.close()


def complete(context: Context, body: dict[str, Any], entry: str) -> None:
    """Send a completion and keep its answer."""
    address = context.cluster.http_address(entry)
    status, verdict, answer = send(
        address, 'POST', '/v1/completions', dumps(body).encode()
    )
    context.sent.append(Sent(body, status, verdict, answer))


def text_of(sent: Sent) -> str:
    """Return the text of a whole or streamed answer."""
    if not sent.body.get('stream'):
        return str(loads(sent.answer)['choices'][0]['text'])
    lines = sent.answer.decode().split('\n\n')
    assert lines[-2] == 'data: [DONE]', lines[-2:]
    events = [loads(line.removeprefix('data: ')) for line in lines[:-2]]
    assert events[-1]['choices'][0]['finish_reason'] == 'length'
    return ''.join(event['choices'][0]['text'] for event in events)


@given('a Medena system with {readers:d} readers and {desks:d} desks')
def step_medena(context: Context, readers: int, desks: int) -> None:
    layout = medena_layout(readers, desks)
    context.cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(context.cluster)
    context.sent = []


@when('{amount:d} callers ask for lot verdicts at the same time')
def step_verdicts(context: Context, amount: int) -> None:
    tasks = [
        spawn(
            complete,
            context,
            {
                'model': 'lot-verdicts',
                'prompt': f'lot {number} grade',
                'max_tokens': 8,
            },
            f'entry-{number % 2 + 1}',
        )
        for number in range(amount)
    ]
    joinall(tasks, timeout=LIMIT_SECONDS, raise_error=True)


@when('a caller streams a certificate read of {tokens:d} tokens')
def step_read(context: Context, tokens: int) -> None:
    prompt = ' '.join(f'heat{number}' for number in range(tokens))
    body = {
        'model': 'certificate-grades',
        'prompt': prompt,
        'max_tokens': 30,
        'stream': True,
    }
    complete(context, body, 'entry-1')


@when('a trader reserves lot {lot:d} with key "{key}"')
def step_reserve(context: Context, lot: int, key: str) -> None:
    book(context, 'reserve', lot, key)


@when('a trader releases lot {lot:d} with key "{key}"')
def step_release(context: Context, lot: int, key: str) -> None:
    book(context, 'release', lot, key)


def book(context: Context, operation: str, lot: int, key: str) -> None:
    """Send a keyed call and keep its answer."""
    body = f'{{"lot": {lot}}}'.encode()
    status, verdict, answer = send(
        context.cluster.http_address('entry-1'),
        'POST',
        f'/services/order-desk/{operation}',
        body,
        {'Idempotency-Key': key, 'Caller': 'trader'},
    )
    context.sent.append(Sent({}, status, verdict, loads(answer)))


@when('a caller sends these requests')
def step_table(context: Context) -> None:
    address = context.cluster.http_address('entry-2')
    for row in context.table:
        status, verdict, answer = send(
            address, row['method'], row['path'], row['body'].encode()
        )
        expected = {'status': int(row['status']), 'code': row['code']}
        context.sent.append(Sent(expected, status, verdict, loads(answer)))


@then("every answer is whole and its caller's own")
def step_whole(context: Context) -> None:
    for sent in context.sent:
        assert sent.status == 200, sent
        wanted = expected_answer(sent.body['prompt'], sent.body['max_tokens'])
        assert text_of(sent) == wanted, sent


@then('every verdict is "{verdict}"')
def step_verdict(context: Context, verdict: str) -> None:
    assert {sent.verdict for sent in context.sent} == {verdict}


@then('both answers are the same')
def step_same(context: Context) -> None:
    first, second = context.sent
    assert first.status == second.status == 200, context.sent
    assert first.answer == second.answer


@then('the desks have run key "{key}" once')
def step_once(context: Context, key: str) -> None:
    runs = [line for line in desk_records(context) if line['key'] == key]
    assert len(runs) == 1, runs


@then('no desk has run anything')
def step_none(context: Context) -> None:
    assert not desk_records(context)


@then(
    'the last answer has status {status:d}, code "{code}" '
    'and verdict "{verdict}"'
)
def step_last(context: Context, status: int, code: str, verdict: str) -> None:
    last = context.sent[-1]
    seen = (last.status, last.answer['code'], last.verdict)
    assert seen == (status, code, verdict), seen
    assert last.answer['verdict'] == verdict


@then('each is answered with its status, its code and the verdict "{verdict}"')
def step_each(context: Context, verdict: str) -> None:
    for sent in context.sent:
        seen = {'status': sent.status, 'code': sent.answer['code']}
        assert seen == sent.body, (seen, sent.body)
        assert sent.verdict == sent.answer['verdict'] == verdict


def desk_records(context: Context) -> list[dict[str, Any]]:
    """Return every execution that the desks have recorded."""
    hosts = [
        endpoint.host
        for endpoint in context.cluster.layout.endpoints
        if endpoint.kind == 'service'
    ]
    return [line for host in hosts for line in context.cluster.record(host)]
