"""Steps on the state of one request: what is freed, what may be said."""

from collections.abc import Callable
from time import monotonic
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import make_run, open_at_engines
from trestle_core.errorcodes import DEADLINE_UNREACHABLE
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import (
    fleet_view,
    model_dispatch,
    plain_dispatch,
    prompt_prefill,
    stream_opens,
)
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.backend_exchange import NotSentError
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.placement import Plan
from trestle_entry.direct.prefill_work import PrefillWork
from trestle_entry.direct.prompt_prefill import KvHandle
from trestle_entry.direct.replies import error_answer
from trestle_entry.direct.request_run import make_failure
from trestle_entry.direct.stream_relay import serve_stream
from trestle_entry.direct.wire_types import (
    AnswerHead,
    SendOptions,
)
from trestle_links.direct_messages import PREFILL
from trestle_platform.caller_http import caller_wire
from trestle_platform.replica_http import send_headers

SEALED = [('Kingcuptrestle-Server-Seal', 'own')]


@given('a model request whose prompt was read, and no resend is allowed')
def step_read(context: Context) -> None:
    """Make the request and the memory of its prompt."""
    context.run = make_run()
    reader = context.run.context.fleet.backends['read']
    context.handle = KvHandle(reader, 'h1')


@when('the engine that should take the memory cannot be reached')
def step_unreachable(context: Context) -> None:
    """Open the stream while no connection can be made."""

    def unreachable(*_call: Any, **_options: Any) -> OpenAnswer:
        raise NotSentError('no route to it')

    open_with_handle(context, unreachable)


@when('the engine that should take the memory declines')
def step_declines(context: Context) -> None:
    """Open the stream while every engine says that it did not run it."""
    head = AnswerHead(503, 'r1', False, True, False, False, 0, [])

    def declined(*call: Any, **_options: Any) -> OpenAnswer:
        nothing: Any = None
        return OpenAnswer(nothing, nothing, head, call[2])

    with patch.object(
        stream_opens,
        'read_answer',
        lambda *_: CompleteAnswer(head, b''),
    ):
        open_with_handle(context, declined)


def open_with_handle(
    context: Context,
    opens: Callable[..., OpenAnswer],
    reads: Callable[..., KvHandle | None] | None = None,
) -> None:
    """Open the stream of a request whose prompt was read; keep the error.

    `reads` stands for the prefill.
    """
    context.freed = []
    reads = reads or (lambda *_: context.handle)

    def free(_context: DirectContext, handle: KvHandle) -> None:
        context.freed.append(handle)

    with (
        patch.object(model_dispatch, 'prefill_prompt', reads),
        patch.object(model_dispatch, 'open_answer', opens),
        patch.object(model_dispatch, 'free_handle', free),
    ):
        try:
            open_at_engines(context.run)
        except TrestleError as error:
            context.error = error


def check_freed(context: Context, code: str) -> None:
    """Check the refusal and that the memory was freed once."""
    assert context.error.code.code == code, context.error.code
    assert context.error.verdict is Verdict.NOT_RUN
    assert context.freed == [context.handle], context.freed


@then('the request is refused as not run and the memory is freed')
def step_freed(context: Context) -> None:
    """Check a refusal after engines that no byte has reached."""
    check_freed(context, 'no-endpoint')


@then(
    'the request is refused as not run, with no resend left, and the memory '
    'is freed'
)
def step_no_resend(context: Context) -> None:
    """Check a refusal after an engine that has answered."""
    check_freed(context, 'retry-budget')


@then('a request that ran once and has no time left fails in doubt')
def step_in_doubt(context: Context) -> None:
    """Check a failure after a run."""
    run = make_run()
    run.runs = 1
    error = make_failure(run, DEADLINE_UNREACHABLE, 'no time is left')
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert error.code.status not in {408, 421, 429, 503}, error.code


@then('a request that never ran and has no time left is refused')
def step_not_run(context: Context) -> None:
    """Check a failure without a run."""
    error = make_failure(make_run(), DEADLINE_UNREACHABLE, 'no time is left')
    assert error.verdict is Verdict.NOT_RUN


@then("a read that copies names the holder's address")
def step_names_holder(_context: Context) -> None:
    """Check the headers of a read."""
    options = SendOptions('i-1', 900, is_prefill=True, fetch_from='10.0.0.9:1')
    assert ('Kv-Fetch', '10.0.0.9:1') in send_headers(
        make_run().request, options
    )


@then('a read that copies nothing names none')
def step_names_none(_context: Context) -> None:
    """Check that no header is left empty."""
    options = SendOptions('i-1', 900, is_prefill=True)
    names = [name for name, _ in send_headers(make_run().request, options)]
    assert 'Kv-Fetch' not in names, names


@given('a {kind} request that may run twice, and {resends:d} resends are left')
def step_may_run_twice(context: Context, kind: str, resends: int) -> None:
    """Make the request."""
    context.kind = kind
    context.run = make_run(resends, attempts=2)


@given('a {kind} request that may run only once')
def step_kind_once(context: Context, kind: str) -> None:
    """Make the request."""
    context.kind = kind
    context.run = make_run()


@when('every back end answers {status:d}')
def step_all_fail(context: Context, status: int) -> None:
    """Serve the request by back ends that fail."""
    context.sent = []
    head = AnswerHead(status, 'r1', True, False, False, False, 0, SEALED)
    run = context.run
    matched = RouteMatch(run.route, run.service)

    def open_failed(*call: Any, **_options: Any) -> OpenAnswer:
        context.sent.append(call[2].instance)
        nothing: Any = None
        return OpenAnswer(nothing, nothing, head, call[2])

    def read_failed(*_call: Any) -> CompleteAnswer:
        return CompleteAnswer(head, b'failed')

    handle = KvHandle(run.context.fleet.backends['read'], 'h1')
    is_model = context.kind == 'model'
    module: Any = model_dispatch if is_model else plain_dispatch
    serve: Any = serve_stream if is_model else plain_dispatch.serve_plain
    reader: Any = stream_opens if is_model else plain_dispatch
    with (
        patch.object(model_dispatch, 'prefill_prompt', lambda *_: handle),
        patch.object(module, 'open_answer', open_failed),
        patch.object(reader, 'read_answer', read_failed),
    ):
        try:
            context.reply = serve(run.context, run.request, matched, run.trace)
        except TrestleError as error:
            context.reply = error_answer(caller_wire(), 'r1', error)


@then('the caller gets {status:d}, and the seal only with the own status')
def step_sealed(context: Context, status: int) -> None:
    """Check the answer of a request that was sent once."""
    assert context.reply.status == status, context.reply
    is_sealed = SEALED[0] in context.reply.headers
    assert is_sealed == (context.reply.body == [b'failed']), context.reply
    assert len(context.sent) == 1, context.sent


@then('the caller gets {status:d} after {sends:d} sends')
def step_status(context: Context, status: int, sends: int) -> None:
    """Check the answer and that no back end got it twice."""
    assert context.reply.status == status, context.reply
    assert len(context.sent) == len(set(context.sent)) == sends, context.sent


@then('{taken:d} resends were taken from the limits')
def step_taken_resends(context: Context, taken: int) -> None:
    """Check that a resend counts once."""
    limits = context.run.context.limits_for('llm')
    assert len(limits.resends) == taken, limits.resends


@given('a fleet with another engine that reads')
def step_two_readers(context: Context) -> None:
    """Make a request with two readers to choose from."""
    context.run = make_run(resends=9)
    fleet = context.run.context.fleet
    other = fleet.backends['read']._replace(instance='other')
    fleet.replace_list([*fleet.backends.values(), other])


def read_twice(context: Context, head: AnswerHead) -> None:
    """Let the first engine answer two reads with a head of its own."""
    run = context.run
    reader = run.context.fleet.backends['read']
    decoder = run.context.fleet.backends['write1']
    work = PrefillWork(17_000, 0, None, 0.0, 358.0)
    planned = Plan(reader, decoder, 0.0, 358.0, 400.0, work)
    whole = CompleteAnswer(head, b'')
    with patch.object(prompt_prefill, '_call', lambda *_: whole):
        for _ in range(2):
            assert prompt_prefill.prefill_prompt(run, planned) is None


@when('an engine answers 2 reads with 500')
def step_fails_reads(context: Context) -> None:
    """Answer with a failure."""
    read_twice(context, AnswerHead(500, '', True, False, False, False, 0, []))


@when('an engine declines 2 reads as full')
def step_declines_reads(context: Context) -> None:
    """Answer that nothing was run."""
    read_twice(context, AnswerHead(503, '', True, True, False, False, 0, []))


def readers_later(context: Context) -> set[str]:
    """Return the readers that are usable half a second later."""
    later = monotonic() + 0.5
    with patch.object(fleet_view, 'monotonic', lambda: later):
        usable = context.run.context.fleet.usable('llm', frozenset())
    return {entry.instance for entry in usable if entry.role == PREFILL}


@then('half a second later only the other one is asked to read')
def step_only_other(context: Context) -> None:
    """Check who may read."""
    assert readers_later(context) == {'other'}


@then('half a second later both may be asked to read')
def step_both(context: Context) -> None:
    """Check who may read."""
    assert readers_later(context) == {'read', 'other'}
