"""A model request from admission to the last token.

The main flow is `run_completion`: obtain a place, dispatch, pass tokens on.
When an engine crashes or its process is lost, the answer is continued on
another engine from the tokens that the caller already has, within the
deadline and the route's retry budget. A caller sees each token once.

Model requests have no effect that may not be repeated, so a retry needs no
proof that the first dispatch did not run.
"""

from collections.abc import Iterator
from math import inf
from time import monotonic
from typing import Final, NamedTuple

from trestle_core.errorcodes import (
    ENGINE_CRASHED,
    QUARANTINED,
    RETRY_BUDGET,
)
from trestle_core.errors import TrestleError
from trestle_core.namedset import EnginePool, ModelRoute
from trestle_core.texts import QUARANTINED as QUARANTINED_TEXT
from trestle_core.verdict import Verdict
from trestle_entry.answer_stream import AnswerFinish, AnswerStream
from trestle_entry.caller_requests import ModelRequest
from trestle_entry.content_gate import wait_for_report
from trestle_entry.entry_context import EntryContext, named_set_of
from trestle_entry.permit_asks import Place
from trestle_entry.places import PlaceNeed, obtain_place
from trestle_entry.request_records import RequestRecord
from trestle_links.answer_messages import DispatchCompletion
from trestle_links.permit_messages import PermitAsk

_MS_PER_SECOND: Final = 1000

# Failures of one endpoint that another endpoint may not have.
_RETRIABLE: Final = frozenset(
    (
        'link-down',
        'engine-crashed',
        'engine-refused',
        'answer-incomplete',
        'permit-unusable',
        'draining',
        'withdrawn',
        'stale-node',
        'overloaded',
        'call-timeout',
        'internal',
        'kv-unavailable',
    )
)


class CompletionJob(NamedTuple):
    """A model request with its route and limits; times are monotonic.

    `disaggregated` requests are read and answered on different engines.
    """

    request: ModelRequest
    route: ModelRoute
    pool: EnginePool
    disaggregated: bool
    first_token_by: float
    finish_by: float


class Completion:
    """A running completion; `finish` is set once the answer is whole."""

    def __init__(self, job: CompletionJob, record: RequestRecord) -> None:
        """Start with no tokens delivered."""
        self.job = job
        self.record = record
        self.delivered = 0
        self.failed_hosts: frozenset[str] = frozenset()
        self.finish: AnswerFinish | None = None
        self.kv_ticket = ''
        # Set when a KV transfer failed: the rest runs on one engine.
        self.kv_failed = False
        # The last failure of an attempt that may have run.
        self.doubt: TrestleError | None = None

    def phase(self) -> str:
        """Return the phase that comes next: prefill, decode or mixed.

        A short prompt is read by the engine that decodes; it is not worth
        a transfer of its cache.
        """
        if not self.job.disaggregated:
            return 'mixed'
        if self.kv_failed or not self.job.request.pieces:
            return 'prefill' if self.kv_failed else 'decode'
        return 'decode' if self.kv_ticket else 'prefill'

    def output_tokens(self) -> int:
        """Return the length at which the next dispatch ends."""
        if self.phase() == 'prefill' and not self.kv_failed:
            return min(self.delivered + 1, self.job.request.max_tokens)
        return self.job.request.max_tokens

    def place_need(self, context: EntryContext) -> PlaceNeed:
        """Return what the rest of the answer needs from an endpoint."""
        job = self.job
        latest = job.finish_by if self.delivered else job.first_token_by
        suspects = {job.request.content} & context.control.view.suspects
        ask = PermitAsk(
            request_id=job.request.request_id,
            caller=job.request.caller,
            route=job.request.route,
            target=job.route.pool,
            priority=job.route.priority,
            prompt_tokens=0 if self.kv_ticket else job.request.prompt_tokens,
            output_tokens=self._expected_tokens(context),
            pieces=job.request.pieces,
            left_ms=0,
            set_version=0,
            suspect=bool(suspects),
            phase=self.phase(),
        )
        # A bound on the length is no reason to refuse a request.
        known = context.offered.knows(job.request.route)
        finish_by = job.finish_by if known else inf
        return PlaceNeed(
            ask=ask,
            latest=latest,
            avoid=self.failed_hosts,
            suspect=''.join(suspects),
            finish_by=finish_by,
        )

    def _expected_tokens(self, context: EntryContext) -> int:
        # `max_tokens` is a bound, often far above what an answer takes.
        expected = context.offered.expected_tokens(self.job.request)
        return max(0, min(expected, self.output_tokens()) - self.delivered)

    def dispatch_for(self, place: Place) -> DispatchCompletion:
        """Return the message that starts the rest of the answer."""
        job = self.job
        left = job.finish_by - monotonic()
        return DispatchCompletion(
            permit=place.grant.permit,
            request_id=job.request.request_id,
            caller=job.request.caller,
            model=job.pool.model,
            prompt=job.request.prompt,
            max_tokens=self.output_tokens(),
            priority=job.route.priority,
            left_ms=max(1, int(left * _MS_PER_SECOND)),
            resume_from=self.delivered,
            adapter=job.route.adapter,
            kv_ticket=self.kv_ticket,
            content_digest=job.request.content,
        )


def completion_job(
    context: EntryContext,
    request: ModelRequest,
    route: ModelRoute,
) -> CompletionJob:
    """Fix the limits of a request from the set in force."""
    named_set = named_set_of(context)
    pool = named_set.pools[route.pool]
    return CompletionJob(
        request=request,
        route=route,
        pool=pool,
        disaggregated=named_set.plans[pool.plan].disaggregated
        and _has_prefill_engine(context, route.pool),
        first_token_by=request.arrived + route.first_token_ms / _MS_PER_SECOND,
        finish_by=request.arrived + route.deadline_ms / _MS_PER_SECOND,
    )


def _has_prefill_engine(context: EntryContext, pool: str) -> bool:
    # Between mixed engines a transfer of the cache gains nothing.
    endpoints = context.control.view.endpoints_of(pool)
    return any(info.engine_role == 'prefill' for info in endpoints)


def run_completion(
    context: EntryContext,
    completion: Completion,
) -> Iterator[list[str]]:
    """Yield batches of tokens until the answer is whole.

    Raises `TrestleError`. Closing the iterator cancels the work.
    """
    job = completion.job
    budget = context.budgets.of(job.request.route)
    budget.deposit(job.route.retry_percent)
    content = job.request.content
    copy = context.gate.enter(content, job.first_token_by)
    try:
        while completion.finish is None:
            yield from _try_once(context, completion)
    except TrestleError:
        if completion.doubt is None:
            raise
        # A later refusal can't undo what an earlier attempt left in doubt.
        raise completion.doubt from None
    finally:
        context.gate.leave(content, copy)


def _try_once(
    context: EntryContext, completion: Completion
) -> Iterator[list[str]]:
    # The quarantine may have come while an equal request ran.
    if completion.job.request.content in context.control.view.quarantined:
        raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
    need = completion.place_need(context)
    place = obtain_place(context, need, completion.record)
    try:
        yield from _run_attempt(context, completion, place)
    except TrestleError as error:
        _prepare_retry(context, completion, place, error)


def _run_attempt(
    context: EntryContext,
    completion: Completion,
    place: Place,
) -> Iterator[list[str]]:
    host = place.endpoint.host
    record = completion.record
    record.note('dispatch', endpoint=host, from_token=completion.delivered)
    record.dispatches += 1
    context.metrics.count('endpoint_calls')
    link = context.links.link_to(place.endpoint.address)
    stream = AnswerStream(
        context,
        link,
        completion.dispatch_for(place),
        completion.job.finish_by,
    )
    # From now on, not from the end: the next read of a document often comes
    # while the first one is still under way.
    context.estimates.served(host, completion.job.request.pieces)
    estimate = context.estimates.of(host)
    estimate.inflight += 1
    try:
        for tokens in stream.batches():
            if tokens:
                context.gate.prove(completion.job.request.content)
            _count_tokens(completion, len(tokens))
            yield tokens
    finally:
        estimate.inflight -= 1
        context.rooms.of(completion.job.route.pool).place_freed()
    record.note('finish', endpoint=host)
    assert stream.finish is not None
    _take_finish(context, completion, stream.finish)


def _take_finish(
    context: EntryContext,
    completion: Completion,
    finish: AnswerFinish,
) -> None:
    """End the answer, or go on to decode what a prefill engine read."""
    request = completion.job.request
    more = finish.total < request.max_tokens
    if more and finish.finish_reason == 'length':
        completion.kv_ticket = finish.kv_ticket
        completion.kv_failed = not finish.kv_ticket
        context.metrics.count(
            'kv_transfers', 'ticket' if finish.kv_ticket else 'no-ticket'
        )
        return
    completion.finish = finish
    context.offered.learn(request, finish.total)


def _count_tokens(completion: Completion, amount: int) -> None:
    record = completion.record
    if record.first_token is None:
        record.first_token = monotonic()
        record.verdict = Verdict.RAN
    completion.delivered += amount
    record.tokens = completion.delivered


def _prepare_retry(
    context: EntryContext,
    completion: Completion,
    place: Place,
    error: TrestleError,
) -> None:
    """Return when another endpoint may be tried; raise otherwise."""
    host = place.endpoint.host
    completion.record.note('failed', endpoint=host, code=error.code.code)
    context.estimates.refused(host, completion.job.route.priority)
    completion.failed_hosts |= {host}
    if error.verdict is Verdict.MAY_HAVE_RUN:
        completion.doubt = error
    if error.code.code not in _RETRIABLE:
        raise error
    if completion.kv_ticket:
        # The ticket names an engine that may be gone: read the prompt anew.
        completion.kv_ticket = ''
        completion.kv_failed = True
        context.metrics.count('kv_transfers', 'failed')
    budget = context.budgets.of(completion.job.request.route)
    if not budget.spend():
        context.metrics.count('refusals_of_retry', RETRY_BUDGET.code)
        raise error
    context.metrics.count('retries', error.code.code)
    if error.code is ENGINE_CRASHED:
        content = completion.job.request.content
        context.gate.doubt(content)
        wait_for_report(context.control.view, content)
