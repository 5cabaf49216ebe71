"""Steps on what passes from engines to the callers of streams."""

from functools import partial
from time import monotonic

from behave import given, then, when
from behave.runner import Context

from testbed.stream_runs import EVENTS, Script, StreamEngines
from trestle_core.errors import TrestleError
from trestle_core.turns import Turn
from trestle_core.verdict import Verdict
from trestle_endpoint.engine_events import token_batches
from trestle_entry.direct.event_stream import EventSplitter

ERROR_HEAD = b'HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n'
REST = b''.join(
    f'id: {number}\ndata: v1\n\n'.encode() for number in range(3, EVENTS + 1)
)
SCRIPTS = {
    'an error': Script(status=500),
    'a refusal': Script(status=503, is_declined=True),
    "an error's text as its stream": Script(body=b'engine failed\n\n'),
    "an error's head within its stream": Script(
        body=b'id: 3\ndata: v1\n\n' + ERROR_HEAD
    ),
    "an error's head within an event": Script(
        body=b'id: 3\ndata: v' + ERROR_HEAD
    ),
    'event 4 after event 2': Script(body=REST.partition(b'\n\n')[2]),
    'event 2 once more': Script(body=b'id: 2\ndata: v1\n\n' + REST),
    'the end of its stream at once': Script(body=b'HTTP'),
}
COMMENT = b': still here\n\n'
BEFORE_FIRST = {
    'reaches its time limit': Script(pause_seconds=5),
    'breaks off': Script(breaks_after=0),
    'sends no event but an error': Script(body=b'engine failed\n\n'),
    'sends comments until its time limit': Script(
        opening=(COMMENT,) * 100, pause_seconds=0.05
    ),
    'sends a comment and breaks off': Script(
        opening=(COMMENT,), breaks_after=0
    ),
    'sends a comment and an error': Script(
        opening=(COMMENT,), body=b'engine failed\n\n'
    ),
    'sends comments without end': Script(opening=(COMMENT * 1000,) * 100),
}
LIMIT_SECONDS = 0.5
# The limit where another failure has to come first.
FAR_SECONDS = 60.0
TIMED_OUT = 504
# Characters of an unexpected answer in a message.
SHOWN = 200
SOUND = {
    'ids from 0': b'id: 0\ndata: a\n\nid: 1\ndata: b\n\n',
    'lines that end with CR and LF': (
        b'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n'
    ),
    'a comment between events': b'id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\n',
    'an event with a version line first': (
        b'id: 1\ndata: a\n\nsome-weight-versions: 2\nid: 2\ndata: b\n\n'
    ),
    'several data lines in an event': b'id: 1\ndata: a\ndata: b\n\n',
    'ids that are no numbers': b'id: x9\ndata: a\n\nid: x4\ndata: b\n\n',
    'a time to reconnect alone': b'retry: 300\n\nid: 1\ndata: a\n\nretry\n\n',
    'a type without data': b'event: ping\n\nid: 1\ndata: a\n\n',
    'a type without data between events': (
        b'id: 1\ndata: a\n\nevent\n\nid: 2\ndata: b\n\n'
    ),
    'a byte order mark': b'\xef\xbb\xbfid: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    'lines that end with CR': b'id: 1\rdata: a\r\rid: 2\rdata: b\r\r',
    'mixed ends of lines': (
        b'id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\nid: 3\rdata: c\r\n\r'
    ),
    'digits and underscores in a name': b'x_2: a\nid: 1\ndata: a\n\n',
    'a field without a value': b'id: 1\ndata\nevent\n\n',
    'an empty line too many': b'id: 1\ndata: a\n\n\n',
    'a comment at its end': b'id: 1\ndata: a\n\n: bye\n',
}
FAULTY = {
    "an error's head within an event": (
        b'id: 1\ndata: aHTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n'
    ),
    "an error's text": b'engine failed\n\n',
    "an error's text like a field": b'error: engine failed\n\n',
    'a word alone': b'failed\n\n',
    'data without an id': b'data: engine failed\n\n',
    'a type and data without an id': b'event: error\ndata: failed\n\n',
    'a text for a time': b'retry: engine failed\n\n',
    'an empty id': b'id:\ndata: a\n\n',
    'a type at its end': b'event: error\n\n',
    'half a comment at its end': b': engine fai',
    'half an event at its end': b'id: 1\ndata: fai',
    'a second byte order mark': b': a\n\n\xef\xbb\xbfid: 1\ndata: a\n\n',
}

TOKENS = (
    b'{"id":"r","index":0,"choices":[{"text":"a"}]}',
    b'{"id":"r","index":1,"choices":[{"text":"b"}]}',
)
TOKEN_STREAMS = {
    'LF': b'data: %b\n\ndata: %b\n\ndata: [DONE]\n\n' % TOKENS,
    'CR LF': b'data: %b\r\n\r\ndata: %b\r\n\r\ndata: [DONE]\r\n\r\n' % TOKENS,
    'CR': b'data: %b\r\rdata: %b\r\rdata: [DONE]\r\r' % TOKENS,
    'ids and types': (
        b'id: 1\ndata: %b\n\nevent: token\ndata: %b\n\n' % TOKENS
    ),
    'comments and times': (
        b': a\n\n: b\ndata: %b\n\nretry: 9\n\ndata:%b\n\n' % TOKENS
    ),
}


@given(
    '{count:d} engines that decode, of which the first breaks off after event '
    '{event:d}'
)
def step_engines(context: Context, count: int, event: int) -> None:
    """Set up engines of one version; only the first takes new streams."""
    engines = StreamEngines({'write-v1': count})
    engines.scripts['write-v1-0'] = Script(breaks_after=event)
    for number in range(1, count):
        engines.context.loads.own.add_running(f'write-v1-{number}', 8 + number)
    context.engines = engines


@when('the next engine answers with {what}')
def step_next(context: Context, what: str) -> None:
    """Serve a stream; the second engine follows a script, the others none."""
    context.engines.scripts['write-v1-1'] = SCRIPTS[what]
    try:
        context.relayed = context.engines.serve()
    except TrestleError as error:
        raise AssertionError(error) from error
    sent_to = [send.instance for send in context.engines.sends]
    assert sent_to[:2] == ['write-v1-0', 'write-v1-1'], sent_to


@then(
    'the caller gets events 1 to {last:d} once each, or a visibly broken answer'
)
def step_events(context: Context, last: int) -> None:
    """Check the ids, up to where the answer broke off."""
    relayed = context.relayed
    assert relayed.status == 200
    assert relayed.ids == list(range(1, len(relayed.ids) + 1)), relayed
    assert relayed.ids == list(range(1, last + 1)) or not relayed.whole, relayed


@then('nothing but events')
def step_only_events(context: Context) -> None:
    """Check every line."""
    for line in context.relayed.body.splitlines():
        assert line in {b'', b'data: v1'} or line.startswith(b'id: '), line


@then('a stream with {what} passes unchanged')
def step_unchanged(_context: Context, what: str) -> None:
    """Cut the bytes in two at every place."""
    for place in range(len(SOUND[what]) + 1):
        passed, fault = feed_all(SOUND[what], place)
        assert passed == SOUND[what], (place, passed)
        assert not fault, (place, fault)


@then('a stream with {what} is taken for broken')
def step_faulty(_context: Context, what: str) -> None:
    """Cut the bytes in two at every place."""
    for place in range(len(FAULTY[what]) + 1):
        _, fault = feed_all(FAULTY[what], place)
        assert fault, place


@then('each event passes with its last byte, however its lines end')
def step_at_once(_context: Context) -> None:
    """Feed events a byte at a time."""
    for end in (b'\n', b'\r\n', b'\r'):
        event = end.join((b'id: 1', b'data: a', b'', b''))
        events = EventSplitter()
        passed = [events.feed(event[at : at + 1]) for at in range(len(event))]
        first = next(at for at, piece in enumerate(passed) if piece)
        # The LF of the last CR LF means nothing any more.
        assert first >= len(event) - len(end), (end, passed)
        assert b''.join(passed) + events.finish() == event, (end, passed)


@then('the mark of an engine that resumes a stream is dropped')
def step_mark_dropped(_context: Context) -> None:
    """Go on behind an event at an engine that begins with a mark."""
    events = EventSplitter()
    events.feed(b'id: 1\ndata: a\n\n')
    events.go_on()
    following = b'id: 2\ndata: b\n\n'
    assert events.feed(b'\xef\xbb\xbf' + following) == following


def feed_all(content: bytes, place: int) -> tuple[bytes, str]:
    """Feed a whole stream in two pieces; return what passed and the fault."""
    events = EventSplitter()
    passed = b''
    for piece in (content[:place], content[place:]):
        passed += events.feed(piece)
        if events.fault:
            return passed, events.fault
    return passed + events.finish(), events.fault


@given('an engine whose stream {fails} before its first event')
def step_before_first(context: Context, fails: str) -> None:
    """Set up one engine, so that no other one can go on."""
    context.engines = StreamEngines({'write-v1': 1})
    context.engines.scripts['write-v1-0'] = BEFORE_FIRST[fails]


@then(
    'the caller of that stream gets {status:d}, which does not deny that it ran'
)
def step_error_answer(context: Context, status: int) -> None:
    """Check that no answer is begun and that the error is true."""
    seconds = LIMIT_SECONDS if status == TIMED_OUT else FAR_SECONDS
    try:
        relayed = context.engines.serve(deadline=monotonic() + seconds)
    except TrestleError as error:
        assert error.code.status == status, error.code
        assert error.verdict is Verdict.MAY_HAVE_RUN, error.verdict
        return
    raise AssertionError(f'an answer was begun: {str(relayed)[:SHOWN]}')


@then(
    'a comment comes with the first event, and later ones without another event'
)
def step_comments(_context: Context) -> None:
    """Feed comments before and behind the first event."""
    events = EventSplitter()
    assert not events.feed(COMMENT)
    first = b'id: 1\ndata: a\n\n'
    assert events.feed(first) == COMMENT + first
    assert events.feed(COMMENT) == COMMENT
    assert events.count == 1, events.count


@then('a stream of comments alone passes unchanged at its end')
def step_only_comments(_context: Context) -> None:
    """End a stream without an event."""
    events = EventSplitter()
    assert not events.feed(COMMENT)
    assert events.finish() == COMMENT
    assert not events.fault, events.fault


@then('an endpoint process reads both tokens of a stream with {what}')
def step_tokens(_context: Context, what: str) -> None:
    """Cut the bytes in two at every place."""
    stream = TOKEN_STREAMS[what]
    for place in range(1, len(stream)):
        pieces = iter((stream[:place], stream[place:], b''))
        batches = token_batches(partial(next, pieces), Turn())
        texts = [token.text for batch in batches for token in batch]
        assert texts == ['a', 'b'], (place, texts)
