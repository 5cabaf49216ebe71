"""Steps on requests that still run, or come, late in a planned stop."""

from time import monotonic
from typing import Any

from behave import then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.socket import create_connection
from msgspec.json import decode

from features.steps.platform_path_steps import LONG_NEED, fleet_of
from features.steps.platform_path_steps import call as path_call
from testbed.platform_fleet import Answer, document, read_answer
from testbed.processes import poll_until

LIMIT_SECONDS = 20.0
BODY = b'{"lot":1}'


@when(
    'document {version:d} with time limits of {seconds:d} seconds is published '
    'at "{host}"'
)
def step_publish(
    context: Context, version: int, seconds: int, host: str
) -> None:
    """Publish until the group has formed."""
    routes = [
        {**route, 'timeoutMs': seconds * 1000}
        for route in document(version)['routes']
    ]
    wanted = document(version, routes=routes)
    fleet = fleet_of(context)

    def is_acknowledged() -> bool:
        try:
            return fleet.publish(host, wanted).status == 200
        except OSError:
            return False

    poll_until(is_acknowledged, LIMIT_SECONDS, 'acknowledgement')
    context.published_at = monotonic()


def call(context: Context, path: str, number: int) -> Answer:
    """Call on a connection that the caller would keep."""
    headers = {'Request_Id': f'late{number}', 'Deadline_Ms': '20000'}
    if path.startswith('/grade/'):
        headers.update(LONG_NEED)
    return fleet_of(context).call_entry('front-1', path, **headers)


@when('these calls run, and "{host}" is stopped as planned: "{paths}"')
def step_calls(context: Context, host: str, paths: str) -> None:
    """Begin the calls, then stop their entry and wait for its end."""
    tasks = [
        spawn(call, context, path, number)
        for number, path in enumerate(paths.split(', '))
    ]
    sleep(0.6)
    stop(context, host)
    context.answers = [task.get(timeout=LIMIT_SECONDS) for task in tasks]
    wait_gone(context)


def stop(context: Context, host: str) -> None:
    """Send SIGTERM."""
    context.stopped = context.processes.started[host]
    context.signalled_at = monotonic()
    context.stopped.terminate()


def wait_gone(context: Context) -> None:
    """Wait until the process that was stopped is gone."""
    poll_until(lambda: not context.stopped.running(), LIMIT_SECONDS, 'the end')
    context.gone_seconds = monotonic() - context.signalled_at


@then(
    'each gets {status:d} with the code "{code}" and its id, and one end of its '
    'connection'
)
def step_answers(context: Context, status: int, code: str) -> None:
    """Check that the answers are the entry's own, and whole."""
    for number, answer in enumerate(context.answers):
        assert answer.status == status and answer.whole, answer
        assert decode(answer.body)['code'] == code, answer
        named = answer.headers['kingcuptrestle-request-id']
        assert named == f'late{number}', answer
        assert answer.headers['connection'] == 'close', answer
        assert 'kingcuptrestle-server-seal' not in answer.headers, answer


@then('each has got {status:d} and no end')
def step_broken_off(context: Context, status: int) -> None:
    """Check that what came does not look whole."""
    for answer in context.answers:
        assert answer.status == status and not answer.whole, answer
        assert b'id: 0' in answer.body, answer


@then(
    '"{host}" was gone by itself between {least:g} s and {most:g} s after the '
    'signal'
)
def step_gone(context: Context, host: str, least: float, most: float) -> None:
    """Check that the grace was used, and that nothing had to kill it."""
    assert context.stopped.wait() == 0, host
    assert least < context.gone_seconds < most, context.gone_seconds


@when(
    '"{host}" is stopped while a body of "{path}" arrives, the rest after '
    '{seconds:g} s'
)
def step_slow_body(
    context: Context, host: str, path: str, seconds: float
) -> None:
    """Send a head and a byte, stop the entry, and send the rest later."""
    fleet = fleet_of(context)
    address = (fleet.ip(host), fleet.port + 7)
    sock = create_connection(address, LIMIT_SECONDS)
    context.add_cleanup(sock.close)
    head = (
        f'POST {path} HTTP/1.1\r\nHost: firm.example\r\n'
        'Kingcuptrestle-Request-Id: slow\r\n'
        f'Content-Length: {len(BODY)}\r\n\r\n'
    )
    sock.sendall(head.encode() + BODY[:1])
    sleep(0.2)
    stop(context, host)
    rest = spawn(send_later, sock, seconds)
    context.answer = read_answer(sock)
    rest.kill()
    wait_gone(context)


def send_later(sock: Any, seconds: float) -> None:
    """Send the rest of the body."""
    sleep(seconds)
    sock.sendall(BODY[1:])


@then('it gets {status:d}, and it has run {runs:d} times')
def step_ran(context: Context, status: int, runs: int) -> None:
    """Check the answer, and what the back ends have run."""
    answer = context.answer
    assert answer.status == status and answer.whole, answer
    ran = [
        received
        for replica in fleet_of(context).replicas
        for received in replica.ran
        if received.named('Request-Id') == 'slow'
    ]
    assert len(ran) == runs, ran
    if status == 503:
        assert decode(answer.body)['code'] == 'draining', answer
        assert float(answer.headers['retry-after']) < 1, answer
    assert context.stopped.wait() == 0


@then('a stream that runs while its entry is stopped comes back whole')
def step_stopped(context: Context) -> None:
    """Stop the entry in the middle of a slow stream."""
    task = spawn(path_call, context, '/grade/slow', **LONG_NEED)
    sleep(0.6)
    context.processes.started['front-1'].terminate()
    answer = task.get()
    assert answer.status == 200 and answer.whole, answer
    assert not fleet_of(context).is_ready('front-1')
