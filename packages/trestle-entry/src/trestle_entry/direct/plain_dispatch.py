"""Requests to plain services: one whole answer.

What may be sent again follows from the verdict of the last send: nothing
left, or refused by the back end: always; broken off or failed: only where
the route says that a request may run twice.
"""

from functools import partial
from typing import Final

from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
    OVERLOADED,
)
from trestle_entry.direct.backend_calls import (
    WholeAnswer,
    left_ms,
    open_answer,
    read_whole,
    whole_reply,
)
from trestle_entry.direct.direct_context import DirectContext, Matched
from trestle_entry.direct.replies import DirectReply, RefusedError
from trestle_entry.direct.request_log import RequestStory
from trestle_entry.direct.request_run import (
    RequestRun,
    failure_of,
    send_once,
    within_deadline,
)
from trestle_entry.direct.wire_types import (
    SERVER_ERROR,
    CallerRequest,
    SendOptions,
)
from trestle_links.direct_messages import Backend

# Requests in work that another zone costs, in requests.
_OTHER_ZONE_COST: Final = 0.6
# Requests at a back end, in multiples of its places, beyond which a wait in
# its queue would use up most callers' time.
_QUEUE_FACTOR: Final = 2.5
_LEAST_PLACES: Final = 2


def serve_plain(
    context: DirectContext,
    request: CallerRequest,
    matched: Matched,
    story: RequestStory,
) -> DirectReply:
    """Return the whole answer of a back end; raises `TrestleError`."""
    run = RequestRun(context, request, matched, story)
    with within_deadline(run):
        answer = _answer_of(run)
    return whole_reply(answer)


def _answer_of(run: RequestRun) -> WholeAnswer:
    while True:
        backend = _choose(run)
        answer = send_once(run, backend.instance, partial(_send, run, backend))
        if answer is not None and _is_final(run, backend.instance, answer):
            return answer
        run.avoided.add(backend.instance)


def _is_final(run: RequestRun, instance: str, answer: WholeAnswer) -> bool:
    """Tell whether an answer goes to the caller, or another one is asked."""
    if answer.head.refused:
        run.story.add('declined', f'{instance}: {answer.head.status}')
        return False
    run.runs += 1
    if answer.head.status >= SERVER_ERROR and run.may_ask_another:
        run.story.add('failed', f'{instance}: {answer.head.status}')
        return False
    run.context.fleet.note_served(instance)
    return True


def _send(run: RequestRun, backend: Backend) -> WholeAnswer:
    context = run.context
    options = SendOptions(backend.instance, left_ms(run.request.deadline))
    run.story.add('send', backend.instance)
    with context.loads.counted(backend.instance):
        opened = open_answer(
            context,
            run.request,
            backend,
            options,
            once=not run.route.is_idempotent,
        )
        return read_whole(context, opened)


def _choose(run: RequestRun) -> Backend:
    context = run.context
    without = frozenset(run.avoided)
    candidates = context.fleet.usable(run.service.name, without)
    if not candidates and run.avoided:
        candidates = context.fleet.usable(run.service.name, frozenset())
    if not candidates:
        text = f'no back end of {run.service.name}'
        raise failure_of(run, NO_ENDPOINT, text)
    if run.left_ms <= 0:
        raise failure_of(run, DEADLINE_UNREACHABLE, 'no time is left')
    chosen = min(candidates, key=lambda entry: _cost(run, entry))
    running = context.loads.running_at(chosen.instance)
    places = max(_LEAST_PLACES, chosen.slots)
    if running >= places * _QUEUE_FACTOR and not run.runs:
        raise RefusedError(OVERLOADED, f'{running} requests at {places} places')
    return chosen


def _cost(run: RequestRun, backend: Backend) -> tuple[float, float]:
    context = run.context
    cost = float(context.loads.running_at(backend.instance))
    if backend.zone != context.settings.zone:
        cost += _OTHER_ZONE_COST
    return cost, context.random.random()
