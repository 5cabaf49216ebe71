"""Runs a model request from admission to the last token.

`run_completion` acquires a permit, dispatches the request and yields the
tokens. If an engine crashes or its process is lost, another engine continues
the answer after the tokens that the caller already has, within the deadline
and the route's retry budget. A caller receives each token once.

Model requests are idempotent, so a retry needs no proof that the first
dispatch did not run.
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
from trestle_entry.content_gate import wait_for_crash_report
from trestle_entry.entry_context import EntryContext, current_named_set
from trestle_entry.permit_acquisition import PermitRequirements, acquire_permit
from trestle_entry.permit_requests import GrantedPermit
from trestle_entry.request_records import RequestRecord
from trestle_links.answer_messages import DispatchCompletion
from trestle_links.permit_messages import PermitAsk

_MS_PER_SECOND: Final = 1000

# Failures after which another endpoint may succeed.
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
    """A model request with its route and limits; times are monotonic seconds.

    `disaggregated` requests are prefilled and decoded on different engines.
    """

    request: ModelRequest
    route: ModelRoute
    pool: EnginePool
    disaggregated: bool
    first_token_by: float
    finish_by: float


class Completion:
    """A running completion; `finish` is set once the answer is complete."""

    def __init__(self, job: CompletionJob, record: RequestRecord) -> None:
        """Start with no tokens delivered."""
        self.job = job
        self.record = record
        self.delivered_tokens = 0
        self.failed_hosts: frozenset[str] = frozenset()
        self.finish: AnswerFinish | None = None
        self.kv_ticket = ''
        # After a failed KV transfer the rest runs on one engine.
        self.kv_transfer_failed = False
        # The last failure of an attempt that may have run.
        self.uncertain_error: TrestleError | None = None

    def next_phase(self) -> str:
        """Return the next phase: prefill, decode or mixed.

        A short prompt is prefilled by the engine that decodes it, because
        the transfer of its KV cache would cost more.
        """
        if not self.job.disaggregated:
            return 'mixed'
        if self.kv_transfer_failed or not self.job.request.pieces:
            return 'prefill' if self.kv_transfer_failed else 'decode'
        return 'decode' if self.kv_ticket else 'prefill'

    def token_limit(self) -> int:
        """Return the length of the answer at which the next dispatch ends."""
        if self.next_phase() == 'prefill' and not self.kv_transfer_failed:
            return min(self.delivered_tokens + 1, self.job.request.max_tokens)
        return self.job.request.max_tokens

    def permit_requirements(self, context: EntryContext) -> PermitRequirements:
        """Return the requirements of the permit for the next dispatch."""
        job = self.job
        needed_by = (
            job.finish_by if self.delivered_tokens else job.first_token_by
        )
        suspects = {job.request.content_digest} & context.control.view.suspects
        ask = PermitAsk(
            request_id=job.request.request_id,
            caller=job.request.caller,
            route=job.request.route,
            target=job.route.pool,
            priority=job.route.priority,
            prompt_tokens=0 if self.kv_ticket else job.request.prompt_tokens,
            output_tokens=self._remaining_output_tokens(context),
            pieces=job.request.pieces,
            left_ms=0,
            set_version=0,
            suspect=bool(suspects),
            phase=self.next_phase(),
        )
        # Without history the length is only known by its limit, which must
        # not cause a refusal.
        has_history = context.offered_load.has_history(job.request.route)
        finish_by = job.finish_by if has_history else inf
        return PermitRequirements(
            ask=ask,
            needed_by=needed_by,
            excluded_hosts=self.failed_hosts,
            suspect=''.join(suspects),
            finish_by=finish_by,
        )

    def _remaining_output_tokens(self, context: EntryContext) -> int:
        # `max_tokens` is often far above the actual length of an answer.
        expected = context.offered_load.expected_output_tokens(self.job.request)
        return max(0, min(expected, self.token_limit()) - self.delivered_tokens)

    def dispatch_message(self, permit: GrantedPermit) -> DispatchCompletion:
        """Return the message that dispatches the rest of the answer."""
        job = self.job
        remaining_seconds = job.finish_by - monotonic()
        return DispatchCompletion(
            permit=permit.grant.permit,
            request_id=job.request.request_id,
            caller=job.request.caller,
            model=job.pool.model,
            prompt=job.request.prompt,
            max_tokens=self.token_limit(),
            priority=job.route.priority,
            left_ms=max(1, int(remaining_seconds * _MS_PER_SECOND)),
            resume_from=self.delivered_tokens,
            adapter=job.route.adapter,
            kv_ticket=self.kv_ticket,
            content_digest=job.request.content_digest,
        )


def build_completion_job(
    context: EntryContext,
    request: ModelRequest,
    route: ModelRoute,
) -> CompletionJob:
    """Return the job of a request with the limits of the set in force."""
    named_set = current_named_set(context)
    pool = named_set.pools[route.pool]
    return CompletionJob(
        request=request,
        route=route,
        pool=pool,
        disaggregated=named_set.plans[pool.plan].disaggregated
        and _has_prefill_engine(context, route.pool),
        first_token_by=request.arrived_at
        + route.first_token_ms / _MS_PER_SECOND,
        finish_by=request.arrived_at + route.deadline_ms / _MS_PER_SECOND,
    )


def _has_prefill_engine(context: EntryContext, pool: str) -> bool:
    # A KV transfer between mixed engines has no benefit.
    endpoints = context.control.view.endpoints_of(pool)
    return any(info.engine_role == 'prefill' for info in endpoints)


def run_completion(
    context: EntryContext,
    completion: Completion,
) -> Iterator[list[str]]:
    """Yield batches of tokens until the answer is complete.

    Raises `TrestleError`. Closing the iterator cancels the work.
    """
    job = completion.job
    budget = context.budgets.for_route(job.request.route)
    budget.deposit(job.route.retry_percent)
    content = job.request.content_digest
    gate_pass = context.content_gate.acquire(content, job.first_token_by)
    try:
        while completion.finish is None:
            yield from _try_attempt(context, completion)
    except TrestleError:
        if completion.uncertain_error is None:
            raise
        # A later refusal does not prove that an earlier attempt did not run.
        raise completion.uncertain_error from None
    finally:
        context.content_gate.release(content, gate_pass)


def _try_attempt(
    context: EntryContext, completion: Completion
) -> Iterator[list[str]]:
    # The content may have been quarantined while another request with it
    # was running.
    if (
        completion.job.request.content_digest
        in context.control.view.quarantined
    ):
        raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
    requirements = completion.permit_requirements(context)
    permit = acquire_permit(context, requirements, completion.record)
    try:
        yield from _run_attempt(context, completion, permit)
    except TrestleError as error:
        _prepare_retry(context, completion, permit, error)


def _run_attempt(
    context: EntryContext,
    completion: Completion,
    permit: GrantedPermit,
) -> Iterator[list[str]]:
    host = permit.endpoint.host
    record = completion.record
    record.note(
        'dispatch', endpoint=host, from_token=completion.delivered_tokens
    )
    record.dispatches += 1
    context.metrics.count('endpoint_calls')
    link = context.links.link_to(permit.endpoint.address)
    stream = AnswerStream(
        context,
        link,
        completion.dispatch_message(permit),
        completion.job.finish_by,
    )
    # Record the prompt at dispatch, not at the end: the next request with the
    # same document often arrives while the first one is still running.
    context.estimates.record_prompt(host, completion.job.request.pieces)
    estimate = context.estimates.for_host(host)
    estimate.inflight += 1
    try:
        for tokens in stream.batches():
            if tokens:
                context.content_gate.mark_proven(
                    completion.job.request.content_digest
                )
            _record_tokens(completion, len(tokens))
            yield tokens
    finally:
        estimate.inflight -= 1
        context.queues.for_target(
            completion.job.route.pool
        ).notify_permit_freed()
    record.note('finish', endpoint=host)
    assert stream.finish is not None
    _handle_finish(context, completion, stream.finish)


def _handle_finish(
    context: EntryContext,
    completion: Completion,
    finish: AnswerFinish,
) -> None:
    """End the answer, or prepare its decode phase after a prefill."""
    request = completion.job.request
    can_continue = finish.total_tokens < request.max_tokens
    if can_continue and finish.finish_reason == 'length':
        completion.kv_ticket = finish.kv_ticket
        completion.kv_transfer_failed = not finish.kv_ticket
        context.metrics.count(
            'kv_transfers', 'ticket' if finish.kv_ticket else 'no-ticket'
        )
        return
    completion.finish = finish
    context.offered_load.record_answer(request, finish.total_tokens)


def _record_tokens(completion: Completion, amount: int) -> None:
    record = completion.record
    if record.first_token is None:
        record.first_token = monotonic()
        record.verdict = Verdict.RAN
    completion.delivered_tokens += amount
    record.tokens = completion.delivered_tokens


def _prepare_retry(
    context: EntryContext,
    completion: Completion,
    permit: GrantedPermit,
    error: TrestleError,
) -> None:
    """Return if another endpoint may be tried; raise `error` otherwise."""
    host = permit.endpoint.host
    completion.record.note('failed', endpoint=host, code=error.code.code)
    context.estimates.record_refusal(host, completion.job.route.priority)
    completion.failed_hosts |= {host}
    if error.verdict is Verdict.MAY_HAVE_RUN:
        completion.uncertain_error = error
    if error.code.code not in _RETRIABLE:
        raise error
    if completion.kv_ticket:
        # The engine of the ticket may be lost: repeat the prefill.
        completion.kv_ticket = ''
        completion.kv_transfer_failed = True
        context.metrics.count('kv_transfers', 'failed')
    budget = context.budgets.for_route(completion.job.request.route)
    if not budget.spend():
        context.metrics.count('refusals_of_retry', RETRY_BUDGET.code)
        raise error
    context.metrics.count('retries', error.code.code)
    if error.code is ENGINE_CRASHED:
        content = completion.job.request.content_digest
        context.content_gate.mark_unproven(content)
        wait_for_crash_report(context.control.view, content)
