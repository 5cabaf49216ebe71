"""The prompt is read at one engine, for another one to go on from there.

The call may be repeated: nothing of the request runs by it. What it leaves
behind is a handle to the engine's memory, which somebody must take or free.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import Timeout, spawn

from trestle_entry.direct.backend_calls import (
    WholeAnswer,
    left_ms,
    open_answer,
    read_whole,
)
from trestle_entry.direct.backend_exchange import (
    BackendAnswer,
    BrokenAnswerError,
    NotSentError,
    encode_request,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.placement import Plan
from trestle_entry.direct.wire_types import (
    MISDIRECTED,
    OK,
    AnswerHead,
    SendOptions,
)
from trestle_links.direct_messages import Backend

# A reader that takes this many times as long as predicted, and the extra, is
# given up: it stands still, or many callers came at once and its queue holds
# less worth than the prompt read twice.
_PATIENCE: Final = 2.5
_PATIENCE_MS: Final = 900.0
_FREE_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class Handle(NamedTuple):
    """Memory of a prompt that waits at an engine."""

    reader: Backend
    key: str

    @property
    def source(self) -> str:
        """Return the handle as the engine that takes it wants it named."""
        return f'{self.reader.address}/{self.key}'


def read_prompt(run: ModelRun, plan: Plan) -> Handle | None:
    """Have the prompt read; None when this engine did not do it.

    Raises `gevent.Timeout` of the caller's deadline only.
    """
    reader = plan.reader
    if reader is None:
        return None
    run.reads += 1
    run.story.add(
        'read',
        f'{reader.instance}: {plan.first_token_ms:.0f} ms predicted, '
        f'{plan.work.uncached} of {run.need.prompt_tokens} tokens, '
        f'{plan.work.copied} copied',
    )
    patience_ms = plan.first_token_ms * _PATIENCE + _PATIENCE_MS
    limit = Timeout(patience_ms / _MS_PER_SECOND)
    try:
        with limit:
            return _read_at(run, plan, reader)
    except Timeout as error:
        if error is not limit:
            raise
        _avoid(run, reader, 'no answer in time')
    except NotSentError as error:
        _avoid(run, reader, str(error))
    except BrokenAnswerError as error:
        _avoid(run, reader, str(error))
        run.note_end(reader.instance, str(error))
    return None


def free_handle(context: DirectContext, handle: Handle) -> None:
    """Free memory that nobody will take, in a greenlet of its own."""
    spawn(_free, context, handle)


def memory_tokens(run: ModelRun) -> int:
    """Return the size of an engine's memory."""
    engine = run.service.engine
    return engine.kv_tokens if engine else 0


def _read_at(run: ModelRun, plan: Plan, reader: Backend) -> Handle | None:
    loads = run.context.loads
    began = monotonic()
    waited_ms = loads.wait_ms(reader.instance)
    loads.note_arriving(reader.instance, run.need)
    with loads.reading(reader.instance, plan.read_ms):
        answer = _call(run, reader, plan.work.fetch_from)
    if answer.head.status != OK:
        _note_not_read(run, reader, answer.head)
        return None
    took_ms = (monotonic() - began) * _MS_PER_SECOND
    loads.note_speed(
        reader.instance,
        (waited_ms + plan.work.copy_ms + plan.read_ms) or 1.0,
        took_ms,
    )
    loads.note_read(reader.instance, run.need, memory_tokens(run))
    run.context.fleet.note_served(reader.instance)
    run.story.add('read done', f'{took_ms:.0f} ms')
    key = run.context.backends.read_handle(answer.body)
    return Handle(reader, key) if key else None


def _note_not_read(run: ModelRun, reader: Backend, head: AnswerHead) -> None:
    """Note an engine that declined, is no reader any more, or failed."""
    instance = reader.instance
    run.story.add('read declined', f'{instance}: {head.status}')
    run.avoided.add(instance)
    run.context.fleet.note_declined(instance, full=head.status != MISDIRECTED)
    if not head.refused:
        # It fails faster than others read, so it always looks idle.
        run.context.fleet.note_failed(instance, str(head.status))


def _call(run: ModelRun, reader: Backend, fetch_from: str) -> WholeAnswer:
    options = SendOptions(
        reader.instance,
        left_ms(run.request.deadline),
        is_prefill=True,
        fetch_from=fetch_from,
        priority=run.route.priority,
    )
    opened = open_answer(run.context, run.request, reader, options, once=False)
    return read_whole(run.context, opened)


def _avoid(run: ModelRun, reader: Backend, reason: str) -> None:
    run.story.add('reader lost', f'{reader.instance}: {reason}')
    run.avoided.add(reader.instance)
    run.context.fleet.note_unreachable(reader.instance, reason)


def _free(context: DirectContext, handle: Handle) -> None:
    reader = handle.reader
    packed = encode_request(
        'DELETE', context.backends.free_path(handle.key), 'engine', [], b''
    )
    limit = Timeout(_FREE_SECONDS)
    try:
        with limit:
            connection = context.pool.take(
                reader.address, reader.instance, _FREE_SECONDS, once=False
            )
            answer = BackendAnswer('DELETE')
            try:
                connection.send(packed)
                connection.read_head(answer)
                connection.read_body(answer)
            except BaseException:
                connection.close()
                raise
    except (Timeout, NotSentError, BrokenAnswerError) as error:
        # The engine frees it itself when its time is over.
        context.metrics.count('handles_not_freed', type(error).__name__)
        return
    context.pool.give_back(connection, 0)
    context.metrics.count('handles_freed')
