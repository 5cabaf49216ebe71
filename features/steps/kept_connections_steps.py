"""Steps on answers that come again, come early, or do not end."""

from collections.abc import Iterator
from contextlib import contextmanager

from behave import then, when
from behave.runner import Context
from gevent import sleep, spawn
from gevent.socket import socketpair

from features.steps.platform_path_steps import call, fleet_of
from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BackendConnection,
    BrokenAnswerError,
)
from trestle_entry.direct.event_stream import EventSplitter

EARLIER = {
    'a length': b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale',
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nstale\r\n0\r\n\r\n'
    ),
    'no body': b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n',
}
OWN = b'HTTP/1.1 201 Made\r\nContent-Length: 3\r\n\r\nown'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'a head': (b'HTTP/1.1 200 OK\r\n', b'X-Pad: ' + b'x' * 1000 + b'\r\n'),
    'a head line': (b'HTTP/1.1 200 OK\r\nX-Pad: ', b'x' * 1000),
    'interim answers': (b'', INTERIM),
    'a body': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 65_536),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: more\r\n'),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 100),
    'chunk extensions': (CHUNKED + b'1', b';extension=more' * 100),
}
ENDLESS_EVENTS = {
    'an event': (b'', b'x' * 65_536),
    'comments between events': (b'id: 0\ndata: a\n\n', b': more\n\n' * 2000),
    'comments before an event': (b'', b': more\n\n' * 2000),
}
MEGABYTE = 1_000_000


@then(
    '{count:d} calls of "{path}" each leave the next calls of "{other}" to run '
    'once'
)
def step_decline_twice(
    context: Context, count: int, path: str, other: str
) -> None:
    """Let back ends refuse, and use their connections again."""
    for _ in range(count):
        assert call(context, path).status == 503
        assert not context.ran
        for _replica in fleet_of(context).replicas:
            answer = call(context, other)
            assert answer.status == 200 and answer.whole, answer
            assert len(context.ran) == 1, context.ran


@then(
    '{count:d} calls of "{path}" in a row each run once and get their own answer'
)
def step_own_answer(context: Context, count: int, path: str) -> None:
    """Check that earlier answers belong to nobody."""
    for _ in range(count):
        answer = call(context, path)
        assert answer.status == 200 and answer.whole, answer
        assert b'nobody' not in answer.body
        own = answer.headers['kingcuptrestle-request-id']
        assert own == context.request_id
        assert len(context.ran) == 1, context.ran


@contextmanager
def connected_to(pieces: list[bytes]) -> Iterator[BackendConnection]:
    """Connect to a back end that sends pieces, one at a time, and closes."""
    back_end, entry = socketpair()

    def send() -> None:
        for piece in pieces:
            back_end.sendall(piece)
            # Let the other side read each piece by itself.
            sleep(0)
        back_end.close()

    spawn(send)
    connection = BackendConnection(entry, 'a:1', 'i-1')
    try:
        yield connection
    finally:
        connection.close()


def read_behind_earlier(pieces: list[bytes]) -> tuple[int, bytes]:
    """Return status and body of the second answer in what was sent."""
    with connected_to(pieces) as connection:
        answer = BackendAnswer('POST')
        connection.read_head(answer)
        own = connection.pass_over(answer)
        connection.read_head(own)
        return own.status, connection.read_body(own)


@then('an earlier answer with {framing} before the own one is passed over')
def step_passed_over(_context: Context, framing: str) -> None:
    """Cut the bytes of both answers in two at every place."""
    both = EARLIER[framing] + OWN
    for place in range(1, len(both)):
        pieces = [both[:place], both[place:]]
        assert read_behind_earlier(pieces) == (201, b'own'), place


@then('an earlier answer that ends with its connection breaks the call')
def step_unframed(_context: Context) -> None:
    """Send an answer without a length, and the connection's end."""
    try:
        read_behind_earlier([b'HTTP/1.1 200 OK\r\n\r\n', b'stale'])
    except BrokenAnswerError:
        return
    raise AssertionError('an answer was made up')


def read_answer(pieces: list[bytes]) -> tuple[int, bytes]:
    """Return status and body of the answer in what was sent."""
    with connected_to(pieces) as connection:
        answer = BackendAnswer('POST')
        connection.read_head(answer)
        return answer.status, connection.read_body(answer)


@then('an interim answer before the own one is passed over, wherever it is cut')
def step_interim(_context: Context) -> None:
    """Cut the bytes of both in two at every place."""
    both = INTERIM + OWN
    for place in range(1, len(both)):
        answer = read_answer([both[:place], both[place:]])
        assert answer == (201, b'own'), (place, answer)


@then('an interim answer and the end of the connection break the call')
def step_interim_only(_context: Context) -> None:
    """Close the connection behind an interim answer."""
    try:
        read_answer([INTERIM])
    except BrokenAnswerError:
        return
    raise AssertionError('an interim answer was taken for the final one')


@when('a back end sends {what} without end')
def step_endless(context: Context, what: str) -> None:
    """Feed bytes until they are refused, or far too many were taken."""
    if what in ENDLESS_EVENTS:
        context.taken = feed_events(*ENDLESS_EVENTS[what])
        return
    begin, more = ENDLESS[what]
    answer = BackendAnswer('POST')
    context.taken = 0
    try:
        answer.feed_bytes(begin)
        while context.taken < 100 * MEGABYTE:
            context.taken += len(more)
            answer.feed_bytes(more)
    except BrokenAnswerError:
        return


def feed_events(begin: bytes, more: bytes) -> int:
    """Return how many bytes of a stream are taken."""
    events = EventSplitter()
    events.feed(begin)
    taken = 0
    while not events.fault and taken < 100 * MEGABYTE:
        taken += len(more)
        events.feed(more)
    return taken


@then('the call is broken off after at most {limit:d} MB')
def step_bounded(context: Context, limit: int) -> None:
    """Check how much was taken."""
    assert context.taken <= limit * MEGABYTE, context.taken
