"""Asking endpoints for permits, side by side.

The grant of least cost, in time to the first token and in engine time, is
kept; every other grant is returned, also one that comes after the choice.
"""

from typing import Final, NamedTuple

from gevent import spawn
from gevent.queue import Empty, SimpleQueue

from trestle_core.errorcodes import OVERLOADED
from trestle_core.errors import TrestleError
from trestle_entry.entry_context import EntryContext
from trestle_entry.request_records import RequestRecord
from trestle_links.link_messages import Done
from trestle_links.permit_messages import (
    PermitAsk,
    PermitGrant,
    PermitReturn,
)
from trestle_links.watch_messages import EndpointInfo, FetchSet, SetDelta

_SECOND_GRANT_SECONDS: Final = 0.02
_RETURN_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class Place(NamedTuple):
    """A permit at an endpoint, ready to be dispatched with."""

    endpoint: EndpointInfo
    grant: PermitGrant


class AskResult(NamedTuple):
    """The answer of one endpoint; `refusal` is None when it granted."""

    endpoint: EndpointInfo
    grant: PermitGrant | None
    refusal: TrestleError | None


def return_permit(context: EntryContext, place: Place) -> None:
    """Give an unused permit back; a lost return expires at its endpoint."""
    link = context.links.link_to(place.endpoint.address)
    try:
        link.call(PermitReturn(place.grant.permit), Done, _RETURN_SECONDS)
    except TrestleError:
        context.metrics.count('permit_returns_lost')


def best_grant(
    context: EntryContext,
    ask: PermitAsk,
    chosen: list[EndpointInfo],
    record: RequestRecord,
) -> tuple[Place | None, TrestleError]:
    answers = _ask_all(context, ask, chosen)
    grants = [
        Place(answer.endpoint, answer.grant)
        for answer in answers
        if answer.grant
    ]
    refusals = [answer.refusal for answer in answers if answer.refusal]
    record.note(
        'ask',
        granted={
            place.endpoint.host: place.grant.first_token_ms for place in grants
        },
        refused=[refusal.code.code for refusal in refusals],
    )
    if not grants:
        refusal = refusals[0] if refusals else TrestleError(OVERLOADED)
        return None, refusal
    grants.sort(key=_cost_ms)
    for spare in grants[1:]:
        spawn(return_permit, context, spare)
    return grants[0], TrestleError(OVERLOADED)


def _cost_ms(place: Place) -> int:
    # All granted places are in time. The engine's time for the prompt counts
    # twice, as it delays whoever comes next: a cached prefix is worth a wait.
    return place.grant.first_token_ms + place.grant.prefill_ms


def _ask_all(
    context: EntryContext,
    ask: PermitAsk,
    chosen: list[EndpointInfo],
) -> list[AskResult]:
    """Ask side by side; a grant that comes too late is returned."""
    answers: SimpleQueue[AskResult] = SimpleQueue()
    decided: list[AskResult] = []
    closed = False

    def ask_one(endpoint: EndpointInfo) -> None:
        answer = _ask_endpoint(context, ask, endpoint)
        if closed and answer.grant:
            return_permit(context, Place(endpoint, answer.grant))
            return
        answers.put(answer)

    for endpoint in chosen:
        spawn(ask_one, endpoint)
    wait_seconds = context.settings.permit_timeout_ms / _MS_PER_SECOND
    try:
        while len(decided) < len(chosen):
            answer = answers.get(timeout=wait_seconds)
            decided.append(answer)
            if answer.grant:
                wait_seconds = min(wait_seconds, _SECOND_GRANT_SECONDS)
    except Empty:
        context.metrics.count('permit_asks_late')
    except BaseException:
        # The caller went away: what was granted meanwhile is not wanted.
        _return_grants(context, decided)
        raise
    finally:
        closed = True
        _return_grants(context, _waiting_answers(answers))
    return decided


def _waiting_answers(answers: SimpleQueue[AskResult]) -> list[AskResult]:
    return [answers.get() for _ in range(answers.qsize())]


def _return_grants(context: EntryContext, unused: list[AskResult]) -> None:
    for answer in unused:
        if answer.grant:
            spawn(return_permit, context, Place(answer.endpoint, answer.grant))


def _ask_endpoint(
    context: EntryContext,
    ask: PermitAsk,
    endpoint: EndpointInfo,
) -> AskResult:
    context.metrics.count('permit_asks')
    link = context.links.link_to(endpoint.address)
    estimate = context.estimates.of(endpoint.host)
    timeout_seconds = context.settings.permit_timeout_ms / _MS_PER_SECOND
    try:
        grant = link.call(ask, PermitGrant, timeout_seconds)
    except TrestleError as refusal:
        context.estimates.refused(endpoint.host, ask.priority)
        context.metrics.count('permit_refusals', refusal.code.code)
        return AskResult(endpoint, None, refusal)
    # Without the time of this very prompt: the next one is another.
    wait_ms = grant.first_token_ms - grant.prefill_ms
    estimate.learn(ask.priority, wait_ms)
    if grant.set_version > context.control.view.set_version:
        spawn(_fetch_set, context, endpoint)
    return AskResult(endpoint, grant, None)


def _fetch_set(context: EntryContext, endpoint: EndpointInfo) -> None:
    """Fetch a newer named set that a peer holds."""
    link = context.links.link_to(endpoint.address)
    version = context.control.view.set_version
    try:
        delta = link.call(FetchSet(version), SetDelta, _RETURN_SECONDS)
    except TrestleError:
        context.metrics.count('set_fetches_lost')
        return
    context.control.offer_set(delta)
