"""Serves requests whose answers are no streams at services with engines.

The route tells what an answer is, the service who may write it. So an engine is
chosen as for a stream, and its answer is read to the end before the caller gets
any of it.
"""

from functools import partial

from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    OpenAnswer,
    complete_reply,
    read_answer,
)
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.model_dispatch import open_at_engine
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.promises import check_promise
from trestle_entry.direct.replies import DirectReply
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_sends import (
    broken_answer_error,
    note_broken,
    within_deadline,
)
from trestle_entry.direct.stream_opens import open_stream, release_places
from trestle_entry.direct.wire_types import CallerRequest


def serve_whole(
    context: DirectContext,
    request: CallerRequest,
    route_match: RouteMatch,
    trace: RequestTrace,
) -> DirectReply:
    """Return the complete answer of an engine; raises `TrestleError`."""
    run = ModelRun(context, request, route_match, trace)
    try:
        answer = _send_until_whole(run)
    finally:
        release_places(run)
    return complete_reply(check_promise(run.route, answer))


def _send_until_whole(run: ModelRun) -> CompleteAnswer:
    while True:
        opened = open_stream(run, partial(open_at_engine, run))
        if isinstance(opened, CompleteAnswer):
            return opened
        answer = _read(run, opened)
        if answer is not None:
            return answer


def _read(run: ModelRun, opened: OpenAnswer) -> CompleteAnswer | None:
    """Read an answer to its end; return None to try another engine."""
    instance = opened.backend.instance
    run.note_begun(run.context.loads.usage.clock.unix_ms())
    try:
        with within_deadline(run):
            answer = read_answer(run.context, opened)
    except BrokenAnswerError as error:
        note_broken(run, instance, error)
        run.count_at('')
        if not run.may_run_again:
            raise broken_answer_error(error) from error
        return None
    run.note_served(instance)
    return answer
