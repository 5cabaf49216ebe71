"""The decision on a permit ask.

A grant reserves a place, so the sum of granted, waiting and running work is
bounded. The queue's room shrinks with the priority number: when it fills,
urgent work still finds room. A demand that cannot meet its deadline is
refused here, as not run, before anyone waits for it.
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
from trestle_endpoint.permits import Demand, PermitTable, Work
from trestle_endpoint.places import Places
from trestle_endpoint.wait_estimate import WaitEstimate, occupancy
from trestle_links.permit_messages import PermitAsk, PermitGrant

_MS_PER_SECOND: Final = 1000
# The queue of priority 9 ends at 55 of 100 places of the whole queue.
_PRIORITY_STEPS: Final = 20
_UNLIMITED: Final = 1_000_000
# Outcomes that the control state has not taken yet; each is kept.
_KEPT_LIMIT: Final = 10_000


class GrantLimits(NamedTuple):
    """Bounds of one target."""

    target: str
    max_running: int
    max_queued: int


class GrantParts(NamedTuple):
    """What a decision rests on."""

    limits: GrantLimits
    state: AdmissionState
    permits: PermitTable
    places: Places
    estimate: WaitEstimate
    pool: Callable[[], EnginePool | None]
    matched_pieces: Callable[[list[str]], int]
    set_version: Callable[[], int]
    metrics: Metrics


def grant_permit(parts: GrantParts, ask: PermitAsk) -> PermitGrant:
    """Grant a permit, or raise `TrestleError` with the reason."""
    try:
        return _grant(parts, ask)
    except TrestleError as error:
        parts.metrics.count('permit_asks_refused', error.code.code)
        raise


def _grant(parts: GrantParts, ask: PermitAsk) -> PermitGrant:
    parts.state.check()
    if ask.target != parts.limits.target:
        text = NO_ENDPOINT_TEXT.format(target=ask.target)
        raise TrestleError(NO_ENDPOINT, text)
    parts.permits.expire()
    _check_room(parts, ask)
    cached = parts.matched_pieces(ask.pieces)
    running = parts.places.running.values()
    others = _works_to_come(parts)
    matched = _matched_in_time(ask.pieces, cached, (*running, *others))
    demand = _demand_from(ask, matched, parts.pool())
    demand = demand._replace(cached_pieces=cached)
    ahead = occupancy(ask.priority, running, others)
    seconds = parts.estimate.first_token_seconds(
        demand, ahead, long_limit(parts.pool())
    )
    first_token_ms = round(seconds * _MS_PER_SECOND)
    answer_ms = _MS_PER_SECOND * parts.estimate.answer_seconds(
        ask.output_tokens
    )
    if (
        first_token_ms > ask.left_ms
        or first_token_ms + answer_ms > ask.finish_ms
    ):
        text = UNREACHABLE_TEXT.format(deadline_ms=ask.left_ms)
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


def long_limit(pool: EnginePool | None) -> int:
    """Return how many long prompts an engine may run at once."""
    return pool.long_prompts_per_engine if pool else _UNLIMITED


def _check_room(parts: GrantParts, ask: PermitAsk) -> None:
    limits = parts.limits
    share = max(0, _PRIORITY_STEPS - max(0, ask.priority))
    queue_room = limits.max_queued * share // _PRIORITY_STEPS
    places = parts.places
    held = len(places.running) + len(places.waiting)
    held += len(parts.permits.outstanding)
    if held >= limits.max_running + queue_room:
        raise TrestleError(OVERLOADED)
    if len(parts.permits.used) >= _KEPT_LIMIT:
        raise TrestleError(OVERLOADED, 'Too many outcomes wait for a commit.')


def _works_to_come(parts: GrantParts) -> list[Work]:
    waiting = [waiter.work for waiter in parts.places.waiting]
    return [*parts.permits.outstanding.values(), *waiting]


def _matched_in_time(
    pieces: list[str], cached: int, works: Iterable[Work]
) -> int:
    """Count the leading pieces that are cached or that others read first."""
    if cached == len(pieces):
        return cached
    coming = {
        piece
        for work in works
        if not work.prefilled
        for piece in work.demand.pieces
    }
    for piece in pieces[cached:]:
        if piece not in coming:
            break
        cached += 1
    return cached


def _demand_from(
    ask: PermitAsk, matched: int, pool: EnginePool | None
) -> Demand:
    unmatched = max(0, ask.prompt_tokens - matched * PIECE_TOKENS)
    return Demand(
        request_id=ask.request_id,
        priority=ask.priority,
        prefill_tokens=unmatched,
        pieces=tuple(ask.pieces),
        is_long=pool is not None and unmatched > pool.long_prompt_tokens,
        suspect=ask.suspect,
        phase=ask.phase,
    )
