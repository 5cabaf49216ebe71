"""Prefills a prompt at one engine, so that another one can decode from it.

A prefill call is idempotent, as it does not run the request. It returns a
handle to the KV cache of the prompt, which a decode engine must take or this
entry must free.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import Timeout, spawn

from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    open_answer,
    read_answer,
    remaining_ms,
)
from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BrokenAnswerError,
    NotSentError,
    encode_head,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.placement import Plan
from trestle_entry.direct.request_sends import (
    begin_arrival,
    cancel_arrival,
    note_prefilled,
)
from trestle_entry.direct.wire_types import (
    MISDIRECTED,
    OK,
    AnswerHead,
    SendOptions,
)
from trestle_links.direct_messages import Backend

# A prefill times out after this multiple of the predicted time plus the base:
# either the engine is stuck, or a burst of callers filled its queue and
# waiting there costs more than prefilling the prompt a second time.
_TIMEOUT_FACTOR: Final = 2.5
_TIMEOUT_BASE_MS: Final = 900.0
_FREE_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class KvHandle(NamedTuple):
    """The KV cache of a prompt that an engine keeps for a decode engine."""

    engine: Backend
    key: str

    @property
    def source(self) -> str:
        """The name under which a decode engine fetches the KV cache."""
        return f'{self.engine.address}/{self.key}'


def prefill_prompt(run: ModelRun, plan: Plan) -> KvHandle | None:
    """Prefill the prompt; return None if the planned engine did not.

    Raises `TrestleError` if the retry limits allow no further call, and
    `gevent.Timeout` only for the caller's deadline.
    """
    engine = plan.prefill_engine
    if engine is None:
        return None
    begin_arrival(run)
    run.trace.add(
        'read',
        f'{engine.instance}: {engine.software or "no version"}, '
        f'{plan.first_token_ms:.0f} ms predicted, '
        f'{plan.work.uncached_tokens} of {run.demand.prompt_tokens} tokens, '
        f'{plan.work.copied_tokens} copied',
    )
    run.prefills += 1
    run.context.loads.rate_limits.take(engine.instance)
    timeout_ms = plan.first_token_ms * _TIMEOUT_FACTOR + _TIMEOUT_BASE_MS
    limit = Timeout(timeout_ms / _MS_PER_SECOND)
    try:
        with limit:
            return _prefill_at(run, plan, engine)
    except Timeout as error:
        if error is not limit:
            raise
        _avoid_engine(run, engine, 'no answer in time')
    except NotSentError as error:
        run.prefills -= 1
        cancel_arrival(run)
        run.context.loads.rate_limits.give_back(engine.instance)
        run.note_not_sent(engine.instance, error)
    except BrokenAnswerError as error:
        _avoid_engine(run, engine, str(error))
        run.note_interrupted(engine.instance, str(error))
    return None


def free_handle(context: DirectContext, handle: KvHandle) -> None:
    """Free KV cache that will not be used, in a separate greenlet."""
    spawn(_free, context, handle)


def kv_cache_tokens(run: ModelRun) -> int:
    """Return the KV cache size of an engine, 0 if it is unknown."""
    engine = run.service.engine
    return engine.kv_tokens if engine else 0


def _prefill_at(run: ModelRun, plan: Plan, engine: Backend) -> KvHandle | None:
    loads = run.context.loads
    started_at = monotonic()
    call = loads.prefill_call(engine, plan.work.uncached_tokens)
    loads.note_pending(engine.instance, run.demand)
    with loads.own.track_prefill(engine.instance, call.tokens):
        answer = _call(run, engine, plan.work.fetch_from)
    if answer.head.status != OK:
        _note_prefill_failed(run, engine, answer.head)
        return None
    note_prefilled(run)
    took_ms = (monotonic() - started_at) * _MS_PER_SECOND
    loads.speeds.note_prefill(call, took_ms - plan.work.copy_ms)
    loads.note_cached(engine.instance, run.demand, kv_cache_tokens(run))
    run.context.fleet.note_served(engine.instance)
    run.trace.add('read done', f'{took_ms:.0f} ms')
    key = run.context.backend_wire.read_handle(answer.body)
    return KvHandle(engine, key) if key else None


def _note_prefill_failed(
    run: ModelRun, engine: Backend, head: AnswerHead
) -> None:
    """Record an engine that declined, changed its role, or failed."""
    instance = engine.instance
    run.trace.add('read declined', f'{instance}: {head.status}')
    run.avoided.add(instance)
    run.context.fleet.note_declined(
        instance, is_full=head.status != MISDIRECTED
    )
    if not head.is_declined:
        # It fails faster than others prefill, so it would always look idle.
        run.context.fleet.note_failed(instance, str(head.status))


def _call(run: ModelRun, engine: Backend, fetch_from: str) -> CompleteAnswer:
    options = SendOptions(
        engine.instance,
        remaining_ms(run.request.deadline),
        is_prefill=True,
        fetch_from=fetch_from,
        priority=run.priority,
    )
    opened = open_answer(
        run.context, run.request, engine, options, at_most_once=False
    )
    return read_answer(run.context, opened)


def _avoid_engine(run: ModelRun, engine: Backend, reason: str) -> None:
    run.trace.add('reader lost', f'{engine.instance}: {reason}')
    run.avoided.add(engine.instance)
    run.context.note_unreachable(engine.instance, reason, is_refused=False)


def _note_said(
    context: DirectContext, engine: Backend, answer: BackendAnswer
) -> None:
    headers = answer.header_list()
    head = context.backend_wire.read_head(answer.status, headers)
    context.note_said(engine, head)


def _free(context: DirectContext, handle: KvHandle) -> None:
    engine = handle.engine
    if context.fleet.resting.seconds(engine.instance):
        context.metrics.count('handles_not_freed', 'resting')
        return
    path = context.backend_wire.free_path(handle.key)
    limit = Timeout(_FREE_SECONDS)
    try:
        request_head = encode_head('DELETE', path, 'engine', [], 0)
        with limit:
            connection = context.pool.acquire(
                engine.address,
                engine.instance,
                _FREE_SECONDS,
                at_most_once=False,
            )
            answer = BackendAnswer('DELETE')
            try:
                connection.send(request_head)
                connection.read_head(answer)
                connection.read_body(answer)
                _note_said(context, engine, answer)
            except BaseException:
                connection.close()
                raise
    except (Timeout, NotSentError, BrokenAnswerError) as error:
        # The engine frees the KV cache itself when the handle expires.
        context.metrics.count('handles_not_freed', type(error).__name__)
        return
    if connection.is_reusable(answer):
        context.pool.release(connection, 0)
    else:
        connection.close()
    context.metrics.count('handles_freed')
