"""Steps on `kingcuptrestle explain NAME --log FILE`."""

from io import StringIO
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from msgspec.json import encode

from kingcuptrestle.explain_log import explain_from_logs

ENDED_AT = 1000.0
REQUEST = 'c3631c57d131a32f'
READ: list[Any] = [0.5, 'read', 'i-1: 406 ms predicted, 9000 of 17000 tokens']
SEND: list[Any] = [1002.0, 'send', 'i-2']
FIRST: list[Any] = [1070.0, 'first event', '']
BROKEN: list[Any] = [700.0, 'broken', 'i-2: the connection was closed']
# The fields of each outcome that differ from a common line.
LINES: dict[str, dict[str, Any]] = {
    'overloaded': {'outcome': 'overloaded', 'predicted_ms': 2155, 'steps': []},
    'retry-budget': {
        'outcome': 'retry-budget',
        'steps': [[0.1, 'send', 'i-2'], [3.0, 'declined', 'i-2: 421']],
    },
    'deadline in a stream': {
        'outcome': 'deadline-passed',
        'steps': [READ, SEND, FIRST],
        'events': 45,
        'longest_pause_ms': 345,
        'last_event_ago_ms': 203,
    },
    'deadline in a read': {'outcome': 'deadline-passed', 'steps': [READ]},
    'caller gone': {'outcome': 'cancelled', 'ms': 900, 'steps': [READ]},
    'broken': {
        'outcome': 'answer-incomplete',
        'steps': [[1.0, 'send', 'i-2'], BROKEN],
        'events': 2,
    },
    'late read': {
        'outcome': 'served',
        'steps': [READ, [1002.0, 'read done', '1001 ms'], SEND, FIRST],
        'events': 3,
    },
    'late pause': {
        'outcome': 'served',
        'steps': [[1.0, 'send', 'i-2'], [70.0, 'first event', '']],
        'longest_pause_ms': 581,
    },
    'served after a break': {
        'outcome': 'served',
        'steps': [
            [0.1, 'read', 'i-1'],
            [3.0, 'reader lost', 'i-1: refused'],
            [4.0, 'send', 'i-2'],
            [90.0, 'first event', ''],
        ],
    },
    '500': {'outcome': '500', 'steps': [[0.2, 'send', 'i-9']]},
    'unknown-route': {
        'outcome': 'unknown-route',
        'reason': 'no route at /nowhere/',
        'steps': [],
    },
    'something new': {'outcome': 'something-new', 'steps': []},
}


def request_line(outcome: str) -> str:
    """Return the line of a request, behind a collector's prefix."""
    fields = {
        'part': 'request',
        'host': 'front-1',
        'time': ENDED_AT,
        'request': REQUEST,
        'verdict': 'may-have-run',
        'ms': 1437.0,
        'route': 'check',
        'version': 7,
        'target_ms': 800,
        'gap_ms': 400,
        'predicted_ms': 406,
        'load_age_ms': 85,
        **LINES[outcome],
    }
    return f'   12.5 front-1 {encode(fields).decode()}'


def event_line(host: str, text: str, at: float) -> str:
    """Return a line on what a process believes."""
    fields = {
        'part': 'fleet',
        'host': host,
        'time': at,
        'level': 'WARNING',
        'text': text,
        'error': None,
    }
    return encode(fields).decode()


@given('the log of a request that ended as {outcome}')
def step_log(context: Context, outcome: str) -> None:
    context.lines = [
        event_line(
            'front-1', 'i-2 excluded for 0.5 s: closed.', ENDED_AT - 0.4
        ),
        event_line(
            'front-1', 'i-7 excluded for 0.5 s: closed.', ENDED_AT - 0.4
        ),
        event_line('front-2', 'i-2 fails often: closed.', ENDED_AT - 0.4),
        event_line('front-1', 'i-2 is used again.', ENDED_AT + 60),
        request_line(outcome),
    ]


@given('5 lines in it that are cut, foreign or doubled')
def step_foreign(context: Context) -> None:
    whole = request_line('broken')
    context.lines += [
        whole[:60],
        'built in 1.7 s',
        '{"part": 3}',
        '[1, 2]',
        whole + whole[20:],
    ]


def explain(context: Context, request: str) -> None:
    """Run the command on a file of the lines."""
    file = Path(context.processes.folder) / 'run.log'
    file.write_text('\n'.join(context.lines), encoding='utf-8')
    with (
        patch('kingcuptrestle.output.stdout', StringIO()) as out,
        patch('kingcuptrestle.output.stderr', StringIO()) as errors,
    ):
        context.code = explain_from_logs(request, [str(file)])
    context.told = out.getvalue()
    context.errors = errors.getvalue()


@when('"explain" reads the log')
def step_explain(context: Context) -> None:
    explain(context, REQUEST)


@when('"explain" reads the log for another request')
def step_explain_other(context: Context) -> None:
    explain(context, 'feedfeedfeedfeed')


@then('the cause tells of "{text}"')
def step_cause(context: Context, text: str) -> None:
    causes = [
        line for line in context.told.splitlines() if line.startswith('cause:')
    ]
    assert len(causes) == 1, context.told
    assert text in causes[0], causes
    assert context.code == 0


@then('it shows that "{text}"')
def step_shows(context: Context, text: str) -> None:
    assert text in context.told, context.told


@then('it shows nothing of other engines, other hosts or other times')
def step_shows_no_other(context: Context) -> None:
    for text in ('i-7', 'fails often', 'used again'):
        assert text not in context.told, context.told


@then('a note tells of {count:d} lines')
def step_note(context: Context, count: int) -> None:
    assert f'{count} lines are not of these' in context.errors, context.errors


@then('the command refuses with "{code}"')
def step_refuses(context: Context, code: str) -> None:
    assert context.code == 1
    assert f'({code})' in context.errors, context.errors
