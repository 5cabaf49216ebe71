"""Steps on customers and their keys."""

from functools import partial
from io import StringIO
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.pool import Group

from features.steps.platform_path_steps import (
    ENTRIES,
    fleet_of,
    publish_until_acknowledged,
)
from testbed.customer_entry import ANA, BO, CustomerEntry, customer_document
from testbed.direct_runs import make_match
from testbed.platform_fleet import PlatformFleet, document
from testbed.processes import poll_until
from trestle_entry.direct import newest_routes, request_log
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_platform.caller_http import read_request
from trestle_platform.manifest import read_table

LIMIT_SECONDS = 10.0
HELD_SECONDS = 0.2


def headers_of(text: str) -> list[tuple[str, str]]:
    """Return the headers that a table names."""
    pairs = [line.partition(':') for line in text.split(' + ')]
    return [(name, value.strip()) for name, _, value in pairs]


@given('an entry with the customers ana and bo')
def step_entry(context: Context) -> None:
    """Make an entry whose routes are confirmed."""
    context.entry = CustomerEntry(ANA, BO)
    context.add_cleanup(context.entry.replica.server.stop)


@given('an entry without customers')
def step_no_customers(context: Context) -> None:
    """Make an entry of a set that names none."""
    context.entry = CustomerEntry()
    context.add_cleanup(context.entry.replica.server.stop)


@given('its routes were confirmed before the next call')
def step_confirmed_before(context: Context) -> None:
    """Let no confirmation cover what follows."""
    context.entry.confirm()
    sleep(0.001)


@when('a caller calls "{path}" with "{headers}"')
def step_call(context: Context, path: str, headers: str) -> None:
    """Call without waiting for the answer."""
    context.written = []
    patched = patch.object(request_log, 'write_line', context.written.append)
    patched.start()
    context.add_cleanup(patched.stop)
    context.called = spawn(context.entry.call, path, headers_of(headers))
    sleep(0.01)


@when('version 2 arrives, in which bo has "{key}" too')
def step_version(context: Context, key: str) -> None:
    """Put a newer table in force."""
    newer = {**BO, 'apiKeys': ['key-3', key]}
    context.entry.context.table = read_table(customer_document(2, ANA, newer))
    context.entry.confirm()


@when('its routes are confirmed')
def step_confirm(context: Context) -> None:
    """Confirm the same version."""
    context.entry.confirm()


@then('it is not answered yet')
def step_held(context: Context) -> None:
    """Check that the call waits."""
    sleep(HELD_SECONDS)
    assert not context.called.ready()


@then('it is answered {status:d} and the key counts as "{flaw}"')
def step_answered(context: Context, status: int, flaw: str) -> None:
    """Check the answer, what ran, and the counter."""
    reply = context.called.get(timeout=LIMIT_SECONDS)
    assert reply.status == status, reply
    ran = context.entry.replica.ran
    assert len(ran) == (status == 200), ran
    if flaw != 'none':
        assert context.entry.counted('denied_keys', flaw) == 1
    names = {name.lower() for name, _ in reply.headers}
    assert ('www-authenticate' in names) == (status == 401)
    assert ('retry-after' in names) == (status == 503)


@then('the back end gets the customer "{customer}" and no key')
@then('the back end gets the customer "" and no key')
def step_forwarded(context: Context, customer: str = '') -> None:
    """Check every send of the request."""
    context.called.get(timeout=LIMIT_SECONDS)
    ran = context.entry.replica.ran
    assert len(ran) == (2 if ran[0].fault == 'reset' else 1), ran
    for received in ran:
        assert received.named('Tenant') == customer, received
        assert 'authorization' not in received.headers, received


@then('the back end gets the header "{name}" as "{text}"')
def step_unchanged(context: Context, name: str, text: str) -> None:
    """Check a header that passes."""
    context.called.get(timeout=LIMIT_SECONDS)
    received = context.entry.replica.ran[0]
    assert received.headers[name] == text, received
    assert not received.named('Tenant')


@then('a request of "{customer}" has the urgency {urgency:d}')
def step_urgency(context: Context, customer: str, urgency: int) -> None:
    """Ask the run of a request."""
    key = {'ana': 'key-1', 'bo': 'key-3'}[customer]
    headers = [
        ('Kingcuptrestle-Request-Id', 'r'),
        ('Authorization', f'Bearer {key}'),
    ]
    request = read_request('GET', '/look/x', headers, b'', None)
    found = context.entry.context.table.customers.find(request.key)
    match = make_match()
    match = match._replace(route=match.route._replace(priority=4))
    run = RequestRun(
        context.entry.context,
        request._replace(customer=found),
        match,
        RequestTrace('r', 0.0),
    )
    assert run.priority == urgency


@when('{count:d} callers call with a made-up key each')
def step_crowd(context: Context, count: int) -> None:
    """Call all at once."""
    # Not the time is tested, but how many wait for it.
    patched = patch.object(newest_routes, '_CONFIRM_SECONDS', LIMIT_SECONDS)
    patched.start()
    context.add_cleanup(patched.stop)
    group = Group()
    for number in range(count):
        headers = [('Authorization', f'Bearer made-up-{number}')]
        group.spawn(context.entry.call, '/look/plain', headers)
    context.group = group


@then('{count:d} of them are refused at once')
def step_refused_at_once(context: Context, count: int) -> None:
    """Check how many have ended, and that all do."""
    entry = context.entry
    poll_until(
        lambda: entry.counted('denied_keys', 'unconfirmed') == count,
        LIMIT_SECONDS / 2,
        'calls that are refused',
    )
    entry.confirm()
    assert context.group.join(timeout=LIMIT_SECONDS)
    assert entry.counted('denied_keys', 'unknown') == entry.number - count


@then('"{key}" shows neither in the answer nor in the log')
def step_no_key(context: Context, key: str) -> None:
    """Look at all that was written."""
    reply = context.called.get(timeout=LIMIT_SECONDS)
    sleep(0.01)
    shown = StringIO()
    customers = context.entry.context.table.customers
    print(reply, context.written, vars(customers), file=shown)
    assert context.written
    assert key not in shown.getvalue(), shown.getvalue()
    assert 'key-1' not in shown.getvalue()


def document_with(version: int, *keys: str) -> dict[str, Any]:
    """Return the usual document with the customer ana."""
    return document(version, tenants=[{'name': 'ana', 'apiKeys': keys}])


@when('document {version:d} is published with the key "{key}" of ana')
def step_publish(context: Context, version: int, key: str) -> None:
    """Publish and wait until entries are ready."""
    sent = document_with(version, key, 'key-0')
    publish_until_acknowledged(context, 'core-1', sent)
    fleet = fleet_of(context)
    for entry in ENTRIES:
        fleet.wait_for(partial(fleet.is_ready, entry), entry)
        fleet.wait_for(partial(knows_back_ends, fleet, entry, key), entry)


def knows_back_ends(fleet: PlatformFleet, entry: str, key: str) -> bool:
    """Tell whether an entry has a back end for a call that is not repeated.

    The path is declined, so that the call counts as none that ran.
    """
    headers = {
        'Kingcuptrestle-Request-Id': 'probe',
        'Authorization': f'Bearer {key}',
    }
    answer = fleet.call_entry_with(entry, '/look/decline', headers)
    return b'no back end' not in answer.body


@when(
    '"{host}" stands still while document {version:d} takes the key "{key}" away'
)
def step_revoke(context: Context, host: str, version: int, key: str) -> None:
    """Publish without the key while an entry is stopped."""
    context.processes.started[host].pause()
    sent = document_with(version, 'key-0')
    publish_until_acknowledged(context, 'core-2', sent)


@when('entry "{host}" is killed and started again')
def step_restart(context: Context, host: str) -> None:
    """Kill an entry and wait until it is ready again."""
    context.processes.started[host].kill()
    fleet_of(context).start(host, bootstrap=False)
    fleet_of(context).wait_for(lambda: fleet_of(context).is_ready(host), host)


@then('a call of "{path}" with the key "{key}" gets {status:d} at "{host}"')
def step_key_call(
    context: Context, path: str, key: str, status: int, host: str
) -> None:
    """Call with a key."""
    headers = {
        'Kingcuptrestle-Request-Id': f'k{status}',
        'Authorization': f'Bearer {key}',
    }
    answer = fleet_of(context).call_entry_with(host, path, headers)
    assert answer.status == status, answer


@given('its only back end has no room')
def step_no_room(context: Context) -> None:
    """Let far more run there than it takes."""
    context.entry.context.loads.own.add_running('i-desk', 1000)


@then('{count:d} refusal of {customer} is told to the leader')
def step_refusals(context: Context, count: int, customer: str) -> None:
    """Check the counter and the report."""
    assert context.entry.counted('customer_refusals', customer) == count
    (told,) = context.entry.context.loads.usage.take_unreported()
    assert (told.customer, told.requests, told.refused) == (customer, 0, count)
