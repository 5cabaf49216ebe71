"""Steps on entries and pages of the platform's list that are odd."""

from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context
from gevent import killall, sleep, spawn
from msgspec.json import encode

from trestle_control import direct_roles
from trestle_control.apply import ControlStateMachine
from trestle_control.backend_list import BackendListing, BackendListReader
from trestle_control.cache_tracker import CacheTracker
from trestle_control.direct_roles import DirectRoleManager
from trestle_control.load_table import LoadTable
from trestle_control.named_services import NamedServices
from trestle_control.replica_api import Lead
from trestle_core import lifecycle
from trestle_core.lifecycle import keep_running
from trestle_core.metrics import Metrics
from trestle_links.codec import decode_message, encode_message
from trestle_links.direct_messages import Backend
from trestle_links.packed_document import pack_document
from trestle_platform.instance_list import read_backends, split_page
from trestle_platform.manifest import read_table
from trestle_platform.platform_calls import CallReply

CALL = 'trestle_platform.instance_list.call_platform'


def entry(**changed: Any) -> bytes:
    """Return a sound entry with some fields changed."""
    fields = {
        'service': 'desk',
        'addr': '127.0.0.1:8080',
        'zone': 'z1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        'id': 'i-odd',
    }
    return encode({**fields, **changed})


def with_raw(name: str, raw: bytes) -> bytes:
    """Return a sound entry with one field as raw JSON."""
    return entry(**{name: 'RAW'}).replace(b'"RAW"', raw)


ODD = {
    'nested arrays': b'[' * 100_000 + b']' * 100_000,
    'nested objects': b'{"a":' * 5000 + b'1' + b'}' * 5000,
    'nesting in a sound entry': with_raw('x', b'[' * 9000 + b']' * 9000),
    'nested deeper than the decoder': b'[' * 1001 + b']' * 1001,
    'nesting that does not end': b'[{"a":' * 50_000,
    'an array': b'[1,2]',
    'a null': b'null',
    'a number': b'17',
    'an empty object': b'{}',
    'a missing address': b'{"id":"i-odd","service":"desk","state":"ready"}',
    'an id that is a number': entry(id=7),
    'half a surrogate pair': with_raw('id', b'"\\ud800"'),
    'half a surrogate in a key': with_raw('x', b'{"\\udc00":1}'),
    'a bad escape': with_raw('zone', b'"\\q"'),
    'bytes that are no UTF-8': with_raw('id', b'"\xff\xfe"'),
    'control bytes in a string': with_raw('zone', b'"a\x00\x1f"'),
    'an escaped line feed in the id': with_raw('id', b'"i\\r\\nX: 1"'),
    'an id of another script': entry(id='ы'),
    'an empty id': entry(id=''),
    'a long id': entry(id='i' * 10_000),
    'control characters in the zone': with_raw('zone', b'"z\\u0007"'),
    'an empty version': entry(version=''),
    'NaN': with_raw('coldLeftMs', b'NaN'),
    'an infinite number': with_raw('slots', b'1e999'),
    'slots of 64 bits': entry(slots=2**63),
    'slots of 300 digits': with_raw('slots', b'9' * 300),
    'slots of 5000 digits': with_raw('slots', b'9' * 5000),
    'slots below zero': entry(slots=-1),
    'a fraction of slots': entry(slots=1.5),
    'port 0': entry(addr='127.0.0.1:0'),
    'port -1': entry(addr='127.0.0.1:-1'),
    'port 70000': entry(addr='127.0.0.1:70000'),
    'port 1_0': entry(addr='127.0.0.1:1_0'),
    'port with a space': entry(addr='127.0.0.1: 80'),
    'a port of other digits': entry(addr='127.0.0.1:٨٠'),
    'an IP of other digits': entry(addr='127.0.0.١:80'),
    'a name for an IP': entry(addr='localhost:80'),
    'an IP of three parts': entry(addr='127.0.1:80'),
    'the IP of any host': entry(addr='0.0.0.0:80'),
    'no port': entry(addr='127.0.0.1'),
    'an unknown state': entry(state='resting'),
    'an unknown stage': entry(stage='middle'),
    'an entry of 5 MB': with_raw('x', b'"' + b'x' * 5_000_000 + b'"'),
    'a million brackets': b'[{' * 500_000,
    'a million starts': b',{' * 1_000_000,
    'a bracket too many': entry() + b'}]}',
    'a bracket too few': entry()[:-1],
    'a quote too few': entry()[:-2] + b'}',
    'no JSON at all': b'\x00\xff %s {0}',
}
# Kinds of which it cannot be told whether they are a sound entry.
MAY_BE_LISTED = frozenset(('an entry of 5 MB', 'a bracket too many'))


def page(entries: list[bytes], token: bytes = b'null') -> CallReply:
    """Return a page of the list."""
    body = b'{"instances":[' + b','.join(entries) + b'],"next":' + token + b'}'
    return CallReply(200, body)


def leader(context: Context, read: Any, known: list[Backend]) -> None:
    """Make a reader of a leader that knows some back ends."""
    state: Any = Mock(backends=known)

    def submit(command: Any, _term: int, _timeout_seconds: float) -> None:
        packed = encode_message(command)
        state.backends = decode_message(packed)[0]

    replica: Any = Mock(is_leader=True, submit_as_leader=submit)
    machine: Any = Mock(state=state)
    context.state = state
    context.reader = BackendListReader(read, machine, replica, Metrics())


def backend(instance: str, service: str) -> Backend:
    """Return a known back end."""
    return Backend(
        instance, service, '127.0.0.1:8080', 'z1', False, '', 8, 'v1'
    )


@given('a list with a sound entry on each side of {odd}')
def step_odd(context: Context, odd: str) -> None:
    """Read the list once, as a leader does."""
    entries = [entry(id='i-1'), ODD[odd], entry(id='i-2')]
    context.may_be_listed = odd in MAY_BE_LISTED
    leader(context, lambda: read_backends('127.0.0.1:1'), [])
    with patch(CALL, Mock(return_value=page(entries))):
        context.reader.refresh()


@then('the sound entries are listed, can be stored, and no other')
def step_sound(context: Context) -> None:
    """Check what the leader stored."""
    listed = {found.instance for found in context.state.backends}
    if context.may_be_listed:
        listed.discard('i-odd')
    assert listed == {'i-1', 'i-2'}, listed


@given('a leader that knows back end "{instance}" of service "{service}"')
def step_known(context: Context, instance: str, service: str) -> None:
    """Make a leader that knows one back end."""
    leader(
        context,
        lambda: read_backends('127.0.0.1:1'),
        [backend(instance, service)],
    )


@when('it lists "{instance}" of services "{services}"')
def step_twice(context: Context, instance: str, services: str) -> None:
    """List several entries with one id."""
    entries = [
        entry(id=instance, service=service) for service in services.split(', ')
    ]
    with patch(CALL, Mock(return_value=page(entries))):
        context.reader.refresh()


@then('it knows "{instance}" of service "{service}"')
def step_one_known(context: Context, instance: str, service: str) -> None:
    """Check what the leader stored."""
    found = [
        (known.instance, known.service) for known in context.state.backends
    ]
    assert found == [(instance, service)], found


def leaving_pages(where: str) -> list[CallReply]:
    """Return pages that show that a back end leaves."""
    ready, leaves = entry(id='i-1'), entry(id='i-1', state='draining')
    if where == 'on a page behind one of odd brackets':
        odd = page([entry(id='i-2'), b'{"x":[}'], b'"p-2"')
        return [odd, page([leaves])]
    if where == 'before an entry that is ready':
        return [page([leaves, ready])]
    return [page([ready, leaves])]


@when('it reads that "i-1" leaves {where}')
def step_reads_leaving(context: Context, where: str) -> None:
    """Read the list twice, as its second reading counts, too."""
    calls = Mock(side_effect=2 * leaving_pages(where))
    with patch(CALL, calls):
        context.reader.refresh()
        context.reader.refresh()


@then('"{instance}" leaves')
def step_leaves(context: Context, instance: str) -> None:
    """Check what the leader stored."""
    leaving = {
        known.instance for known in context.state.backends if known.leaving
    }
    assert leaving == {instance}, context.state.backends


def odd_pages(fault: str) -> Iterator[CallReply]:
    """Return pages with a fault, without an end."""
    first = [entry(id='i-1')]
    tokens = {
        'have a number as token': b'5',
        'have a huge token': b'"' + b'p' * 100_000 + b'"',
        'have an odd token': b'"\\ud800"',
        'fail after the first': b'"p-2"',
        'repeat': b'"p-1"',
    }
    if fault == 'are cut short':
        whole = page([*first, entry(id='i-2')]).body
        yield CallReply(200, whole[:-40])
    number = 0
    while True:
        number += 1
        yield page(first, tokens.get(fault, f'"p-{number}"'.encode()))
        if fault == 'fail after the first':
            yield CallReply(429, b'')


@when('it reads pages that {fault}')
def step_pages(context: Context, fault: str) -> None:
    """Read the list once."""
    context.calls = Mock(side_effect=odd_pages(fault))
    with patch(CALL, context.calls):
        context.reader.refresh()


@then('it knows "{first}" and "{second}" after at most {calls:d} calls')
def step_kept(context: Context, first: str, second: str, calls: int) -> None:
    """Check that nothing vanished."""
    found = {known.instance for known in context.state.backends}
    assert found == {first, second}, found
    assert context.calls.call_count <= calls, context.calls.call_count


@given('a leader whose list raises an unknown error once')
def step_unknown_error(context: Context) -> None:
    """Run the reader itself."""
    listing = BackendListing([backend('i-1', 'desk')])
    leader(context, Mock(side_effect=[MemoryError('odd'), listing]), [])


@then('a reading soon after it lists "{instance}", and the failure is counted')
def step_next_reading(context: Context, instance: str) -> None:
    """Run the reader as a process runs its tasks."""
    failed: list[str] = []
    with patch.object(lifecycle, 'RESTART_SECONDS', 0.01):
        task = spawn(keep_running, context.reader.run, failed.append)
        sleep(0.2)
        task.kill()
    assert [known.instance for known in context.state.backends] == [instance]
    assert failed == ['BackendListReader.run'], failed


@given('a leader whose list has engines of "{first}" and of "{second}"')
def step_engines(context: Context, first: str, second: str) -> None:
    """Make the parts of a leader that call engines."""
    machine = ControlStateMachine()
    machine.state.backends = [
        backend(f'i-{service}-{number}', service)._replace(role='decode')
        for service in (first, second)
        for number in range(4)
    ]
    replica: Any = Mock(is_leader=True, lead=Lead(1, 100))
    loads = LoadTable(replica)
    context.send_order = Mock(return_value=True)
    context.roles = DirectRoleManager(
        context.send_order, 'core-1', 3, machine, replica, loads, Metrics()
    )
    context.caches = CacheTracker(
        Mock(),
        machine,
        replica,
        loads.placements,
        Metrics(),
        loads.notices,
    )
    context.services = NamedServices(machine, read_table)
    context.roles.is_named = context.services.has
    context.caches.is_named = context.services.has
    context.state = machine.state


@when('a manifest names "{service}"')
def step_manifest(context: Context, service: str) -> None:
    """Put a manifest in force."""
    assert not context.services.has(service)
    document = {'version': 1, 'routes': [], 'services': [{'name': service}]}
    context.state.document_version = 1
    context.state.document = pack_document(encode(document))


@then('only engines of "{service}" are ordered and followed')
def step_called(context: Context, service: str) -> None:
    """Poll for longer than a pool must need a change."""
    with patch.object(direct_roles, 'monotonic') as clock:
        for clock.return_value in range(1000, 1060):
            context.roles.poll()
    context.caches.poll()
    followed = set(context.caches.tracked)
    killall(list(context.caches.tracked.values()))
    ordered = {
        call.args[0].backend.service
        for call in context.send_order.call_args_list
    }
    assert ordered == {service}, ordered
    assert followed == {f'i-{service}-{number}' for number in range(4)}


@then('other tasks run while a page with {odd} is read')
def step_others_run(_context: Context, odd: str) -> None:
    """Count the turns of another task."""
    turns: list[int] = []

    def take_turns() -> None:
        while True:
            turns.append(1)
            sleep(0)

    task = spawn(take_turns)
    entries = [entry(id='i-1'), ODD[odd], entry(id='i-2')]
    found = split_page(page(entries).body).entries
    task.kill()
    assert len(found) == 2, found
    assert len(turns) >= 20, len(turns)
