"""The cause of a request's outcome in one sentence, from its log line.

The first rule that fits speaks. Each names the figures that decided, so that
the sentence can be checked against the line.
"""

from collections.abc import Callable
from typing import Final

from kingcuptrestle.log_lines import RequestLine
from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    CANCELLED,
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    OVERLOADED,
    RETRY_BUDGET,
    STALE_NODE,
    UNKNOWN_ROUTE,
)

_SERVED: Final = 'served'
_OK: Final = '200'
_LOST: Final = ('broken', 'reader lost', 'unreachable')
_DECLINED: Final = ('declined', 'read declined')


def cause_of(line: RequestLine) -> str:
    """Return one sentence; it says so when the line tells no cause."""
    for rule in _RULES:
        sentence = rule(line)
        if sentence:
            return sentence
    return f'The line tells no cause: {line.reason or line.outcome}.'


def _refused(line: RequestLine) -> str:
    if line.outcome not in {OVERLOADED.code, DEADLINE_UNREACHABLE.code}:
        return ''
    if line.steps:
        return ''
    return (
        f'Refused at once ({line.outcome}): the first token was predicted '
        f'after {_ms(line.predicted_ms)}, the objective is '
        f'{_ms(line.target_ms)}; the oldest load in the prediction was '
        f'{_ms(line.load_age_ms)} old.'
    )


def _limits(line: RequestLine) -> str:
    if line.outcome != RETRY_BUDGET.code:
        return ''
    return (
        'Given up because the retry limits of all entries were reached, '
        f'after: {_trouble(line) or "no send"}.'
    )


def _stopped(line: RequestLine) -> str:
    if line.outcome not in {DEADLINE_PASSED.code, CANCELLED.code}:
        return ''
    ended = 'The caller left'
    if line.outcome == DEADLINE_PASSED.code:
        ended = 'The deadline passed'
    return f'{ended} after {_ms(line.ms)} {_stage(line)}.'


def _broken(line: RequestLine) -> str:
    if line.outcome != ANSWER_INCOMPLETE.code:
        return ''
    return (
        f'The answer broke off and could not go on elsewhere after '
        f'{line.events} events: {_trouble(line) or line.reason}.'
    )


def _late(line: RequestLine) -> str:
    first = line.first('first event')
    if line.outcome != _SERVED or first is None or line.target_ms is None:
        return ''
    if first > line.target_ms:
        return (
            f'Served late: first event after {_ms(first)}, objective '
            f'{_ms(line.target_ms)}; {_where_time_went(line, first)}.'
        )
    if line.gap_ms and line.longest_pause_ms > line.gap_ms:
        return (
            f'Served late: a pause of {_ms(line.longest_pause_ms)} between '
            f'events, {_ms(line.gap_ms)} allowed, at '
            f'{_engine(line.last_detail("send"))}.'
        )
    return ''


def _served(line: RequestLine) -> str:
    if line.outcome not in {_SERVED, _OK}:
        return ''
    trouble = _trouble(line)
    return 'Served' + (f' after trouble: {trouble}.' if trouble else '.')


def _back_end_failed(line: RequestLine) -> str:
    if not line.outcome.isdigit():
        return ''
    sends = line.last_detail('send')
    return (
        f'The back end {_engine(sends) or "(unknown)"} answered '
        f'{line.outcome} itself; the answer was passed on.'
    )


def _no_route(line: RequestLine) -> str:
    if line.outcome not in {UNKNOWN_ROUTE.code, STALE_NODE.code}:
        return ''
    return f'Not sent to any back end: {line.reason}.'


def _stage(line: RequestLine) -> str:
    if line.events:
        return (
            f'in the stream of {_engine(line.last_detail("send"))}: '
            f'{line.events} events, the longest pause '
            f'{_ms(line.longest_pause_ms)}, the last event '
            f'{_ms(line.last_event_ago_ms)} before'
        )
    if line.first('send') is not None:
        return f'without an event of {_engine(line.last_detail("send"))}'
    if line.first('read') is not None:
        return (
            f'while {_engine(line.last_detail("read"))} still read the prompt '
            f'({line.last_detail("read")})'
        )
    return 'before anything was sent'


def _where_time_went(line: RequestLine, first: float) -> str:
    trouble = _trouble(line)
    if trouble:
        return f'time went to {trouble}'
    read_done = line.first('read done')
    predicted = f'{_ms(line.predicted_ms)} was predicted from loads '
    predicted += f'{_ms(line.load_age_ms)} old'
    if read_done is None:
        return f'the engine read the prompt itself; {predicted}'
    return (
        f'reading took {_ms(read_done)}, taking over {_ms(first - read_done)}; '
        f'{predicted}'
    )


def _trouble(line: RequestLine) -> str:
    told = [
        f'{what} {detail} at {at:.0f} ms'
        for at, what, detail in line.steps
        if what in {*_LOST, *_DECLINED, 'failed'}
    ]
    return ', '.join(told)


def _engine(detail: str) -> str:
    return detail.partition(':')[0]


def _ms(amount: float | None) -> str:
    return 'unknown time' if amount is None else f'{amount:.0f} ms'


_RULES: Final[tuple[Callable[[RequestLine], str], ...]] = (
    _refused,
    _limits,
    _stopped,
    _broken,
    _late,
    _served,
    _back_end_failed,
    _no_route,
)
