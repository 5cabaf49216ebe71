"""The pipeline of one request: parse, route, dispatch, answer, one log line."""

from collections.abc import Callable
from time import monotonic
from typing import Any, Final, NamedTuple

from trestle_core.errorcodes import INTERNAL, STALE_NODE, UNKNOWN_ROUTE
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.route_table import pick_share
from trestle_core.verdict import Verdict
from trestle_entry.caller_watch import CallerGoneError, cancel_when_gone
from trestle_entry.direct.direct_context import DirectContext, Matched
from trestle_entry.direct.model_relay import serve_model
from trestle_entry.direct.plain_dispatch import serve_plain
from trestle_entry.direct.replies import (
    DirectReply,
    RefusedError,
    error_answer,
)
from trestle_entry.direct.request_log import RequestStory
from trestle_entry.direct.wire_types import CallerRequest, Headers

_MS_PER_SECOND: Final = 1000

_log = part_logger('entry')


class Incoming(NamedTuple):
    """A request whose head is read; `read_body` reads the rest."""

    method: str
    target: str
    headers: Headers
    socket: Any
    read_body: Callable[[], bytes]


def serve(context: DirectContext, incoming: Incoming) -> DirectReply:
    """Return the answer of a request, whatever becomes of it."""
    story = RequestStory('', monotonic())
    try:
        reply = _serve(context, incoming, story)
    except CallerGoneError as error:
        context.log.write(story, error.code.code, error.verdict.value)
        raise
    except TrestleError as error:
        story.fields['reason'] = error.message
        context.log.write(story, error.code.code, error.verdict.value)
        return error_answer(context.callers, story.request_id, error)
    except Exception:
        _log.exception('Request {} failed unexpectedly.', story.request_id)
        failure = TrestleError(INTERNAL, verdict=Verdict.MAY_HAVE_RUN)
        context.log.write(story, failure.code.code, failure.verdict.value)
        return error_answer(context.callers, story.request_id, failure)
    if not reply.logs_itself:
        context.log.write(story, str(reply.status), Verdict.RAN.value)
    return reply


def _serve(
    context: DirectContext, incoming: Incoming, story: RequestStory
) -> DirectReply:
    body = incoming.read_body()
    request = context.callers.read_request(
        incoming.method,
        incoming.target,
        incoming.headers,
        body,
        incoming.socket,
    )
    story.request_id = request.request_id
    matched = _match(context, request, story)
    latest = request.arrived + matched.route.timeout_ms / _MS_PER_SECOND
    request = request._replace(deadline=min(request.deadline, latest))
    context.limits_of(matched.service.name).note_request()
    with cancel_when_gone(incoming.socket):
        if matched.service.engine:
            return serve_model(context, request, matched, story)
        return serve_plain(context, request, matched, story)


def _match(
    context: DirectContext, request: CallerRequest, story: RequestStory
) -> Matched:
    table = context.table
    if table is None:
        raise RefusedError(STALE_NODE, 'no table is held yet')
    path = request.target.partition('?')[0]
    route = table.find(request.host, path)
    if route is None:
        raise TrestleError(UNKNOWN_ROUTE, f'no route at {path}')
    service = table.services[pick_share(route, context.random.random())]
    story.fields['route'] = route.name
    story.fields['version'] = table.version
    story.fields['target_ms'] = route.target_ms
    story.fields['gap_ms'] = route.gap_ms
    return Matched(route, service)
