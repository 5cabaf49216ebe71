"""Model requests: where the prompt is read, who streams, what is refused.

The pipeline of a request: a plan or a refusal, the prompt read at one engine,
the stream opened at another one. A request counts as run from the moment at
which an engine that may stream took it, so a refusal after that is none.
"""

from functools import partial
from time import monotonic
from typing import Final

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
    OVERLOADED,
    SUSPECT_HELD,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.admission import Prospect, refusal_of
from trestle_entry.direct.backend_calls import (
    OpenAnswer,
    WholeAnswer,
    left_ms,
    open_answer,
    read_whole,
)
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.model_run import ModelRun, Move
from trestle_entry.direct.placement import (
    Plan,
    choose_decoder,
    plan_request,
)
from trestle_entry.direct.prompt_reading import (
    Handle,
    free_handle,
    memory_tokens,
    read_prompt,
)
from trestle_entry.direct.prompt_work import PlanNeed
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.request_run import (
    broken_answer,
    check_resend,
    failure_of,
    note_broken,
    send_once,
    within_deadline,
)
from trestle_entry.direct.wire_types import (
    MISDIRECTED,
    OK,
    SERVER_ERROR,
    SendOptions,
)
from trestle_links.direct_messages import PREFILL, Backend

_MOST_READS: Final = 2
_CRASH_RETURN_SECONDS: Final = 2.0


def open_stream(run: ModelRun) -> OpenAnswer | WholeAnswer:
    """Open the stream at an engine, or return its whole failure.

    Raises `TrestleError`.
    """
    if run.is_barred:
        raise RefusedError(
            SUSPECT_HELD, 'it ended several back ends', _CRASH_RETURN_SECONDS
        )
    with within_deadline(run):
        return _open(run, admit=True)


def reopen_stream(run: ModelRun) -> OpenAnswer:
    """Go on at another engine after the last whole event.

    Raises `TrestleError`.
    """
    opened = _open(run, admit=False)
    if isinstance(opened, WholeAnswer):
        raise TrestleError(
            ANSWER_INCOMPLETE, 'the resume failed', Verdict.MAY_HAVE_RUN
        )
    return opened


def _open(run: ModelRun, *, admit: bool) -> OpenAnswer | WholeAnswer:
    while True:
        plan = _plan(run, admit=admit)
        admit = False
        handle = read_prompt(run, plan)
        if plan.reader and handle is None and run.reads < _MOST_READS:
            check_resend(run)
            continue
        if handle:
            # Engines come and go while a prompt is read.
            plan = _with_present_decoder(run, plan, handle)
        opened = _try(run, plan, handle)
        if opened is None and handle:
            # A full engine leaves the memory where it is for another one.
            opened = _try_elsewhere(run, plan, handle)
        if opened is not None:
            return opened


def _try_elsewhere(
    run: ModelRun, plan: Plan, handle: Handle
) -> OpenAnswer | WholeAnswer | None:
    if run.runs:
        free_handle(run.context, handle)
        return None
    elsewhere = _with_present_decoder(run, plan, handle)
    return _try(run, elsewhere, handle, is_last=True)


def _with_present_decoder(run: ModelRun, plan: Plan, handle: Handle) -> Plan:
    decoder = choose_decoder(
        _engines(run), run.context.loads, _asked(run), handle.reader.zone
    )
    if decoder is None:
        free_handle(run.context, handle)
        raise failure_of(run, NO_ENDPOINT, 'no engine to decode is left')
    instance = decoder.backend.instance
    run.move = Move(
        instance,
        decoder.move_ms,
        run.context.loads.wait_ms(instance),
        monotonic(),
    )
    return plan._replace(decoder=decoder.backend)


def _engines(run: ModelRun) -> list[Backend]:
    return run.context.fleet.usable(run.service.name, frozenset(run.avoided))


def _asked(run: ModelRun) -> PlanNeed:
    engine = run.service.engine
    ms_per_token = engine.ms_per_token_moved if engine else 0.0
    return PlanNeed(run.need, run.context.settings.zone, ms_per_token)


def _plan(run: ModelRun, *, admit: bool) -> Plan:
    context = run.context
    engines = _engines(run)
    if run.reads >= _MOST_READS:
        engines = [entry for entry in engines if entry.role != PREFILL]
    # A copy from an engine in trouble may be what failed before.
    plan = plan_request(
        engines, context.loads, _asked(run), may_copy=not run.reads
    )
    if plan is None:
        raise failure_of(run, NO_ENDPOINT, f'no engine of {run.service.name}')
    if admit:
        _admit(run, plan)
    elif run.left_ms <= 0:
        raise failure_of(run, DEADLINE_UNREACHABLE, 'no time is left')
    return plan


def _admit(run: ModelRun, plan: Plan) -> None:
    prospect = Prospect(
        plan.first_token_ms - plan.read_ms,
        plan.first_token_ms,
        run.route.target_ms,
        run.left_ms,
    )
    run.story.fields['predicted_ms'] = round(plan.first_token_ms)
    run.story.fields['parts'] = [list(part) for part in run.need.parts]
    run.story.fields['load_age_ms'] = run.context.loads.view.age_ms
    refusal = refusal_of(prospect, run.context.random.random())
    if refusal:
        code = DEADLINE_UNREACHABLE
        if refusal.reason == 'overload':
            code = OVERLOADED
        text = f'{plan.first_token_ms:.0f} ms to the first token'
        raise RefusedError(code, text, refusal.retry_after)


def _try(
    run: ModelRun,
    plan: Plan,
    handle: Handle | None,
    *,
    is_last: bool = False,
) -> OpenAnswer | WholeAnswer | None:
    """Send once to a decode engine; None means to start again."""
    instance = plan.decoder.instance
    options = SendOptions(
        instance,
        left_ms(run.request.deadline),
        kv_source=handle.source if handle else '',
        priority=run.route.priority,
        resume_from=run.events.last_id,
    )
    try:
        opened = send_once(
            run, instance, partial(_send, run, plan, options, handle)
        )
    except BaseException:
        _give_up(run, handle)
        raise
    if opened is None or _is_declined(run, opened):
        is_lost = is_last or bool(run.runs)
        _give_up(run, handle if is_lost else None)
        return None
    run.runs += 1
    if opened.head.status == OK:
        run.context.loads.note_read(instance, run.need, memory_tokens(run))
        return opened
    return _failed_answer(run, opened)


def _give_up(run: ModelRun, handle: Handle | None) -> None:
    run.count_at('')
    if handle:
        free_handle(run.context, handle)


def _send(
    run: ModelRun, plan: Plan, options: SendOptions, handle: Handle | None
) -> OpenAnswer:
    instance = plan.decoder.instance
    run.story.add('send', instance if handle else f'{instance}: reads itself')
    run.count_at(instance)
    engine_ms = 0.0 if handle else plan.read_ms
    with run.context.loads.reading(instance, engine_ms):
        return open_answer(
            run.context, run.request, plan.decoder, options, once=True
        )


def _is_declined(run: ModelRun, opened: OpenAnswer) -> bool:
    """Tell whether an engine did not run the request, and note it."""
    if not opened.head.refused:
        return False
    instance = opened.backend.instance
    read_whole(run.context, opened)
    run.story.add('declined', f'{instance}: {opened.head.status}')
    run.avoided.add(instance)
    run.context.fleet.note_declined(
        instance, full=opened.head.status != MISDIRECTED
    )
    return True


def _failed_answer(run: ModelRun, opened: OpenAnswer) -> WholeAnswer | None:
    instance = opened.backend.instance
    try:
        whole = read_whole(run.context, opened)
    except BrokenAnswerError as error:
        note_broken(run, instance, error)
        raise broken_answer(error) from error
    finally:
        run.count_at('')
    run.story.add('failed', f'{instance}: {whole.head.status}')
    if whole.head.status >= SERVER_ERROR:
        run.context.fleet.note_failed(instance, str(whole.head.status))
        run.avoided.add(instance)
        if run.may_ask_another:
            return None
    return whole
