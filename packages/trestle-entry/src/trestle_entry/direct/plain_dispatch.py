"""Requests to plain services: one whole answer.

What may be sent again follows from the verdict of the last send: nothing
left, or refused by the back end: always; broken off or failed: only where
the route says that a request may run twice.
"""

from time import monotonic
from typing import Final

from gevent import Timeout

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
    OVERLOADED,
    RETRY_BUDGET,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_calls import (
    WholeAnswer,
    left_ms,
    open_answer,
    read_whole,
)
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.crash_guard import request_digest
from trestle_entry.direct.direct_context import DirectContext, Matched
from trestle_entry.direct.replies import DirectReply, RefusedError
from trestle_entry.direct.request_log import RequestStory
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
_MOST_SENDS: Final = 4


class PlainRun:
    """The sends of one request."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        matched: Matched,
        story: RequestStory,
    ) -> None:
        """Start with no send."""
        self.context = context
        self.request = request
        self.route = matched.route
        self.service = matched.service.name
        self.story = story
        self.sends = 0
        self.runs = 0
        self.tried: set[str] = set()

    @property
    def verdict(self) -> Verdict:
        """Whether any send may have run."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN


def serve_plain(
    context: DirectContext,
    request: CallerRequest,
    matched: Matched,
    story: RequestStory,
) -> DirectReply:
    """Return the whole answer of a back end; raises `TrestleError`."""
    run = PlainRun(context, request, matched, story)
    limit = Timeout(max(0.001, request.deadline - monotonic()))
    try:
        with limit:
            answer = _answer_of(run)
    except Timeout as error:
        if error is not limit:
            raise
        raise TrestleError(DEADLINE_PASSED, verdict=run.verdict) from error
    body = answer.body
    headers = [
        *answer.head.passed_on,
        ('Content-Length', str(len(body))),
    ]
    return DirectReply(answer.head.status, headers, [body])


def _answer_of(run: PlainRun) -> WholeAnswer:
    while True:
        backend = _choose(run)
        answer = _try(run, backend)
        if answer is not None:
            return answer
        run.tried.add(backend.instance)


def _try(run: PlainRun, backend: Backend) -> WholeAnswer | None:
    """Send once; return None to send again, or raise the final error."""
    fleet = run.context.fleet
    instance = backend.instance
    if run.sends:
        _check_resend(run)
    run.sends += 1
    try:
        answer = _send(run, backend)
    except NotSentError as error:
        run.story.add('unreachable', f'{instance}: {error}')
        fleet.note_unreachable(instance, str(error))
        return None
    except BrokenAnswerError as error:
        run.runs += 1
        run.story.add('broken', f'{instance}: {error}')
        fleet.note_failed(instance, str(error))
        _note_end(run, instance)
        if _may_run_again(run):
            return None
        raise TrestleError(
            ANSWER_INCOMPLETE, str(error), Verdict.MAY_HAVE_RUN
        ) from error
    except Timeout:
        # The deadline: the back end had the request and may have run it.
        run.runs += 1
        raise
    if answer.head.refused:
        run.story.add('declined', f'{instance}: {answer.head.status}')
        return None
    run.runs += 1
    if answer.head.status >= SERVER_ERROR and _may_run_again(run):
        run.story.add('failed', f'{instance}: {answer.head.status}')
        return None
    fleet.note_served(instance)
    return answer


def _send(run: PlainRun, backend: Backend) -> WholeAnswer:
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


def _may_run_again(run: PlainRun) -> bool:
    return run.route.is_idempotent and run.runs < run.route.max_attempts


def _check_resend(run: PlainRun) -> None:
    if run.sends >= _MOST_SENDS or not run.context.may_resend(run.service):
        if run.runs:
            raise TrestleError(
                ANSWER_INCOMPLETE, 'no send is left', Verdict.MAY_HAVE_RUN
            )
        raise RefusedError(RETRY_BUDGET, 'no further send is allowed')


def _note_end(run: PlainRun, instance: str) -> None:
    request = run.request
    digest = request_digest(request.method, request.target, request.body)
    notice = run.context.guard.note(digest, instance)
    run.context.loads.suspects.append(notice)


def _choose(run: PlainRun) -> Backend:
    context = run.context
    without = frozenset(run.tried)
    candidates = context.fleet.usable(run.service, without)
    if not candidates and run.tried:
        candidates = context.fleet.usable(run.service, frozenset())
    if not candidates:
        if run.runs:
            raise TrestleError(
                ANSWER_INCOMPLETE, 'no back end is left', Verdict.MAY_HAVE_RUN
            )
        raise RefusedError(NO_ENDPOINT, f'no back end of {run.service}')
    if run.request.deadline <= monotonic():
        raise RefusedError(DEADLINE_UNREACHABLE, 'no time is left')
    chosen = min(candidates, key=lambda entry: _cost(run, entry))
    running = context.loads.running_at(chosen.instance)
    places = max(_LEAST_PLACES, chosen.slots)
    if running >= places * _QUEUE_FACTOR and not run.runs:
        raise RefusedError(OVERLOADED, f'{running} requests at {places} places')
    return chosen


def _cost(run: PlainRun, backend: Backend) -> tuple[float, float]:
    context = run.context
    cost = float(context.loads.running_at(backend.instance))
    if backend.zone != context.settings.zone:
        cost += _OTHER_ZONE_COST
    return cost, context.random.random()
