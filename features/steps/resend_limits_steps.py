"""Steps on the limits of resends: what counts, restarts, and who shares them."""

import gc
from typing import Any
from unittest.mock import Mock, patch
from weakref import ref

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import (
    DEMAND,
    make_context,
    make_match,
    make_request,
    open_at_engines,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import (
    entry_counts,
    model_dispatch,
    prompt_prefill,
    retry_limits,
    stream_opens,
)
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.retry_limits import RetryLimits
from trestle_entry.direct.wire_types import AnswerHead

WINDOW_SECONDS = 10.0
DECLINED = 503
FAILED = 500


class Clock:
    """A steady clock that a test moves."""

    def __init__(self) -> None:
        """Start long after the epoch."""
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def head_of(word: str) -> AnswerHead:
    """Return the head of an answer: done, declined or failed."""
    status = {'done': 200, 'declined': DECLINED, 'failed': FAILED}[word]
    is_declined = word == 'declined'
    return AnswerHead(status, 'r1', True, is_declined, False, False, 0, [])


@given(
    'a model request on {readers:d} engines that read and {writers:d} that '
    'write, with {resends:d} resends left'
)
def step_request(
    context: Context, readers: int, writers: int, resends: int
) -> None:
    """Make the request."""
    roles = {f'read{number}': 'prefill' for number in range(readers)}
    roles |= {f'write{number}': 'decode' for number in range(writers)}
    entry = make_context(roles, resends)
    entry.backend_wire = Mock(
        read_handle=lambda _: 'h1', free_path=lambda key: f'/{key}'
    )
    request = make_request(DEMAND)
    context.run = ModelRun(
        entry,
        request,
        make_match(),
        RequestTrace('r1', request.arrived_at),
    )


@when('its reads are {reads} and its sends are {sends}')
def step_answers(context: Context, reads: str, sends: str) -> None:
    """Open the stream at engines that answer so, in order."""
    context.arrivals = []
    left = {'read': reads.split(', '), 'send': sends.split(', ')}

    def answer(kind: str) -> AnswerHead:
        head = head_of(left[kind].pop(0))
        context.arrivals.append((kind, head.status))
        return head

    def read(*_call: Any) -> CompleteAnswer:
        return CompleteAnswer(answer('read'), b'')

    def send(*call: Any, **_options: Any) -> OpenAnswer:
        nothing: Any = None
        return OpenAnswer(nothing, nothing, answer('send'), call[2])

    with (
        patch.object(prompt_prefill, '_call', read),
        patch.object(model_dispatch, 'open_answer', send),
        patch.object(
            stream_opens,
            'read_answer',
            lambda _, opened: CompleteAnswer(opened.head, b''),
        ),
        patch.object(model_dispatch, 'free_handle', Mock()),
    ):
        try:
            open_at_engines(context.run)
        except TrestleError as error:
            context.error = error
    context.left = left


def count_beyond_first(arrivals: list[tuple[str, int]]) -> int:
    """Return the arrivals that a back end counts beyond the first.

    The first prompt read on its own is free if it was accepted.
    """
    counted = len(arrivals)
    if ('read', 200) in arrivals:
        counted -= 1
    return max(0, counted - 1)


@then('{resends:d} resends were taken, as many as arrivals beyond the first')
def step_resends(context: Context, resends: int) -> None:
    """Compare the limits with what the engines have seen."""
    assert context.left == {'read': [], 'send': []}, context.left
    taken = context.run.context.limits_for('llm').used()
    assert count_beyond_first(context.arrivals) == resends, context.arrivals
    assert taken == resends, (taken, context.arrivals)


@then('it is refused as not run after {arrivals:d} arrival')
def step_refused(context: Context, arrivals: int) -> None:
    """Check the refusal."""
    assert context.error.code.code == 'retry-budget', context.error
    assert context.error.verdict is Verdict.NOT_RUN
    assert len(context.arrivals) == arrivals, context.arrivals


def resend_all(
    context: Context, limits: RetryLimits, requests: int, resends: int
) -> None:
    """Count what the limits of one process allow."""
    for _ in range(requests):
        limits.note_request()
    entries = getattr(context, 'known_entries', len(context.entries))
    context.resent += sum(limits.take(entries) for _ in range(resends))


@when(
    'each gets {requests:d} requests, tries {resends:d} resends and is killed, '
    '{times:d} times within a window'
)
def step_killed(
    context: Context, requests: int, resends: int, times: int
) -> None:
    """Let a new process follow each one that is killed."""
    context.resent = 0
    clock = Clock()
    with patch.object(retry_limits, 'monotonic', clock):
        for _ in range(times):
            for old in context.entries:
                limits = RetryLimits(
                    old.share, old.extra, WINDOW_SECONDS, clock.now
                )
                resend_all(context, limits, requests, resends)
            clock.now += WINDOW_SECONDS / (times + 1)


@when('each has run for a window and tries {resends:d} resends')
def step_has_run(context: Context, resends: int) -> None:
    """Let a window pass since the start."""
    context.resent = 0
    clock = Clock()
    with patch.object(retry_limits, 'monotonic', clock):
        started = [
            RetryLimits(old.share, old.extra, WINDOW_SECONDS, clock.now)
            for old in context.entries
        ]
        clock.now += WINDOW_SECONDS
        for limits in started:
            resend_all(context, limits, 0, resends)


@when(
    'each has run for a window, knows no number of entries and tries '
    '{resends:d} resends'
)
def step_knows_none(context: Context, resends: int) -> None:
    """Let a window pass without a leader."""
    context.known_entries = entry_counts.EntryCounts(WINDOW_SECONDS).most()
    step_has_run(context, resends)


@then('together they resent at most {most:d} times')
def step_at_most(context: Context, most: int) -> None:
    """Check the sum against the limit of the fleet."""
    assert context.resent <= most, context.resent


@then('together they resent at least {least:d} times')
def step_at_least(context: Context, least: int) -> None:
    """Check that the limit is used."""
    assert context.resent >= least, context.resent


@given('an entry that shared the limits with {others:d} others')
def step_shared(context: Context, others: int) -> None:
    """Tell an entry how many there are."""
    context.clock = Clock()
    context.counts = entry_counts.EntryCounts(WINDOW_SECONDS)
    with patch.object(entry_counts, 'monotonic', context.clock):
        context.counts.note(others + 1)


@when('a new leader tells it of {first:d}, {second:d} and {third:d} entries')
def step_new_leader(
    context: Context, first: int, second: int, third: int
) -> None:
    """Let a leader meet the entries one after the other."""
    with patch.object(entry_counts, 'monotonic', context.clock):
        for count in (first, second, third):
            context.clock.now += 0.1
            context.counts.note(count)


def part_of(context: Context, extra: int) -> float:
    """Return the part of a fixed number of resends."""
    with patch.object(entry_counts, 'monotonic', context.clock):
        return extra / float(context.counts.most())


@then('its part of {extra:d} more resends stays at {most:d} or less')
def step_part(context: Context, extra: int, most: int) -> None:
    """Check the part beside the new leader."""
    assert part_of(context, extra) <= most


@then('a window later its part is that of {count:d} entries')
def step_part_later(context: Context, count: int) -> None:
    """Check that entries that are gone are forgotten."""
    context.clock.now += WINDOW_SECONDS
    assert part_of(context, count) == 1


@then('without a collection nothing of it is kept')
def step_freed(context: Context) -> None:
    """Let go of the request, and look whether it refers to itself."""
    kept = ref(context.run)
    gc.collect()
    gc.disable()
    try:
        del context.run
        assert kept() is None, gc.get_referrers(kept())
    finally:
        gc.enable()
