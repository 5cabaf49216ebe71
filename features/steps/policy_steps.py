"""Steps for the decisions under load and faults."""

from json import dumps, loads
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import Greenlet, joinall, spawn

from features.steps.system_steps import LIMIT_SECONDS, Sent, complete, send
from testbed.calls import http_call
from testbed.cluster import Cluster
from testbed.firms import medena_layout, publish_when_ready
from testbed.metrics import read_counter
from testbed.processes import poll_until

ENTRY = 'entry-1'
# One engine reads 6,000 tokens in 4 seconds.
SLOW_PREFILL = '--prefill-rate=1500'


@given('a Medena system with {readers:d} readers and 1 desk under load')
@given('a Medena system with {readers:d} reader and 1 desk under load')
def step_loaded(context: Context, readers: int) -> None:
    few = {'max_running': 4, 'max_queued': 8}
    layout = medena_layout(
        readers, 1, (SLOW_PREFILL,), settings={'endpoint': few}
    )
    context.cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(context.cluster)
    context.sent = []
    context.ended = []


@given('every engine cuts its answers')
def step_cut(context: Context) -> None:
    for endpoint in context.cluster.layout.endpoints:
        if endpoint.kind == 'engine':
            address = context.cluster.process(endpoint.backend).address
            http_call(address, 'POST', '/fault', {'answers': 'cut'})


@given('a caller has read {amount:d} certificates of {tokens:d} tokens')
def step_has_read(context: Context, amount: int, tokens: int) -> None:
    for number in range(amount):
        complete(context, read_body(tokens, f'c{number}'), ENTRY)
    assert {sent.status for sent in context.sent} == {200}


@when('{amount:d} callers ask for lot verdicts through one entry')
def step_storm(context: Context, amount: int) -> None:
    tasks = [
        spawn(ask_verdict, context, f'caller-{number}', number)
        for number in range(amount)
    ]
    joinall(tasks, timeout=LIMIT_SECONDS, raise_error=True)


@when('a trader asks for {amount:d} lot verdicts at once')
def step_heavy(context: Context, amount: int) -> None:
    context.heavy = [
        spawn(ask_verdict, context, 'trader', number)
        for number in range(amount)
    ]
    # The clerk comes when the trader's requests have filled the system.
    poll_until(
        lambda: context.cluster.record('reader-1'), LIMIT_SECONDS, 'a request'
    )


@when('a clerk asks for {amount:d} lot verdicts after that')
def step_light(context: Context, amount: int) -> None:
    light = [
        spawn(ask_verdict, context, 'clerk', number) for number in range(amount)
    ]
    tasks = [*context.heavy, *light]
    joinall(tasks, timeout=LIMIT_SECONDS, raise_error=True)


@when('a caller asks for a certificate read of {tokens:d} tokens')
def step_timed_read(context: Context, tokens: int) -> None:
    began = monotonic()
    complete(context, read_body(tokens, 'heat'), ENTRY)
    context.seconds = monotonic() - began


@when(
    'the endpoint process of a read of {tokens:d} tokens is killed '
    'before its first token'
)
def step_kill(context: Context, tokens: int) -> None:
    reading = spawn(complete, context, read_body(tokens, 'heat'), ENTRY)
    host = poll_until(
        lambda: reading_host(context), LIMIT_SECONDS, 'a read on an engine'
    )
    assert not reading.ready()
    context.cluster.process(host).kill()
    join(reading)


@then('no answer is whole')
def step_none_whole(context: Context) -> None:
    assert all(b'[DONE]' not in sent.answer for sent in context.sent)


@then('{host} has made at most {amount:d} endpoint calls')
def step_calls(context: Context, host: str, amount: int) -> None:
    address = context.cluster.http_address(host)
    calls = read_counter(address, 'endpoint_calls')
    assert calls <= amount, calls


@then('the clerk has all answers before the trader has {amount:d}')
def step_order(context: Context, amount: int) -> None:
    last = max(
        place for place, caller in enumerate(context.ended) if caller == 'clerk'
    )
    before = context.ended[:last].count('trader')
    assert before < amount, context.ended


@then('the read is refused as "{code}" within {limit:d} s')
def step_refused(context: Context, code: str, limit: int) -> None:
    last = context.sent[-1]
    assert (last.verdict, loads(last.answer)['code']) == ('not-run', code), last
    assert context.seconds < limit, context.seconds


def read_body(tokens: int, word: str) -> dict[str, Any]:
    """Return a streamed certificate read of so many tokens."""
    prompt = ' '.join(f'{word}{number}' for number in range(tokens))
    return {
        'model': 'certificate-grades',
        'prompt': prompt,
        'max_tokens': 30,
        'stream': True,
    }


def ask_verdict(context: Context, caller: str, number: int) -> None:
    """Stream a verdict and keep its answer; `ended` keeps the order."""
    body = {
        'model': 'lot-verdicts',
        'prompt': f'{caller} asks for lot {number}',
        'max_tokens': 20,
        'stream': True,
    }
    status, verdict, answer = send(
        context.cluster.http_address(ENTRY),
        'POST',
        '/v1/completions',
        dumps(body).encode(),
        {'Caller': caller},
    )
    context.sent.append(Sent(body, status, verdict, answer))
    context.ended.append(caller)


def reading_host(context: Context) -> str:
    """Return the host whose engine got a request, empty if none did."""
    for endpoint in context.cluster.layout.endpoints:
        if endpoint.kind == 'engine' and context.cluster.record(endpoint.host):
            return str(endpoint.host)
    return ''


def join(task: 'Greenlet[..., None]') -> None:
    """Wait for one request."""
    joinall([task], timeout=LIMIT_SECONDS, raise_error=True)
    assert task.ready()
