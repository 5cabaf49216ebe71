"""Steps on figures and texts of others that do not fit."""

from collections.abc import Callable
from functools import partial
from json import dumps
from math import inf
from time import monotonic
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from trestle_control.direct_roles import RoleOrder
from trestle_control.load_table import Follower, LoadTable
from trestle_control.placement_log import PlacementLog
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_entry.direct.backend_exchange import NotSentError
from trestle_entry.direct.connection_pool import ConnectionPool
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.event_stream import EventSplitter
from trestle_entry.direct.prompt_queue import PromptQueue
from trestle_entry.direct.wire_types import CallerRequest
from trestle_links.codec import decode_message, encode_frame, encode_message
from trestle_links.connection import Connection
from trestle_links.direct_messages import Backend, Placement
from trestle_links.link import Identity, Link
from trestle_links.link_server import LinkServer
from trestle_links.load_messages import FollowLoads
from trestle_links.stream_messages import FindStream
from trestle_links.watch_messages import StateReply
from trestle_platform import engine_orders
from trestle_platform.caller_http import read_request
from trestle_platform.engine_caches import EngineCache
from trestle_platform.engine_orders import send_order
from trestle_platform.platform_calls import CallReply
from trestle_platform.replica_http import backend_wire

KEY = b'k' * 32
ENGINE = Backend('e', 'llm', '127.0.0.1:1', 'z', False, 'decode', 8)


@given('a peer that answers calls with a figure of 65 bits')
def step_odd_peer(context: Context) -> None:
    """Serve one kind of call."""

    def answer(_request: Any, _channel: Any) -> FindStream:
        return FindStream(2**64)

    me = Identity('peer', KEY, Metrics.empty())
    server = LinkServer('127.0.0.1:0', me, {FindStream: answer})
    server.start()
    context.add_cleanup(server.stop)
    context.link = Link.to_address(str(server.address), me)


@when('it is called')
def step_call(context: Context) -> None:
    """Make the call; keep its error and its time."""
    begun = monotonic()
    try:
        context.link.call(FindStream(1), StateReply, 3)
    except TrestleError as error:
        context.error = error
    context.seconds = monotonic() - begun


@then('the call ends at once with "{code}"')
def step_ends(context: Context, code: str) -> None:
    """Check that nobody was left waiting."""
    assert context.error.code.code == code, context.error
    assert context.seconds < 1, context.seconds


@given('a connection whose reader fails on each frame')
def step_failing_reader(context: Context) -> None:
    """Make a connection with a stand-in of its socket."""

    def fail(_connection: Any, _frame: Any) -> None:
        raise RecursionError('odd')

    context.sock = Mock()
    context.connection = Connection(context.sock, 'peer', fail, print)


@when('a frame arrives on it')
def step_frame(context: Context) -> None:
    """Let the reader receive a frame."""
    context.sock.recv.return_value = encode_frame(1, FindStream(1))
    context.connection.start()


@then('the connection is lost')
def step_lost(context: Context) -> None:
    """Check that its channels end."""
    assert context.connection.lost.wait(1)


@given('an engine that lists parts with odd ids and figures among sound ones')
def step_odd_parts(context: Context) -> None:
    """Make a listing and events."""
    parts = [('ab', 2000), ('f' * 17, 2000), ('f' * 5000, 2000)]
    odd = [('-1', 1), ('1_0', 1), ('ac', -5), ('ad', 2**64), ('ae', 10**200)]
    held = [['', part, tokens, 'm'] for part, tokens in (*odd, *parts)]
    events = [[1, '+', *entry] for entry in held]
    context.replies = [
        (b'{"epoch":1,"next":1,"held":%b}', held),
        (b'{"epoch":1,"next":9,"events":%b}', events),
    ]


@when('the leader takes its listing and its events')
def step_take_cache(context: Context) -> None:
    """Read both and record them as the tracker does."""
    cache = EngineCache(ENGINE, Mock())
    cache.connection = Mock()
    cache.connection.call.side_effect = [
        CallReply(200, frame % dumps(items).encode())
        for frame, items in context.replies
    ]
    context.placements = PlacementLog()
    context.placements.record_listing('e', cache.listing().cached)
    shared = [Placement(part, 2000, 'e') for part in range(300)]
    context.placements.record_report(shared)
    context.placements.record_changes('e', cache.changes(1).changed)


@then('it can push the sound ones to the entries')
def step_push_parts(context: Context) -> None:
    """Pack what a push takes."""
    table = LoadTable(Mock(is_leader=True))
    table.placements = context.placements
    packed = encode_message(table._changed_delta())  # noqa: SLF001
    delta: Any = decode_message(packed)
    (memory,) = delta.memories
    assert len(memory.parts) == 3, memory
    assert memory.parts[0xAB] == 2000, memory


@then('a nested {reply} is unreadable')
def step_nested_reply(_context: Context, reply: str) -> None:
    """Read a reply that is nested too deep."""
    nested = CallReply(200, b'{"x":' + b'[' * 100_000)
    cache = EngineCache(ENGINE, Mock())
    cache.connection = Mock()
    cache.connection.call.return_value = nested
    order = RoleOrder(ENGINE, 'decode', 'core-1', 1)
    readers: dict[str, Callable[[], Any]] = {
        'cache listing': cache.listing,
        'page of events': partial(cache.changes, 1),
        'report': partial(send_order, order, Mock(), Mock()),
        'prefill reply': partial(check_prefill_reply, nested.body),
    }
    with patch.object(engine_orders, 'call_platform', return_value=nested):
        try:
            readers[reply]()
        except ValueError:
            return
    raise AssertionError('it was read')


def check_prefill_reply(body: bytes) -> None:
    """Raise `ValueError` if a reply names no KV cache."""
    if not backend_wire().read_handle(body):
        raise ValueError('no handle')


@then('a prefill reply with the handle {handle} names no KV cache')
def step_no_handle(_context: Context, handle: str) -> None:
    """Read the reply."""
    body = b'{"kvHandle":%b}' % handle.encode()
    assert not backend_wire().read_handle(body)


@then('an answer with "{name}" of "{text}" is read')
def step_odd_header(_context: Context, name: str, text: str) -> None:
    """Read the head of an answer."""
    head = backend_wire().read_head(200, [(name, text)])
    assert head.idle_seconds == 0, head
    assert head.rate_limit == inf, head


@then('events with ids of 5000 digits are passed on')
def step_long_ids(_context: Context) -> None:
    """Split a stream of two such events."""
    events = b''.join(b'id: %b\n\n' % (b'1' * size) for size in (5000, 5001))
    splitter = EventSplitter()
    assert splitter.feed(events) == events, splitter.fault


def request_of(tokens: str, parts: str, wait_ms: str = '') -> CallerRequest:
    """Return a request as its entry reads it."""
    headers = [
        ('Kingcuptrestle-Request-Id', 'r1'),
        ('Kingcuptrestle-Token-Counts', tokens),
        ('Kingcuptrestle-Prefix-Hash', parts),
        ('Kingcuptrestle-Deadline-Ms', wait_ms),
    ]
    return read_request('GET', '/', headers, b'', None)


@given('a caller\'s request of "{tokens}" tokens with parts "{parts}"')
def step_odd_request(context: Context, tokens: str, parts: str) -> None:
    """Read its demand."""
    context.demand = request_of(tokens, parts).demand


@when('an entry has {requests:d} of them at an engine')
def step_odd_loads(context: Context, requests: int) -> None:
    """Make its report of all of them."""
    loads = EngineLoads('entry-1')
    demand = context.demand
    for _ in range(requests):
        kv_tokens = demand.prompt_tokens + demand.max_tokens
        loads.own.add_running('e', 1, kv_tokens)
        loads.own.queues.setdefault('e', PromptQueue()).add(kv_tokens)
        loads.note_cached('e', demand, 100_000)
    context.packed = encode_message(loads.take_change(1))


@then('the leader takes its report and can push it')
def step_push_odd(context: Context) -> None:
    """Record the report and pack the push."""
    table = LoadTable(Mock(is_leader=True))
    change: Any = decode_message(context.packed)
    table.record(Follower(FollowLoads('entry-1', []), Mock()), change)
    encode_message(table._changed_delta())  # noqa: SLF001


@then('a request with parts "{parts}" is a bad request')
def step_bad_parts(_context: Context, parts: str) -> None:
    """Check the error."""
    try:
        request_of('1,1', parts)
    except TrestleError as error:
        assert error.code.code == 'bad-request', error.code
        return
    raise AssertionError('it was read')


@then('a request with {wait_ms} ms to wait waits a day')
def step_waits_a_day(_context: Context, wait_ms: str) -> None:
    """Check the deadline."""
    request = request_of('1,1', '', wait_ms)
    assert request.waits_until - request.arrived_at == 86_400, request


@then('a connection to "{address}" is not made, and nothing was sent')
def step_no_connection(_context: Context, address: str) -> None:
    """Ask the pool of connections for one."""
    pool = ConnectionPool(Metrics())
    try:
        pool.acquire(address, 'i', 1, at_most_once=True)
    except NotSentError:
        return
    raise AssertionError('there is a connection')
