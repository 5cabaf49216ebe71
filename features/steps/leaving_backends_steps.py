"""Steps on what back ends say of themselves, without a platform."""

from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from features.steps.direct_run_steps import open_with_handle
from features.steps.platform_calls_steps import serve
from features.steps.rate_limits_steps import make_run
from testbed.said_answers import SaidAnswers, counters, said_answer
from trestle_control.direct_roles import RoleOrder
from trestle_control.load_table import LoadTable
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.request_sends import send_once
from trestle_entry.direct.wire_types import AnswerHead
from trestle_links import leaving_backends, resting_backends
from trestle_links.direct_messages import Backend, Boot
from trestle_links.load_messages import LeaveNotice
from trestle_platform.engine_caches import EngineCache
from trestle_platform.engine_orders import send_order
from trestle_platform.replica_http import read_head

LEAVING = 'Server-Leaving: 1'
START = 1000.0
LEFT = 'backend-1'


@then('the headers "{headers}" of an answer tell that its back end leaves')
def step_tell(_context: Context, headers: str) -> None:
    assert read_head(200, parse_headers(headers)).is_leaving, headers


@then(
    'the headers "{headers}" of an answer do not tell that its back end leaves'
)
def step_do_not_tell(_context: Context, headers: str) -> None:
    assert not read_head(200, parse_headers(headers)).is_leaving, headers


def parse_headers(text: str) -> list[tuple[str, str]]:
    """Return headers that are written in one line."""
    pairs = [header.partition(':') for header in text.split(' + ')]
    return [(name, value) for name, _, value in pairs]


@given('an entry that knows {backends:d} back ends')
def step_entry(context: Context, backends: int) -> None:
    context.said = SaidAnswers(backends)
    context.entry = context.said.context
    context.now = START
    for module in (leaving_backends, resting_backends):
        clock = patch.object(module, 'monotonic', lambda: context.now)
        clock.start()
        context.add_cleanup(clock.stop)


@when('back end 1 answers "{answer}" and says that it leaves')
def step_answers(context: Context, answer: str) -> None:
    content = said_answer(answer, LEAVING)
    if answer.startswith('its earlier'):
        content += said_answer('200 with a seal', 'X-Other: 1')
    context.said.send(1, content)


@then('the entry knows that back end 1 leaves')
def step_knows(context: Context) -> None:
    assert LEFT in context.entry.fleet.leaving
    usable = context.entry.fleet.usable('llm', frozenset())
    assert LEFT not in {backend.instance for backend in usable}


@then('the entry does not know that back end 1 leaves')
def step_does_not_know(context: Context) -> None:
    assert LEFT not in context.entry.fleet.leaving
    usable = context.entry.fleet.usable('llm', frozenset())
    assert LEFT in {backend.instance for backend in usable}


def say(context: Context, status: int, headers: str, number: int = 1) -> None:
    """Let a back end answer another request with some headers."""
    head = read_head(status, parse_headers(headers))
    context.entry.note_said(context.said.backends[number - 1], head)


def say_leaving(context: Context) -> None:
    """Let back end 1 answer another request and say that it leaves."""
    say(context, 200, LEAVING)


@when(
    'a request connects to back end 1, which is heard to be {state} meanwhile'
)
def step_connects(context: Context, state: str) -> None:
    context.group = Mock(entries=[context.entry])
    context.run = make_run(context.group)
    context.state = state

    def hear() -> None:
        if state == 'leaving':
            say_leaving(context)
        else:
            say(context, 503, 'Retry-After: 5')

    sent = send_once(
        context.run,
        LEFT,
        lambda: context.said.send(1, b'', hear),
    )
    assert sent is None


@then(
    'nothing was sent to back end 1 and the request may still go to back end 2'
)
def step_nothing_sent(context: Context) -> None:
    assert context.said.sent_bytes() == b''
    assert counters(context.entry)['sends_withheld', context.state] == 1
    left = context.run.candidates(context.run.unusable())
    assert [backend.instance for backend in left] == ['backend-2'], left


@then('back end 1 is not noted as failed and no resend is counted')
def step_not_failed(context: Context) -> None:
    assert LEFT not in context.entry.fleet.health_by_instance
    assert not context.entry.loads.reports.failures
    run = context.run
    assert (run.sends, run.runs, run.failed_connects) == (0, 0, 0)


@when('one engine that writes leaves while the prompt is read')
def step_writer_leaves(context: Context) -> None:
    run = context.run
    fleet = run.context.fleet
    head = AnswerHead(200, 'r1', True, False, False, False, 0, [])
    context.sent = []

    def serve_stream(*call: Any, **_options: Any) -> OpenAnswer:
        context.sent.append(call[2].instance)
        nothing: Any = None
        return OpenAnswer(nothing, nothing, head, call[2])

    def read_slowly(*call: Any) -> Any:
        context.left = call[1].decode_engine.instance
        left = call[1].decode_engine
        fleet.leaving.note_heard(left.instance, left.boot)
        return context.handle

    with patch(
        'features.steps.direct_run_steps.stream_opens.read_answer',
        lambda *_: CompleteAnswer(head, b''),
    ):
        open_with_handle(context, serve_stream, read_slowly)


@then('the stream went to the other engine that writes')
def step_other_writer(context: Context) -> None:
    assert len(context.sent) == 1, context.sent
    assert context.left not in context.sent
    assert context.sent[0].startswith('write'), context.sent


@when('back end 1 says that it leaves and back end 2 cannot be reached')
def step_last_resort(context: Context) -> None:
    say_leaving(context)
    context.entry.fleet.note_unreachable('backend-2', 'no route to it')


@then('only back end 2 is a candidate')
def step_only_second(context: Context) -> None:
    usable = context.entry.fleet.usable('llm', frozenset())
    assert [backend.instance for backend in usable] == ['backend-2'], usable


@when('back end 1, started at {born:d}, says that it leaves')
def step_started(context: Context, born: int) -> None:
    first, *others = context.said.backends
    context.said.backends = [first._replace(born=born), *others]
    context.entry.fleet.replace_list(context.said.backends)
    say_leaving(context)


@when('{seconds:d} s later it answers without the header')
def step_answers_without(context: Context, seconds: int) -> None:
    context.now += seconds
    head = read_head(200, [])
    context.entry.note_said(context.said.backends[0], head)


@when('the leader tells that back end 1, started at {born:d}, leaves')
def step_told_start(context: Context, born: int) -> None:
    first = context.said.backends[0]
    context.entry.fleet.replace_list(context.said.backends)
    boot = Boot(born, first.address)
    context.entry.note_told_leaving([LeaveNotice(first.instance, boot)])


@when(
    'back end 1, started at {born:d}, says so after the list shows it started '
    'at {listed:d}'
)
def step_late_answer(context: Context, born: int, listed: int) -> None:
    first = context.said.backends[0]
    context.said.backends[0] = first._replace(born=born)
    show_later(context, 1, born=listed)
    say_leaving(context)


def show_later(context: Context, seconds: float, **changes: Any) -> None:
    """Let the list show another entry for back end 1 some time later."""
    context.now += seconds
    first, *others = context.said.backends
    listed = [first._replace(**changes), *others]
    context.entry.fleet.replace_list(listed)


@when('{seconds:d} s later the list shows it as ready after it had left')
def step_ready_again(context: Context, seconds: int) -> None:
    show_later(context, 1, leaving=True)
    show_later(context, seconds, leaving=False)


@when('{seconds:d} s later the list drops it for {dropped:d} s')
def step_dropped(context: Context, seconds: int, dropped: int) -> None:
    context.now += seconds
    context.entry.fleet.replace_list(context.said.backends[1:])
    show_later(context, dropped)


@when('{seconds:d} s later the list shows it started at {born:d}')
def step_shown_born(context: Context, seconds: int, born: int) -> None:
    show_later(context, seconds, born=born)


@when('{seconds:d} s later the list does not show when it started')
def step_unknown_born(context: Context, seconds: int) -> None:
    show_later(context, seconds, born=0)


@when('{seconds:d} s later the list shows it elsewhere with no time of start')
def step_elsewhere(context: Context, seconds: int) -> None:
    show_later(context, seconds, born=0, address='127.0.0.1:99')


@when('{count:d} back ends that are not listed are told to leave')
def step_crowd(context: Context, count: int) -> None:
    context.entry.note_told_leaving(
        [
            LeaveNotice(f'gone-{number}', Boot(0, '127.0.0.1:1'))
            for number in range(count)
        ]
    )


@then(
    'at most {most:d} are remembered, and none {seconds:d} s after the next list'
)
def step_bounded(context: Context, most: int, seconds: int) -> None:
    fleet = context.entry.fleet
    assert len(fleet.leaving.leaves) <= most
    fleet.replace_list(context.said.backends)
    show_later(context, seconds)
    assert not fleet.leaving.leaves


@when('back end 1 tells entry 1 that it leaves')
def step_tells_entry(context: Context) -> None:
    entry = context.group.entries[0]
    with context.group.clock():
        head = read_head(200, parse_headers(LEAVING))
        entry.note_said(entry.fleet.backends[LEFT], head)


@then('all {count:d} entries know that back end 1 leaves')
def step_all_know(context: Context, count: int) -> None:
    context.group.exchange()
    knowing = [LEFT in entry.fleet.leaving for entry in context.group.entries]
    assert knowing == [True] * count, knowing


@when('all engines that write tell it that they leave')
def step_writers_leave(context: Context) -> None:
    roles = context.roles
    for backend in roles.state_machine.state.backends:
        if backend.role == 'decode':
            roles.loads.notices.note_said(backend, True, 0)


@then('it has ordered no engine that leaves')
def step_orders_none(context: Context) -> None:
    ordered = {order.backend.instance for order in context.orders}
    assert not ordered & set(context.roles.loads.notices.leaving.leaves), (
        ordered
    )


@given('an engine that replies to "{call}" that it leaves')
def step_replies(context: Context, call: str) -> None:
    body = b'{"epoch":1,"next":0,"held":[],"seq":0}'
    said = '' if call == 'an order' else f'{LEAVING}\r\n'
    replies = [said, f'{LEAVING}\r\n']
    serve(
        context,
        *(
            f'HTTP/1.1 200 OK\r\n{text}Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
            for text in replies
        ),
    )


@then('the leader knows that it leaves after "{call}"')
def step_leader_knows(context: Context, call: str) -> None:
    replica: Any = Mock(is_leader=True)
    table = LoadTable(replica)
    engine = Backend('e', 'llm', context.address, 'z', False, 'decode', 64)
    if call == 'its list':
        EngineCache(engine, table.notices.note_said).listing()
    else:
        accepted = send_order(
            RoleOrder(engine, 'prefill', 'c', 1),
            lambda: None,
            table.notices.note_said,
        )
        assert accepted == (call == 'an order')
    assert 'e' in table.notices.leaving
    assert [notice.instance for notice in table.notices.news] == ['e']
