"""Obtaining a place: one granted permit at one endpoint.

An entry asks the endpoints that its policy chose, takes the grant with the
lower predicted time to the first token and returns the other one at once. A
request that no endpoint takes waits in the target's waiting room and asks
again, until its deadline cannot be met any more.

Invariant: every permit granted to this entry is dispatched, returned, or
left to expire at its endpoint; none is used twice.
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
from trestle_entry.choosing import Need
from trestle_entry.entry_context import EntryContext
from trestle_entry.permit_asks import Place, best_grant
from trestle_entry.request_records import RequestRecord
from trestle_entry.subset import endpoint_subset
from trestle_links.connection import LinkDownError
from trestle_links.permit_messages import (
    PermitAsk,
)
from trestle_links.watch_messages import EndpointInfo

_BACKOFF_SECONDS: Final = 0.01
_MAX_BACKOFF_SECONDS: Final = 0.2
_MS_PER_SECOND: Final = 1000
# So many rounds of asks whose answer would come too late are the last word:
# time only passes while a request waits for better news.
_TOO_LATE_ROUNDS: Final = 3
_LONGEST_SECONDS: Final = 86_400.0
_PREFILL_TOKENS_PER_SECOND: Final = 8000.0
_OUTPUT_TOKENS_PER_SECOND: Final = 400.0


class PlaceNeed(NamedTuple):
    """What a request needs; times are monotonic seconds.

    A place is of use until `latest`; the answer must end by `finish_by`.
    `avoid` holds hosts that failed this request before; `suspect` is the
    content if it ran on an engine that crashed. `refused` tells that
    endpoints were asked in vain before.
    """

    ask: PermitAsk
    latest: float
    avoid: frozenset[str] = frozenset()
    suspect: str = ''
    finish_by: float = inf
    refused: bool = False


def obtain_place(
    context: EntryContext,
    need: PlaceNeed,
    record: RequestRecord,
) -> Place:
    """Return a place, waiting for one until the deadline.

    Raises `TrestleError`; nothing has run then.
    """
    room = context.rooms.of(need.ask.target)
    start = room.shares.charge(need.ask.caller, _cost_seconds(need.ask))
    effective = need.latest + room.shares.excess(start)
    backoff = _BACKOFF_SECONDS
    too_late = 0
    while True:
        place, refusal = _ask_in_turn(context, need, effective, record)
        if place:
            room.granted(start)
            return place
        too_late += refusal.code == DEADLINE_UNREACHABLE
        if too_late == _TOO_LATE_ROUNDS:
            raise refusal
        _check_deadline(need, refusal)
        need = need._replace(refused=True)
        room.pause(min(backoff, need.latest - monotonic()))
        backoff = min(_MAX_BACKOFF_SECONDS, backoff * uniform(1, 2))


def _ask_in_turn(
    context: EntryContext,
    need: PlaceNeed,
    effective: float,
    record: RequestRecord,
) -> tuple[Place | None, TrestleError]:
    room = context.rooms.of(need.ask.target)
    room.enter(effective, need.latest)
    try:
        return _ask_once(context, need, record)
    finally:
        room.leave()


def _ask_once(
    context: EntryContext,
    need: PlaceNeed,
    record: RequestRecord,
) -> tuple[Place | None, TrestleError]:
    candidates = _candidates(context, need)
    if need.suspect:
        return _ask_for_suspect(context, need, candidates, record)
    chosen = context.choose(
        candidates, Need(need.ask.pieces, need.ask.priority, need.refused)
    )
    if not chosen:
        text = NO_ENDPOINT_TEXT.format(target=need.ask.target)
        return None, TrestleError(NO_ENDPOINT, text)
    return best_grant(context, _ask_now(context, need), chosen, record)


def _ask_for_suspect(
    context: EntryContext,
    need: PlaceNeed,
    candidates: list[EndpointInfo],
    record: RequestRecord,
) -> tuple[Place | None, TrestleError]:
    """Ask one endpoint after another, in the same order in every entry.

    So copies of a suspect meet at one endpoint, which runs one at a time.
    """
    refusal = TrestleError(NO_ENDPOINT)
    ordered = sorted(
        candidates,
        key=lambda info: rendezvous_score(need.suspect, info.host),
        reverse=True,
    )
    for info in ordered:
        ask = _ask_now(context, need)
        place, refusal = best_grant(context, ask, [info], record)
        if place:
            return place, refusal
    return None, refusal


def _ask_now(context: EntryContext, need: PlaceNeed) -> PermitAsk:
    return need.ask._replace(
        left_ms=_left_ms(need.latest),
        finish_ms=_left_ms(need.finish_by),
        set_version=context.control.view.set_version,
    )


def _left_ms(moment: float) -> int:
    left_seconds = min(moment - monotonic(), _LONGEST_SECONDS)
    return max(0, int(left_seconds * _MS_PER_SECOND))


def _candidates(context: EntryContext, need: PlaceNeed) -> list[EndpointInfo]:
    endpoints = context.control.view.endpoints_of(need.ask.target)
    # A phase that no engine is there for runs on any engine.
    fitting = [info for info in endpoints if _fits(info, need)] or endpoints
    subset = endpoint_subset(
        fitting,
        context.settings.host,
        context.settings.zone,
        context.settings.subset_size,
    )
    if need.suspect:
        return subset
    # A host that failed this request is asked again only if none is left.
    return [info for info in subset if info.host not in need.avoid] or subset


def _fits(info: EndpointInfo, need: PlaceNeed) -> bool:
    phase = need.ask.phase
    return phase == 'mixed' or info.engine_role in {'mixed', phase}


def _check_deadline(need: PlaceNeed, refusal: TrestleError) -> None:
    if refusal.code.code in _FINAL_REFUSALS:
        raise refusal
    if monotonic() + _BACKOFF_SECONDS < need.latest:
        return
    if refusal.code == NO_ENDPOINT or isinstance(refusal, LinkDownError):
        raise TrestleError(NO_ENDPOINT, refusal.message)
    raise TrestleError(DEADLINE_UNREACHABLE)


_FINAL_REFUSALS: Final = frozenset(('quarantined', 'bad-request'))


def _cost_seconds(ask: PermitAsk) -> float:
    prefill = ask.prompt_tokens / _PREFILL_TOKENS_PER_SECOND
    return prefill + ask.output_tokens / _OUTPUT_TOKENS_PER_SECOND
