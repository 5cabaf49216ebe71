"""Dispatches model requests: admission, prefill, and opening the stream.

A request is planned or refused, its prompt is prefilled at one engine, and its
stream is opened at another one. Once an engine that may stream has accepted
the request, it counts as run and is no longer refused as not run.
"""

from contextlib import AbstractContextManager, nullcontext
from functools import partial
from time import monotonic

from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    OpenAnswer,
    open_answer,
    remaining_ms,
)
from trestle_entry.direct.engine_loads import DECODE_PREFILL_SLOWDOWN
from trestle_entry.direct.model_run import KvTransfer, ModelRun
from trestle_entry.direct.placement import Plan, choose_decode_engine
from trestle_entry.direct.prompt_prefill import (
    KvHandle,
    free_handle,
    kv_cache_tokens,
    prefill_prompt,
)
from trestle_entry.direct.request_sends import (
    check_not_blocked,
    send_once,
)
from trestle_entry.direct.run_planning import (
    MAX_PREFILLS,
    placement_request,
    plan_run,
)
from trestle_entry.direct.stream_opens import (
    handle_failed_answer,
    is_declined,
)
from trestle_entry.direct.wire_types import OK, SendOptions


def open_at_engine(run: ModelRun) -> OpenAnswer | CompleteAnswer:
    """Plan, prefill and send until an engine answers.

    The first plan is admitted or refused. Raises `TrestleError`.
    """
    while True:
        check_not_blocked(run)
        plan = plan_run(run, admit=not run.is_admitted)
        run.is_admitted = True
        handle = prefill_prompt(run, plan)
        if _must_prefill_again(run, plan, handle):
            continue
        if handle:
            opened = _decode_from(run, plan, handle)
        else:
            opened = _try_decode(run, plan, None)
        if opened is not None:
            return opened


def _must_prefill_again(
    run: ModelRun, plan: Plan, handle: KvHandle | None
) -> bool:
    is_failed = plan.prefill_engine is not None and handle is None
    return is_failed and run.prefills < MAX_PREFILLS


def _decode_from(
    run: ModelRun, plan: Plan, handle: KvHandle
) -> OpenAnswer | CompleteAnswer | None:
    """Send to the decode engine that is best now, or to a second one."""
    # The list of engines may have changed during the prefill.
    current_plan = _with_current_decode_engine(run, plan, handle)
    if current_plan is None:
        return None
    opened = _try_decode(run, current_plan, handle)
    if opened is None:
        # A full engine leaves the KV cache at its source for another one.
        return _try_other_decode_engine(run, current_plan, handle)
    return opened


def _try_other_decode_engine(
    run: ModelRun, plan: Plan, handle: KvHandle
) -> OpenAnswer | CompleteAnswer | None:
    if run.runs:
        free_handle(run.context, handle)
        return None
    new_plan = _with_current_decode_engine(run, plan, handle)
    if new_plan is None:
        return None
    return _try_decode(run, new_plan, handle, is_last=True)


def _with_current_decode_engine(
    run: ModelRun, plan: Plan, handle: KvHandle
) -> Plan | None:
    """Return the plan with the decode engine that is best now.

    Without one that can use the KV cache, frees it and returns None.
    """
    decode_engine = choose_decode_engine(
        run.usable(),
        run.context.loads,
        placement_request(run),
        handle.engine,
    )
    if decode_engine is None:
        run.trace.add('read in vain', handle.engine.instance)
        free_handle(run.context, handle)
        return None
    run.hold_place(decode_engine.backend.instance)
    run.transfer = KvTransfer(
        decode_engine.backend.instance,
        decode_engine.link_ms,
        run.context.loads.wait_ms(decode_engine.backend),
        monotonic(),
    )
    return plan._replace(decode_engine=decode_engine.backend)


def _try_decode(
    run: ModelRun,
    plan: Plan,
    handle: KvHandle | None,
    *,
    is_last: bool = False,
) -> OpenAnswer | CompleteAnswer | None:
    """Send once to a decode engine; return None to try another one.

    Frees the KV cache of `handle` if no other engine will use it.
    """
    if handle is None:
        # A transfer that was planned before is not what follows.
        run.transfer = None
    instance = plan.decode_engine.instance
    options = SendOptions(
        instance,
        remaining_ms(run.request.deadline),
        kv_source=handle.source if handle else '',
        priority=run.priority,
        resume_from=run.events.last_id,
    )
    try:
        opened = send_once(
            run, instance, partial(_send, run, plan, options, handle)
        )
    except BaseException:
        _release(run, handle)
        raise
    if opened is None or is_declined(run, opened):
        must_free = is_last or bool(run.runs)
        _release(run, handle if must_free else None)
        return None
    run.runs += 1
    if opened.head.status == OK:
        run.context.loads.note_cached(
            instance, run.demand, kv_cache_tokens(run)
        )
        return opened
    return handle_failed_answer(run, opened)


def _release(run: ModelRun, handle: KvHandle | None) -> None:
    run.count_at('')
    if handle:
        free_handle(run.context, handle)


def _send(
    run: ModelRun, plan: Plan, options: SendOptions, handle: KvHandle | None
) -> OpenAnswer:
    instance = plan.decode_engine.instance
    detail = f'{instance}: {plan.decode_engine.software or "no version"}'
    run.trace.add('send', detail if handle else f'{detail}, reads itself')
    run.count_at(instance)
    with _track_own_prefill(run, plan, handle):
        return open_answer(
            run.context,
            run.request,
            plan.decode_engine,
            options,
            at_most_once=True,
        )


def _track_own_prefill(
    run: ModelRun, plan: Plan, handle: KvHandle | None
) -> AbstractContextManager[None]:
    """Count the prompt at a decode engine that prefills it itself."""
    if handle:
        return nullcontext()
    tokens = plan.work.uncached_tokens * DECODE_PREFILL_SLOWDOWN
    return run.context.loads.own.track_prefill(
        plan.decode_engine.instance, int(tokens)
    )
