"""Decides on permit requests.

A grant reserves a slot or a position in the queue, so the sum of granted,
waiting and running work is bounded. Work with a higher priority number may
use a smaller part of the queue, so that urgent work is still accepted when
the queue fills up. A request that cannot meet its deadline is refused here
as `not-run`, before it waits.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from trestle_core.digests import PIECE_TOKENS
from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
    OVERLOADED,
)
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.namedset import EnginePool
from trestle_core.texts import DEADLINE_UNREACHABLE as UNREACHABLE_TEXT
from trestle_core.texts import NO_ENDPOINT as NO_ENDPOINT_TEXT
from trestle_endpoint.admission_state import AdmissionState
from trestle_endpoint.permits import Demand, PermitTable, WorkItem
from trestle_endpoint.slot_scheduler import SlotScheduler
from trestle_endpoint.wait_estimate import WaitEstimate, measure_occupancy
from trestle_links.permit_messages import PermitAsk, PermitGrant

_MS_PER_SECOND: Final = 1000
# Each priority step gives up 1/20 of the queue: priority 9 may use 55 %.
_PRIORITY_STEPS: Final = 20
_UNLIMITED: Final = 1_000_000
# Outcomes retained until the control state has committed them.
_UNCOMMITTED_LIMIT: Final = 10_000


class GrantLimits(NamedTuple):
    """The name of the target and its concurrency limits."""

    target: str
    max_running: int
    max_queued: int


class GrantParts(NamedTuple):
    """The inputs of a decision."""

    limits: GrantLimits
    state: AdmissionState
    permits: PermitTable
    slots: SlotScheduler
    estimate: WaitEstimate
    pool: Callable[[], EnginePool | None]
    matched_pieces: Callable[[list[str]], int]
    set_version: Callable[[], int]
    metrics: Metrics


def grant_permit(parts: GrantParts, request: PermitAsk) -> PermitGrant:
    """Grant a permit, or raise `TrestleError` with the refusal."""
    try:
        return _grant(parts, request)
    except TrestleError as error:
        parts.metrics.count('permit_asks_refused', error.code.code)
        raise


def _grant(parts: GrantParts, request: PermitAsk) -> PermitGrant:
    parts.state.check()
    if request.target != parts.limits.target:
        text = NO_ENDPOINT_TEXT.format(target=request.target)
        raise TrestleError(NO_ENDPOINT, text)
    parts.permits.expire()
    _check_capacity(parts, request)
    cached = parts.matched_pieces(request.pieces)
    running = parts.slots.running.values()
    pending = _pending_work(parts)
    matched = _count_matched_pieces(
        request.pieces, cached, (*running, *pending)
    )
    demand = _demand_from(request, matched, parts.pool())
    demand = demand._replace(cached_pieces=cached)
    ahead = measure_occupancy(request.priority, running, pending)
    seconds = parts.estimate.predict_first_token_seconds(
        demand, ahead, long_prompt_limit(parts.pool())
    )
    first_token_ms = round(seconds * _MS_PER_SECOND)
    answer_ms = _MS_PER_SECOND * parts.estimate.predict_answer_seconds(
        request.output_tokens
    )
    if (
        first_token_ms > request.left_ms
        or first_token_ms + answer_ms > request.finish_ms
    ):
        text = UNREACHABLE_TEXT.format(deadline_ms=request.left_ms)
        raise TrestleError(DEADLINE_UNREACHABLE, text)
    work = parts.permits.issue(demand)
    return PermitGrant(
        permit=work.permit,
        first_token_ms=first_token_ms,
        running=ahead.running,
        queued=ahead.queued,
        matched_pieces=matched,
        set_version=parts.set_version(),
        prefill_ms=round(
            demand.prefill_tokens / parts.estimate.prefill_rate * _MS_PER_SECOND
        ),
    )


def long_prompt_limit(pool: EnginePool | None) -> int:
    """Return how many long prompts an engine may run at once."""
    return pool.long_prompts_per_engine if pool else _UNLIMITED


def _check_capacity(parts: GrantParts, request: PermitAsk) -> None:
    limits = parts.limits
    share = max(0, _PRIORITY_STEPS - max(0, request.priority))
    queue_room = limits.max_queued * share // _PRIORITY_STEPS
    slots = parts.slots
    admitted = len(slots.running) + len(slots.waiting)
    admitted += len(parts.permits.outstanding)
    if admitted >= limits.max_running + queue_room:
        raise TrestleError(OVERLOADED)
    if len(parts.permits.used) >= _UNCOMMITTED_LIMIT:
        raise TrestleError(
            OVERLOADED, 'Too many outcomes are waiting for a commit.'
        )


def _pending_work(parts: GrantParts) -> list[WorkItem]:
    waiting = [waiter.work for waiter in parts.slots.waiting]
    return [*parts.permits.outstanding.values(), *waiting]


def _count_matched_pieces(
    pieces: list[str], cached: int, work_items: Iterable[WorkItem]
) -> int:
    """Count the leading pieces that are cached or that other work prefills."""
    if cached == len(pieces):
        return cached
    upcoming = {
        piece
        for work in work_items
        if not work.is_prefilled
        for piece in work.demand.pieces
    }
    for piece in pieces[cached:]:
        if piece not in upcoming:
            break
        cached += 1
    return cached


def _demand_from(
    request: PermitAsk, matched: int, pool: EnginePool | None
) -> Demand:
    unmatched = max(0, request.prompt_tokens - matched * PIECE_TOKENS)
    return Demand(
        request_id=request.request_id,
        priority=request.priority,
        prefill_tokens=unmatched,
        pieces=tuple(request.pieces),
        is_long=pool is not None and unmatched > pool.long_prompt_tokens,
        is_suspect=request.suspect,
        phase=request.phase,
    )
