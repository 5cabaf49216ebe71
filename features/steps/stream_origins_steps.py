"""Steps on the records of who began a stream, without a network."""

from collections.abc import Callable
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import make_match, make_request
from testbed.load_streams import EntryStream
from testbed.stream_runs import DEMAND, EVENTS
from trestle_control import load_table
from trestle_control.load_table import LoadTable
from trestle_core.errors import TrestleError
from trestle_core.route_table import Route, Share
from trestle_core.verdict import Verdict
from trestle_entry.direct import own_streams, take_ups
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.request_log import RequestTrace
from trestle_links.connection import CallTimeoutError
from trestle_links.stream_messages import (
    FindStream,
    FoundStream,
    StreamOrigin,
    stream_key,
)
from trestle_links.stream_origins import StreamOrigins

START_SECONDS = 1000.0
WAIT_SECONDS = 4.0
# The age of the list at an entry that was cut off.
OLD_SECONDS = 2.0


def lead(context: Context) -> None:
    """Let a host lead that knows nothing, and open the entries' streams."""
    replica: Any = Mock(is_leader=True, term=1)
    context.leader_table = LoadTable(replica)
    context.streams = [
        EntryStream(context.leader_table, loads) for loads in context.entries
    ]


def find(context: Context, request_id: str, now: float) -> StreamOrigin | None:
    """Ask the leader at a time."""
    channel: Any = None
    with patch.object(load_table, 'monotonic', lambda: now):
        found: FoundStream = context.leader_table.find_stream(
            FindStream(stream_key(request_id)), channel
        )
    return found.origin


def report(context: Context) -> None:
    """Let every entry report."""
    with patch.object(load_table, 'monotonic', lambda: START_SECONDS):
        for stream in context.streams:
            stream.report()


def begin(loads: EngineLoads, request_id: str, software: str) -> None:
    """Note a stream that is about to begin."""
    with patch.object(own_streams, 'monotonic', lambda: START_SECONDS):
        loads.streams.note(
            request_id,
            StreamOrigin('llm', software),
            START_SECONDS + WAIT_SECONDS,
        )


@given('{count:d} entries and their leader')
def step_entries(context: Context, count: int) -> None:
    """Make entries and a leader."""
    context.entries = [
        EngineLoads(f'entry-{number}') for number in range(count)
    ]
    lead(context)


@when('a stream begins through each entry')
def step_begin(context: Context) -> None:
    """Note a stream at each entry and report it."""
    for number, loads in enumerate(context.entries):
        begin(loads, f's{number}', f'v{number}')
    report(context)


@when('another host leads that has just started')
def step_lead(context: Context) -> None:
    """Change the leader."""
    with patch.object(own_streams, 'monotonic', lambda: START_SECONDS):
        lead(context)
    report(context)


@then('the leader knows who began each stream')
def step_knows(context: Context) -> None:
    """Check every record."""
    for number in range(len(context.entries)):
        found = find(context, f's{number}', START_SECONDS + WAIT_SECONDS)
        assert found == StreamOrigin('llm', f'v{number}'), found


@then('{seconds:d} seconds later it knows none')
def step_knows_none(context: Context, seconds: int) -> None:
    """Check that records end."""
    for number in range(len(context.entries)):
        assert find(context, f's{number}', START_SECONDS + seconds) is None


@when('a stream is sent to "{first}" and, before an event, to "{second}"')
def step_sent_twice(context: Context, first: str, second: str) -> None:
    """Note two sends of one request."""
    begin(context.entries[0], 's0', first)
    report(context)
    begin(context.entries[0], 's0', second)
    report(context)


@when(
    'streams of "{first}", of "{second}" and of "{third}" are noted before a '
    'report, the last two under one id'
)
def step_one_report(
    context: Context, first: str, second: str, third: str
) -> None:
    """Note streams and report them together."""
    begin(context.entries[0], 'another', first)
    begin(context.entries[0], 's0', second)
    begin(context.entries[0], 's0', third)
    report(context)


@then('the leader knows that "{software}" began it')
def step_last_counts(context: Context, software: str) -> None:
    """Check the record at the entry and at the leader."""
    origin = StreamOrigin('llm', software)
    assert find(context, 's0', START_SECONDS) == origin
    with patch.object(own_streams, 'monotonic', lambda: START_SECONDS):
        assert context.entries[0].streams.find('s0') == origin


@given('records of at most {limit:d} streams')
def step_records(context: Context, limit: int) -> None:
    """Make an empty table."""
    context.origins = StreamOrigins(limit)


@when('{count:d} streams begin, each a second after the one before')
def step_many(context: Context, count: int) -> None:
    """Note streams that may be taken up for long."""
    context.count = count
    origin = StreamOrigin('llm', 'v1')
    for number in range(count):
        now = START_SECONDS + number
        context.origins.note(number, origin, now + 1000, now)


@then('the newest {limit:d} are known and no other')
def step_newest(context: Context, limit: int) -> None:
    """Check which records are left."""
    now = START_SECONDS + context.count
    known = [
        number
        for number in range(context.count)
        if context.origins.find(number, now)
    ]
    assert known == list(range(context.count - limit, context.count)), known


@then('of streams that have ended nothing is left')
def step_nothing_left(context: Context) -> None:
    """Check the tables long after."""
    later = START_SECONDS + 5000
    context.origins.note(-1, StreamOrigin('llm', 'v2'), later + 1, later)
    assert list(context.origins.group_by_key) == [-1]
    assert len(context.origins.groups) == 1


def take_up(
    context: Context,
    resumed: str,
    ask: Callable[[int], StreamOrigin | None],
    route: Route,
) -> None:
    """Take up a stream after its second event; keep the answer or error."""
    engines = context.engines
    engines.context.ask_origin = ask
    request = make_request(DEMAND)._replace(
        request_id='again', resume_from='2', resumed_request=resumed
    )
    trace = RequestTrace('again', request.arrived_at)
    try:
        origin = take_ups.find_origin(engines.context, request, route, trace)
        context.relayed = engines.serve(
            software=origin.software,
            request_id='again',
            resume_from='2',
            resumed_request=resumed,
        )
    except TrestleError as error:
        context.error = error


@when('a caller takes up a stream and {what}')
def step_take_up(context: Context, what: str) -> None:
    """Take up a stream that cannot go on."""
    known = StreamOrigin('llm', 'v1')
    gone = StreamOrigin('llm', 'v0')
    route = make_match(attempts=4).route
    moved = route._replace(shares=(Share('other', 1), Share('llm', 0)))

    def silent(_key: int) -> StreamOrigin | None:
        raise CallTimeoutError

    cases: dict[
        str, tuple[str, Callable[[int], StreamOrigin | None], Route]
    ] = {
        'nobody knows its origin': ('s', lambda _: None, route),
        'names no attempt that began it': ('', lambda _: known, route),
        'the leader does not answer': ('s', silent, route),
        'its version is no longer listed': ('s', lambda _: gone, route),
        'its route has moved to another service': ('s', lambda _: known, moved),
        'its route may no longer be resumed': (
            's',
            lambda _: known,
            route._replace(resumable=False),
        ),
        'its list is old': ('s', lambda _: known, route),
    }
    if what == 'its list is old':
        context.engines.context.list_age_seconds = lambda: OLD_SECONDS
    take_up(context, *cases[what])


@then('it is refused as not run with "{code}" and nothing is sent')
def step_refused(context: Context, code: str) -> None:
    """Check the refusal."""
    assert context.error.code.code == code, context.error.code
    assert context.error.code.status == 503
    assert context.error.verdict is Verdict.NOT_RUN
    assert not context.engines.sends, context.engines.sends


@when('a caller takes up a stream that "{software}" began elsewhere')
def step_began_elsewhere(context: Context, software: str) -> None:
    """Take up a stream whose origin the leader knows."""
    origin = StreamOrigin('llm', software)
    take_up(context, 's', lambda _: origin, make_match(attempts=4).route)


@then('it went on at "{software}" after the last event of its caller')
def step_went_on(context: Context, software: str) -> None:
    """Check where it went, and that nothing is missing or comes twice."""
    sends = context.engines.sends
    assert [send.software for send in sends] == [software], sends
    assert context.relayed.whole
    assert context.relayed.ids == list(range(3, EVENTS + 1)), context.relayed
