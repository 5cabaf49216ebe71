"""Derives the cause of a request's outcome from its log line.

The first rule that applies gives the cause, in one sentence. The sentence
includes the deciding figures, so that it can be checked against the line.
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
    STREAM_UNKNOWN,
    UNKNOWN_ROUTE,
)

_SERVED: Final = 'served'
_OK: Final = '200'
_NOT_SENT_OUTCOMES: Final = frozenset(
    (UNKNOWN_ROUTE.code, STALE_NODE.code, STREAM_UNKNOWN.code)
)
_LOST_STEPS: Final = ('broken', 'reader lost', 'unreachable')
_DECLINED_STEPS: Final = ('declined', 'read declined')


def cause_of(line: RequestLine) -> str:
    """Return the cause in one sentence, or a sentence that none was found."""
    for rule in _RULES:
        sentence = rule(line)
        if sentence:
            return sentence
    return f'The line tells no cause: {line.reason or line.outcome}.'


def _refusal_cause(line: RequestLine) -> str:
    if line.outcome not in {OVERLOADED.code, DEADLINE_UNREACHABLE.code}:
        return ''
    if line.steps:
        return ''
    return (
        f'Refused at once ({line.outcome}): the first token was predicted '
        f'after {_format_ms(line.predicted_ms)}, the objective is '
        f'{_format_ms(line.target_ms)}; the oldest load in the prediction was '
        f'{_format_ms(line.load_age_ms)} old.'
    )


def _retry_limit_cause(line: RequestLine) -> str:
    if line.outcome != RETRY_BUDGET.code:
        return ''
    return (
        'Given up because the retry limits of all entries were reached, '
        f'after: {_describe_failures(line) or "no send"}.'
    )


def _early_end_cause(line: RequestLine) -> str:
    if line.outcome not in {DEADLINE_PASSED.code, CANCELLED.code}:
        return ''
    ending = 'The caller left'
    if line.outcome == DEADLINE_PASSED.code:
        ending = 'The deadline passed'
    return f'{ending} after {_format_ms(line.ms)} {_describe_progress(line)}.'


def _incomplete_answer_cause(line: RequestLine) -> str:
    if line.outcome != ANSWER_INCOMPLETE.code:
        return ''
    return (
        f'The answer broke off and could not go on elsewhere after '
        f'{line.events} events: {_describe_failures(line) or line.reason}.'
    )


def _late_cause(line: RequestLine) -> str:
    first_event_ms = line.first_step_ms('first event')
    if (
        line.outcome != _SERVED
        or first_event_ms is None
        or line.target_ms is None
    ):
        return ''
    if first_event_ms > line.target_ms:
        return (
            f'Served late: first event after {_format_ms(first_event_ms)}, '
            f'objective {_format_ms(line.target_ms)}; '
            f'{_describe_delay(line, first_event_ms)}.'
        )
    if line.gap_ms and line.longest_pause_ms > line.gap_ms:
        return (
            f'Served late: a pause of {_format_ms(line.longest_pause_ms)} '
            f'between events, {_format_ms(line.gap_ms)} allowed, at '
            f'{_engine_name(line.last_detail("send"))}.'
        )
    return ''


def _served_cause(line: RequestLine) -> str:
    if line.outcome not in {_SERVED, _OK}:
        return ''
    failures = _describe_failures(line)
    return 'Served' + (f' after trouble: {failures}.' if failures else '.')


def _back_end_error_cause(line: RequestLine) -> str:
    if not line.outcome.isdigit():
        return ''
    send_detail = line.last_detail('send')
    return (
        f'The back end {_engine_name(send_detail) or "(unknown)"} answered '
        f'{line.outcome} itself; the answer was passed on.'
    )


def _not_sent_cause(line: RequestLine) -> str:
    if line.outcome not in _NOT_SENT_OUTCOMES:
        return ''
    return f'Not sent to any back end: {line.reason}.'


def _describe_progress(line: RequestLine) -> str:
    if line.events:
        return (
            f'in the stream of {_engine_name(line.last_detail("send"))}: '
            f'{line.events} events, the longest pause '
            f'{_format_ms(line.longest_pause_ms)}, the last event '
            f'{_format_ms(line.last_event_ago_ms)} before'
        )
    if line.first_step_ms('send') is not None:
        return f'without an event of {_engine_name(line.last_detail("send"))}'
    if line.first_step_ms('read') is not None:
        return (
            f'while {_engine_name(line.last_detail("read"))} still read '
            f'the prompt ({line.last_detail("read")})'
        )
    return 'before anything was sent'


def _describe_delay(line: RequestLine, first_event_ms: float) -> str:
    failures = _describe_failures(line)
    if failures:
        return f'time went to {failures}'
    read_done_ms = line.first_step_ms('read done')
    predicted = f'{_format_ms(line.predicted_ms)} was predicted from loads '
    predicted += f'{_format_ms(line.load_age_ms)} old'
    if read_done_ms is None:
        return f'the engine read the prompt itself; {predicted}'
    return (
        f'reading took {_format_ms(read_done_ms)}, '
        f'taking over {_format_ms(first_event_ms - read_done_ms)}; '
        f'{predicted}'
    )


def _describe_failures(line: RequestLine) -> str:
    descriptions = [
        f'{step} {detail} at {at_ms:.0f} ms'
        for at_ms, step, detail in line.steps
        if step in {*_LOST_STEPS, *_DECLINED_STEPS, 'failed'}
    ]
    return ', '.join(descriptions)


def _engine_name(detail: str) -> str:
    return detail.partition(':')[0]


def _format_ms(amount: float | None) -> str:
    return 'unknown time' if amount is None else f'{amount:.0f} ms'


_RULES: Final[tuple[Callable[[RequestLine], str], ...]] = (
    _refusal_cause,
    _retry_limit_cause,
    _early_end_cause,
    _incomplete_answer_cause,
    _late_cause,
    _served_cause,
    _back_end_error_cause,
    _not_sent_cause,
)
