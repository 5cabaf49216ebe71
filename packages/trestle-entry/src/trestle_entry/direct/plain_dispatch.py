"""Dispatches requests to plain services, which return complete answers.

Whether a request may be sent again depends on the last send. If nothing was
sent or the back end declined, always; if the answer was truncated or failed,
only if the route allows a request to run twice.
"""

from time import monotonic

from gevent import Timeout

from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    complete_reply,
    open_answer,
    read_answer,
    remaining_ms,
)
from trestle_entry.direct.backend_choice import choose_backend
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.hedged_sends import send_hedged
from trestle_entry.direct.promises import check_promise
from trestle_entry.direct.replies import DirectReply
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.request_sends import within_deadline
from trestle_entry.direct.wire_types import (
    MISDIRECTED,
    SERVER_ERROR,
    CallerRequest,
    SendOptions,
)
from trestle_links.direct_messages import Backend


def serve_plain(
    context: DirectContext,
    request: CallerRequest,
    route_match: RouteMatch,
    trace: RequestTrace,
) -> DirectReply:
    """Return the complete answer of a back end; raises `TrestleError`."""
    run = RequestRun(context, request, route_match, trace)
    with within_deadline(run):
        answer = _send_until_final(run)
    return complete_reply(check_promise(run.route, answer))


def _send_until_final(run: RequestRun) -> CompleteAnswer:
    while True:
        backend, answer, _ = send_hedged(
            run, choose_backend(run), _send, choose_backend
        )
        if answer is not None and _is_final(run, backend.instance, answer):
            return answer
        run.avoided.add(backend.instance)


def _is_final(run: RequestRun, instance: str, answer: CompleteAnswer) -> bool:
    """Return whether an answer goes to the caller instead of a resend."""
    if answer.head.is_declined:
        run.trace.add('declined', f'{instance}: {answer.head.status}')
        # It refuses faster than others answer, so it would always look idle.
        run.context.fleet.note_declined(
            instance, is_full=answer.head.status != MISDIRECTED
        )
        return False
    run.runs += 1
    if answer.head.status >= SERVER_ERROR and run.may_try_another:
        run.trace.add('failed', f'{instance}: {answer.head.status}')
        return False
    run.note_served(instance)
    return True


def _send(run: RequestRun, backend: Backend) -> CompleteAnswer:
    context = run.context
    options = SendOptions(backend.instance, remaining_ms(run.request.deadline))
    run.trace.add('send', backend.instance)
    sent_ms = context.loads.usage.clock.unix_ms()
    sent_at = monotonic()
    with context.loads.own.track_request(backend.instance):
        try:
            opened = open_answer(
                context,
                run.request,
                backend,
                options,
                at_most_once=not run.route.is_idempotent,
            )
        except (BrokenAnswerError, Timeout):
            # It may have begun.
            run.note_begun(sent_ms)
            raise
        if not opened.head.is_declined:
            run.note_begun(sent_ms)
        answer = read_answer(context, opened)
    if not answer.head.is_declined:
        context.hedges.note_answer(run.service.name, monotonic() - sent_at)
    return answer
