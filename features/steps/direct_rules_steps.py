"""Steps on decisions of a direct entry and of the leader, without a network."""

from math import inf
from random import Random
from typing import Any

from behave import given, then, when
from behave.runner import Context

from testbed.crash_entries import CrashEntries
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.route_table import (
    DEFAULT_LIMITS,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)
from trestle_entry.direct.admission import Prediction, check_admission
from trestle_entry.direct.event_stream import EventSplitter
from trestle_entry.direct.request_log import RequestLog, RequestTrace
from trestle_entry.direct.retry_limits import RetryLimits

TARGET_MS = 600.0
LEFT_MS = 5000.0
COMMON_MS = 100.0


def prospect(wait_ms: float, own_ms: float = 100) -> Prediction:
    """Return what is predicted of a request."""
    return Prediction(wait_ms, COMMON_MS, wait_ms + own_ms, TARGET_MS, LEFT_MS)


def route(prefix: str, **changes: Any) -> Route:
    """Return a valid route with changes."""
    plain = Route(
        name=f'route {prefix}',
        host='h',
        prefix=prefix,
        repeat=Repeat.SAFE,
        timeout_ms=1000,
        target_ms=100,
        gap_ms=0,
        priority=0,
        max_attempts=2,
        resumable=False,
        shares=(Share('desk', 1),),
    )
    return plain._replace(**changes)


def table(*routes: Route) -> RouteTable:
    """Return a table with one service."""
    services = {'desk': Service('desk', 10, None)}
    return RouteTable(1, list(routes), services, DEFAULT_LIMITS)


@then(
    'a request with {wait:d} ms of work ahead and {own:d} ms of its own is taken'
)
def step_taken(context: Context, wait: int, own: int) -> None:
    """Check that size alone refuses nobody."""
    assert check_admission(prospect(wait, own), 0.5) is None


@then(
    'a request with {wait:d} ms of work ahead and {own:d} ms of its own is '
    'refused'
)
def step_late(context: Context, wait: int, own: int) -> None:
    """Check that a request that would be late makes no others late."""
    refusal = check_admission(prospect(wait, own), 0.5)
    assert refusal and refusal.reason == 'overload', refusal


@then('a request with {wait:d} ms of work ahead is refused as overload')
def step_overload(context: Context, wait: int) -> None:
    """Check a refusal for the work ahead."""
    refusal = check_admission(prospect(wait), 0.5)
    assert refusal and refusal.reason == 'overload', refusal


@then('a request that cannot be read before its deadline is refused')
def step_deadline(context: Context) -> None:
    """Check a refusal for the deadline."""
    refusal = check_admission(prospect(0, LEFT_MS + 1), 0.5)
    assert refusal and refusal.reason == 'deadline', refusal


@when('{callers:d} callers are refused with the same work ahead')
def step_refused(context: Context, callers: int) -> None:
    """Collect the times to come back."""
    random = Random(1)
    refusals = [
        check_admission(prospect(1500), random.random()) for _ in range(callers)
    ]
    context.returns = [refusal.retry_after for refusal in refusals if refusal]


@then('they are told at least {count:d} different times to come back')
def step_spread(context: Context, count: int) -> None:
    """Count different times, in ms."""
    assert len({round(time, 3) for time in context.returns}) >= count


@then('no time to come back is over {seconds:d} seconds')
def step_bounded(context: Context, seconds: int) -> None:
    """Check the longest time."""
    assert 0 < min(context.returns) <= max(context.returns) <= seconds


@given(
    '{entries:d} entries that share {share:f} resends a request and {extra:d} more'
)
def step_limits(
    context: Context, entries: int, share: float, extra: int
) -> None:
    """Make the limits of each entry."""
    context.entries = [
        RetryLimits(share, extra, 10.0, started_at=-inf) for _ in range(entries)
    ]


@when('each gets {requests:d} requests and tries {resends:d} resends')
def step_resend(context: Context, requests: int, resends: int) -> None:
    """Count what the limits allow."""
    context.resent = 0
    for limits in context.entries:
        for _ in range(requests):
            limits.note_request()
        context.resent += sum(
            limits.take(len(context.entries)) for _ in range(resends)
        )


@then('together they resent less than {most:d} times')
def step_resent(context: Context, most: int) -> None:
    """Check the sum of all entries."""
    assert 0 < context.resent < most, context.resent


@given('a table with {count:d} routes and one below another')
def step_table(context: Context, count: int) -> None:
    """Make a large table."""
    many = [route(f'/r{number}/') for number in range(count)]
    context.routes = table(route('/a/'), route('/a/b/'), *many)


@then('"{path}" goes to the route of "{prefix}"')
def step_goes_to(context: Context, path: str, prefix: str) -> None:
    """Check a match."""
    assert context.routes.find('h', path).prefix == prefix


@then('"{path}" has no route')
def step_no_route(context: Context, path: str) -> None:
    """Check a miss, on this host and on another."""
    assert context.routes.find('h', path) is None
    assert context.routes.find('other', '/a/x') is None


@then('a table with {fault} is refused')
def step_invalid(context: Context, fault: str) -> None:
    """Build a table with one fault."""
    routes = {
        'an unknown service': [route('/a/', shares=(Share('x', 1),))],
        'two routes at a place': [route('/a/'), route('/a/')],
        'weights of nothing': [route('/a/', shares=(Share('desk', 0),))],
        'a time limit of 0': [route('/a/', timeout_ms=0)],
        'a prefix without end': [route('/a')],
    }[fault]
    try:
        table(*routes)
    except TrestleError as error:
        assert error.code.code == 'invalid-set', error.code
        return
    raise AssertionError('the table was taken')


@then('a stream of {count:d} events cut at any place gives the same events')
def step_cut(context: Context, count: int) -> None:
    """Cut the stream in two at every byte."""
    events = b''.join(
        f'id: {number}\ndata: token {number}\n\n'.encode()
        for number in range(count)
    )
    for place in range(len(events) + 1):
        cutter = EventSplitter()
        passed = cutter.feed(events[:place])
        assert not passed or passed.endswith(b'\n\n')
        passed += cutter.feed(events[place:])
        assert passed == events, place
        context.last_id = cutter.last_id


@then('the id of the last whole event is known')
def step_last_id(context: Context) -> None:
    """Check the id that a resume would name."""
    assert context.last_id == '19', context.last_id


@when('a request has ended {engines:d} engines on one entry')
def step_ended(context: Context, engines: int) -> None:
    """Crash all but one, tell the other entry thrice, and crash the last."""
    group = CrashEntries(entries=2, engines=engines)
    context.group = group
    for _ in range(engines - 1):
        group.crash('', entry=0, content='again')
    for _ in range(3):
        group.open_streams()
        group.exchange()
    assert not group.is_refused('', entry=1, content='again')
    group.crash('', entry=0, content='again')
    assert group.is_refused('', entry=0, content='again')


@then('another entry that hears of it bars it')
def step_barred(context: Context) -> None:
    """Check the other entry before and after it was told."""
    assert not context.group.is_refused('', entry=1, content='again')
    context.group.exchange()
    assert context.group.is_refused('', entry=1, content='again')


@then('another request is not barred')
def step_not_barred(context: Context) -> None:
    """Check a request that crashed nothing."""
    assert not context.group.is_refused('', entry=1, content='other')


@when('{count:d} request lines are written while nobody reads')
def step_lines(context: Context, count: int) -> None:
    """Queue lines without letting the writer run."""
    context.metrics = Metrics()
    context.log = RequestLog(context.metrics, 'entry-1')
    context.log.started = True
    for number in range(count):
        context.log.write(RequestTrace(str(number), 0), 'served', 'ran')


@then('the lines that did not fit are counted')
def step_dropped(context: Context) -> None:
    """Check the queue's bound and the counter."""
    kept = len(context.log.lines)
    dropped = context.metrics.counters['log_lines_dropped', '']
    assert kept + dropped == 5000 and dropped > 0, (kept, dropped)
