"""Steps that prove the fake service, host list and weight store."""

from http import HTTPStatus

from behave import given, then, when
from behave.runner import Context

from features.steps.testbed_steps import LIMIT_SECONDS, read_record
from testbed.calls import http_call
from testbed.fake_service import expected_receipt
from testbed.processes import poll_until
from testbed.serving import JsonObject

BOOKING = {'lot': 7, 'kilograms': 120}


@given('a fake service')
def step_service(context: Context) -> None:
    record = str(context.folder / 'service.jsonl')
    context.service = context.processes.start_fake(
        'service', 'fake_service', '--record', record
    )


def send_booking(context: Context) -> tuple[int, JsonObject]:
    """Send a booking to the service directly."""
    headers = {
        'Idempotency-Key': 'k1',
        'Caller': 'clerk',
        'Request-Id': 'r1',
    }
    return http_call(
        context.service.address,
        'POST',
        '/operations/reserve',
        BOOKING,
        headers,
    )


def set_service_fault(context: Context, mode: str) -> None:
    """Set the service's fault mode."""
    body = {'mode': mode}
    http_call(context.service.address, 'POST', '/fault', body)


@when('the fault "{mode}" is set and a booking is sent')
def step_booking(context: Context, mode: str) -> None:
    set_service_fault(context, mode)
    try:
        context.answer = send_booking(context)
    except OSError:
        context.answer = None


@then('no answer comes and the record holds 1 execution')
def step_execution(context: Context) -> None:
    assert context.answer is None, context.answer
    lines = read_record(context, 'service')
    found = [(one['key'], one['caller'], one['operation']) for one in lines]
    assert found == [('k1', 'clerk', 'reserve')], found


@then('with the fault "none" the booking gets its receipt')
def step_receipt(context: Context) -> None:
    set_service_fault(context, 'none')
    status, answer = send_booking(context)
    assert status == HTTPStatus.OK
    assert answer['receipt'] == expected_receipt('reserve', 'k1', BOOKING)


@given('a fake host list with host "{host}" and a lag of {lag} seconds')
def step_host_list(context: Context, host: str, lag: str) -> None:
    context.hosts = context.processes.start_fake(
        'hosts', 'fake_hosts', '--host', host, '--lag', lag
    )


def shown_state(context: Context) -> str:
    """Return the state of the only host in the list."""
    _, answer = http_call(context.hosts.address, 'GET', '/hosts')
    return str(answer['hosts'][0]['state'])


@when('the host "{host}" is put on "{state}"')
def step_leaving(context: Context, host: str, state: str) -> None:
    path = f'/hosts/{host}'
    http_call(context.hosts.address, 'POST', path, {'state': state})
    context.state = shown_state(context)


@then('the list shows it "{first}" at first and "{later}" later')
def step_shown(context: Context, first: str, later: str) -> None:
    assert context.state == first

    def changed() -> bool:
        return shown_state(context) == later

    poll_until(changed, LIMIT_SECONDS, 'the change in the list')


@given('a fake weight store that answers {rate} reads in {window} seconds')
def step_weights(context: Context, rate: str, window: str) -> None:
    context.weights = context.processes.start_fake(
        'weights', 'fake_weights', '--rate', rate, '--window', window
    )


@when('{count:d} reads are sent at once')
def step_reads(context: Context, count: int) -> None:
    path = '/weights/reader/1'
    context.reads = [
        http_call(context.weights.address, 'GET', path)[0] for _ in range(count)
    ]


@then('the last one is refused with 429')
def step_limited(context: Context) -> None:
    assert context.reads == [200, 200, 429], context.reads
