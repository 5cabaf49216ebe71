"""Acquires the permit of one endpoint for a request.

An entry requests a permit from the endpoints that its policy chose, keeps the
grant with the lower cost and returns the other. A request that all endpoints
refuse waits in the target's request queue and is retried until its deadline
can no longer be met.

Invariant: every permit that was granted to this entry is dispatched, returned
or left to expire at its endpoint; none is used twice.
"""

from math import inf
from random import uniform
from time import monotonic
from typing import Final, NamedTuple

from trestle_core.digests import rendezvous_score
from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
)
from trestle_core.errors import TrestleError
from trestle_core.texts import NO_ENDPOINT as NO_ENDPOINT_TEXT
from trestle_entry.entry_context import EntryContext
from trestle_entry.permit_requests import GrantedPermit, request_best_permit
from trestle_entry.request_records import RequestRecord
from trestle_entry.routing_policies import RoutingTraits
from trestle_entry.subset import endpoint_subset
from trestle_links.connection import LinkDownError
from trestle_links.permit_messages import (
    PermitAsk,
)
from trestle_links.watch_messages import EndpointInfo

_BACKOFF_SECONDS: Final = 0.01
_MAX_BACKOFF_SECONDS: Final = 0.2
_MS_PER_SECOND: Final = 1000
# Give up after this many rounds in which every answer would come too late:
# waiting longer only shortens the time that is left.
_MAX_TOO_LATE_ROUNDS: Final = 3
_MAX_REMAINING_SECONDS: Final = 86_400.0
_PREFILL_TOKENS_PER_SECOND: Final = 8000.0
_OUTPUT_TOKENS_PER_SECOND: Final = 400.0


class PermitRequirements(NamedTuple):
    """What a request requires of a permit; times are monotonic seconds.

    The permit must be granted by `needed_by`, and the answer must end by
    `finish_by`. `excluded_hosts` are the hosts that failed this request
    before. `suspect` is the digest of its content if that ran on an engine
    that crashed. `was_refused` is set after endpoints refused the request.
    """

    ask: PermitAsk
    needed_by: float
    excluded_hosts: frozenset[str] = frozenset()
    suspect: str = ''
    finish_by: float = inf
    was_refused: bool = False


def acquire_permit(
    context: EntryContext,
    requirements: PermitRequirements,
    record: RequestRecord,
) -> GrantedPermit:
    """Return a permit, waiting for one until the deadline.

    Raises `TrestleError`; the request has not run then.
    """
    queue = context.queues.for_target(requirements.ask.target)
    start_tag = queue.shares.charge(
        requirements.ask.caller, _cost_seconds(requirements.ask)
    )
    effective_deadline = requirements.needed_by + queue.shares.excess(start_tag)
    backoff_seconds = _BACKOFF_SECONDS
    too_late_rounds = 0
    while True:
        permit, refusal = _request_in_turn(
            context, requirements, effective_deadline, record
        )
        if permit:
            queue.record_grant(start_tag)
            return permit
        too_late_rounds += refusal.code == DEADLINE_UNREACHABLE
        if too_late_rounds == _MAX_TOO_LATE_ROUNDS:
            raise refusal
        _raise_if_final(requirements, refusal)
        requirements = requirements._replace(was_refused=True)
        queue.pause(min(backoff_seconds, requirements.needed_by - monotonic()))
        backoff_seconds = min(
            _MAX_BACKOFF_SECONDS, backoff_seconds * uniform(1, 2)
        )


def _request_in_turn(
    context: EntryContext,
    requirements: PermitRequirements,
    effective_deadline: float,
    record: RequestRecord,
) -> tuple[GrantedPermit | None, TrestleError]:
    queue = context.queues.for_target(requirements.ask.target)
    queue.enter(effective_deadline, requirements.needed_by)
    try:
        return _request_once(context, requirements, record)
    finally:
        queue.leave()


def _request_once(
    context: EntryContext,
    requirements: PermitRequirements,
    record: RequestRecord,
) -> tuple[GrantedPermit | None, TrestleError]:
    candidates = _candidates(context, requirements)
    if requirements.suspect:
        return _request_for_suspect(context, requirements, candidates, record)
    endpoints = context.policy(
        candidates,
        RoutingTraits(
            requirements.ask.pieces,
            requirements.ask.priority,
            requirements.was_refused,
        ),
    )
    if not endpoints:
        text = NO_ENDPOINT_TEXT.format(target=requirements.ask.target)
        return None, TrestleError(NO_ENDPOINT, text)
    return request_best_permit(
        context, _current_ask(context, requirements), endpoints, record
    )


def _request_for_suspect(
    context: EntryContext,
    requirements: PermitRequirements,
    candidates: list[EndpointInfo],
    record: RequestRecord,
) -> tuple[GrantedPermit | None, TrestleError]:
    """Request a permit from each endpoint, in the same order on all entries.

    All requests with a suspect content therefore reach the same endpoint,
    which runs one of them at a time.
    """
    refusal = TrestleError(NO_ENDPOINT)
    ordered = sorted(
        candidates,
        key=lambda info: rendezvous_score(requirements.suspect, info.host),
        reverse=True,
    )
    for info in ordered:
        ask = _current_ask(context, requirements)
        permit, refusal = request_best_permit(context, ask, [info], record)
        if permit:
            return permit, refusal
    return None, refusal


def _current_ask(
    context: EntryContext, requirements: PermitRequirements
) -> PermitAsk:
    return requirements.ask._replace(
        left_ms=_remaining_ms(requirements.needed_by),
        finish_ms=_remaining_ms(requirements.finish_by),
        set_version=context.control.view.set_version,
    )


def _remaining_ms(time: float) -> int:
    remaining_seconds = min(time - monotonic(), _MAX_REMAINING_SECONDS)
    return max(0, int(remaining_seconds * _MS_PER_SECOND))


def _candidates(
    context: EntryContext, requirements: PermitRequirements
) -> list[EndpointInfo]:
    endpoints = context.control.view.endpoints_of(requirements.ask.target)
    # If no engine has the role for this phase, any engine runs it.
    suitable = [
        info for info in endpoints if _serves_phase(info, requirements)
    ] or endpoints
    subset = endpoint_subset(
        suitable,
        context.settings.host,
        context.settings.zone,
        context.settings.subset_size,
    )
    if requirements.suspect:
        return subset
    # Retry a host that failed this request only if no other is left.
    return [
        info for info in subset if info.host not in requirements.excluded_hosts
    ] or subset


def _serves_phase(info: EndpointInfo, requirements: PermitRequirements) -> bool:
    phase = requirements.ask.phase
    return phase == 'mixed' or info.engine_role in {'mixed', phase}


def _raise_if_final(
    requirements: PermitRequirements, refusal: TrestleError
) -> None:
    if refusal.code.code in _FINAL_REFUSALS:
        raise refusal
    if monotonic() + _BACKOFF_SECONDS < requirements.needed_by:
        return
    if refusal.code == NO_ENDPOINT or isinstance(refusal, LinkDownError):
        raise TrestleError(NO_ENDPOINT, refusal.message)
    raise TrestleError(DEADLINE_UNREACHABLE)


_FINAL_REFUSALS: Final = frozenset(('quarantined', 'bad-request'))


def _cost_seconds(ask: PermitAsk) -> float:
    prefill_seconds = ask.prompt_tokens / _PREFILL_TOKENS_PER_SECOND
    return prefill_seconds + ask.output_tokens / _OUTPUT_TOKENS_PER_SECOND
