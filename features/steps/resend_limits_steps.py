"""Steps on the limits of resends: what counts, restarts, and who shares them."""

from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import DEMAND, make_context, make_match, make_request
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import model_dispatch, prompt_prefill
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import AnswerHead

DECLINED = 503
FAILED = 500


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
            model_dispatch,
            'read_answer',
            lambda _, opened: CompleteAnswer(opened.head, b''),
        ),
        patch.object(model_dispatch, 'free_handle', Mock()),
    ):
        try:
            model_dispatch.open_stream(context.run)
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
