"""Steps on answers that back ends cut, through a whole entry."""

from behave import given, then, when
from behave.runner import Context
from gevent import spawn_later
from gevent.pool import Pool

from testbed.cut_answers import (
    COMMENTED_STREAM,
    ENGINE_LOOKUP,
    EVENTS,
    LONG_STREAM,
    LOOKUP,
    PLAIN_STREAM,
    REQUEST_ID,
    STOPPING,
    STREAM,
    Cut,
    CutEntry,
    body_of,
)
from testbed.kept_channels import Heard, KeptChannel

# Resets need time to arrive: they are played at fewer places than closes.
RESET_STEP = 5
# A silence is played at fewer places, as each takes the time limit.
SILENCE_STEP = 7
CALLERS_AT_ONCE = 16
LIMIT_MS = 1000
FAR_MS = 60_000
FIRST_EVENT = EVENTS[: EVENTS.index(b'\n\n') + 2]
PATHS = {
    'a lookup': LOOKUP,
    'a stream': STREAM,
    'a stream behind comments': COMMENTED_STREAM,
    'a read prompt': LONG_STREAM,
    'a stream without an engine': PLAIN_STREAM,
    'a lookup at an engine': ENGINE_LOOKUP,
}


@given('an entry and a back end that stops')
def step_entry(context: Context) -> None:
    """Start an entry; its back ends start with the calls."""
    context.entry = CutEntry()
    context.add_cleanup(context.entry.stop)
    context.names = [STOPPING]
    context.is_kept = False
    context.version = '1.1'


@given('an entry, a back end that stops and a sound one')
def step_two(context: Context) -> None:
    """The same with a second back end."""
    step_entry(context)
    context.names.append('sound')


@given('each request follows a sound one on its connection')
def step_kept(context: Context) -> None:
    """Let a whole answer come first."""
    context.is_kept = True


@given('callers that speak HTTP/1.0')
def step_old(context: Context) -> None:
    """Let callers know no chunks."""
    context.version = '1.0'


@given('callers that speak HTTP/1.0 and keep connections')
def step_old_kept(context: Context) -> None:
    """Let callers know no chunks and ask for a kept connection."""
    context.version = '1.0'
    context.entry.connection = 'keep-alive'


@when('it stops at each byte of {kind} with {framing}')
def step_stops(context: Context, kind: str, framing: str) -> None:
    """Close and reset at each place; keep what callers got, by the cut."""
    entry = context.entry
    path = PATHS[kind]
    entry.list_backends(path, *context.names)
    context.path = path
    context.whole_bytes = len(entry.whole_answer(path, framing))
    context.answers = {}
    context.received = {}
    for resets, step in ((False, 1), (True, RESET_STEP)):
        for place in range(0, context.whole_bytes + 1, step):
            if context.is_kept:
                entry.cut = Cut(framing, -1)
                assert entry.call(path).whole
            entry.cut = Cut(framing, place, resets)
            context.answers[entry.cut] = entry.call(path, context.version)
            context.received[entry.cut] = list(entry.received)


@then(
    'callers get the whole answer after its last byte, else a failure or a '
    'visible break'
)
def step_judge(context: Context) -> None:
    """Check each answer."""
    for cut, answer in context.answers.items():
        is_success = answer.whole and answer.status == 200
        assert is_success == (cut.place == context.whole_bytes), (cut, answer)
        if is_success:
            assert answer.body == body_of(context.path), (cut, answer)
        assert body_of(context.path).startswith(answer.body) or (
            answer.status != 200
        ), (cut, answer)


@then('each caller gets the whole answer')
def step_all_whole(context: Context) -> None:
    """Check that the sound back end answered for the one that stopped."""
    for cut, answer in context.answers.items():
        assert answer.status == 200, (cut, answer)
        assert answer.whole, (cut, answer)
        assert answer.body == body_of(context.path), (cut, answer)


@then('no caller gets an empty success')
def step_no_empty(context: Context) -> None:
    """Check that a body has at least begun."""
    for cut, answer in context.answers.items():
        is_success = answer.whole and answer.status == 200
        assert answer.body or not is_success, (cut, answer)


@then('a success that looks whole ends with an event')
def step_whole_events(context: Context) -> None:
    """Check that half an event never passes for the end of a stream."""
    for cut, answer in context.answers.items():
        is_success = answer.whole and answer.status == 200
        assert not is_success or answer.body.endswith(b'\n\n'), (cut, answer)


@then('after a reset no caller gets a success that looks whole')
def step_no_reset(context: Context) -> None:
    """Check the cuts by a reset."""
    for cut, answer in context.answers.items():
        is_success = answer.whole and answer.status == 200
        assert not (cut.resets and is_success), (cut, answer)


@then('only a whole handle is decoded from')
def step_whole_handle(context: Context) -> None:
    """Check what the engine that decodes was told of the KV cache."""
    asked = {
        cut: received
        for cut, received in context.received.items()
        if received[0] == (STOPPING, False)
    }
    # Once the entry knows how fast prompts are read here, it may not ask.
    assert len(asked) > len(context.received) / 2, len(asked)
    for cut, received in asked.items():
        is_used = any(decodes for _, decodes in received)
        assert is_used == (cut.place == context.whole_bytes), (cut, received)


@given('a document has lowered the time limit of its routes')
def step_lowered(context: Context) -> None:
    """Let no call take long."""
    context.entry.limit_calls(LIMIT_MS)


@when('it falls silent within {kind} with {framing}')
def step_silent(context: Context, kind: str, framing: str) -> None:
    """Hold the answer at each place; callers keep their channels."""
    entry = context.entry
    path = PATHS[kind]
    context.path = path
    entry.list_backends(path, *context.names)
    whole_bytes = len(entry.whole_answer(path, framing))

    def hear(place: int) -> tuple[int, KeptChannel, Heard]:
        channel = KeptChannel(entry.server.bound())
        context.add_cleanup(channel.close)
        headers = entry.next_headers(path)
        entry.cuts[headers[REQUEST_ID]] = Cut(framing, place, holds=True)
        return place, channel, channel.call(path, headers, 0)

    places = range(0, whole_bytes, SILENCE_STEP)
    context.heard = Pool(CALLERS_AT_ONCE).map(hear, places)


@then(
    'callers without an event get 504 on a channel that stays, others a visible '
    'break'
)
def step_silence_judged(context: Context) -> None:
    """Check what callers got, and that a kept channel serves the next request."""
    entry = context.entry
    entry.limit_calls(FAR_MS)
    entry.cut = Cut('a length', -1)
    for place, channel, heard in context.heard:
        if heard.status == 200:
            assert FIRST_EVENT in heard.body, (place, heard)
            assert not heard.is_whole, (place, heard)
            continue
        assert heard.status == 504 and heard.is_whole, (place, heard)
        following = channel.call(
            context.path, entry.next_headers(context.path), 0
        )
        assert following.status == 200 and following.is_whole, (
            place,
            following,
        )
    seen = {heard.status for _, _, heard in context.heard}
    assert seen == {200, 504}, seen


@then(
    'a stream that has sent comments when the entry ends its planned stop gets '
    '{status:d}'
)
def step_stop_behind_comments(context: Context, status: int) -> None:
    """End what still runs while only comments have come."""
    entry = context.entry
    entry.list_backends(COMMENTED_STREAM, *context.names)
    whole = entry.whole_answer(COMMENTED_STREAM, 'chunks')
    entry.cut = Cut('chunks', whole.index(b'id: 1'), holds=True)
    spawn_later(0.3, entry.context.planned_stop.end_requests)
    answer = entry.call(COMMENTED_STREAM)
    assert answer.status == status, answer
    assert answer.whole, answer
