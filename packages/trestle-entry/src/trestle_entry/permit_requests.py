"""Requests permits from several endpoints concurrently.

The grant with the lowest cost in time to the first token and engine time is
kept. Every other grant is returned, including those that arrive later.
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

_SECOND_GRANT_WAIT_SECONDS: Final = 0.02
_CALL_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class GrantedPermit(NamedTuple):
    """A permit and the endpoint that granted it."""

    endpoint: EndpointInfo
    grant: PermitGrant


class PermitResult(NamedTuple):
    """The reply of one endpoint: either a grant or a refusal."""

    endpoint: EndpointInfo
    grant: PermitGrant | None
    refusal: TrestleError | None


def return_permit(context: EntryContext, permit: GrantedPermit) -> None:
    """Return an unused permit; if that fails, it expires at its endpoint."""
    link = context.links.link_to(permit.endpoint.address)
    try:
        link.call(
            PermitReturn(permit.grant.permit), Done, _CALL_TIMEOUT_SECONDS
        )
    except TrestleError:
        context.metrics.count('permit_returns_lost')


def request_best_permit(
    context: EntryContext,
    ask: PermitAsk,
    endpoints: list[EndpointInfo],
    record: RequestRecord,
) -> tuple[GrantedPermit | None, TrestleError]:
    """Return the cheapest permit, or None; the error is the refusal then."""
    results = _request_all(context, ask, endpoints)
    permits = [
        GrantedPermit(result.endpoint, result.grant)
        for result in results
        if result.grant
    ]
    refusals = [result.refusal for result in results if result.refusal]
    record.note(
        'ask',
        granted={
            permit.endpoint.host: permit.grant.first_token_ms
            for permit in permits
        },
        refused=[refusal.code.code for refusal in refusals],
    )
    if not permits:
        refusal = refusals[0] if refusals else TrestleError(OVERLOADED)
        return None, refusal
    permits.sort(key=_cost_ms)
    for unused in permits[1:]:
        spawn(return_permit, context, unused)
    return permits[0], TrestleError(OVERLOADED)


def _cost_ms(permit: GrantedPermit) -> int:
    # All grants meet the deadline. The prefill time counts twice because it
    # also delays the requests that follow: a cached prefix justifies a wait.
    return permit.grant.first_token_ms + permit.grant.prefill_ms


def _request_all(
    context: EntryContext,
    ask: PermitAsk,
    endpoints: list[EndpointInfo],
) -> list[PermitResult]:
    """Request permits concurrently; return grants that come too late."""
    queue: SimpleQueue[PermitResult] = SimpleQueue()
    collected: list[PermitResult] = []
    closed = False

    def request_one(endpoint: EndpointInfo) -> None:
        result = _request_one(context, ask, endpoint)
        if closed and result.grant:
            return_permit(context, GrantedPermit(endpoint, result.grant))
            return
        queue.put(result)

    for endpoint in endpoints:
        spawn(request_one, endpoint)
    wait_seconds = context.settings.permit_timeout_ms / _MS_PER_SECOND
    try:
        while len(collected) < len(endpoints):
            result = queue.get(timeout=wait_seconds)
            collected.append(result)
            if result.grant:
                wait_seconds = min(wait_seconds, _SECOND_GRANT_WAIT_SECONDS)
    except Empty:
        context.metrics.count('permit_asks_late')
    except BaseException:
        # The caller disconnected: the permits granted so far are not needed.
        _return_grants(context, collected)
        raise
    finally:
        closed = True
        _return_grants(context, _drain_results(queue))
    return collected


def _drain_results(queue: SimpleQueue[PermitResult]) -> list[PermitResult]:
    return [queue.get() for _ in range(queue.qsize())]


def _return_grants(context: EntryContext, unused: list[PermitResult]) -> None:
    for result in unused:
        if result.grant:
            spawn(
                return_permit,
                context,
                GrantedPermit(result.endpoint, result.grant),
            )


def _request_one(
    context: EntryContext,
    ask: PermitAsk,
    endpoint: EndpointInfo,
) -> PermitResult:
    context.metrics.count('permit_asks')
    link = context.links.link_to(endpoint.address)
    estimate = context.estimates.for_host(endpoint.host)
    timeout_seconds = context.settings.permit_timeout_ms / _MS_PER_SECOND
    try:
        grant = link.call(ask, PermitGrant, timeout_seconds)
    except TrestleError as refusal:
        context.estimates.record_refusal(endpoint.host, ask.priority)
        context.metrics.count('permit_refusals', refusal.code.code)
        return PermitResult(endpoint, None, refusal)
    # Exclude the prefill time of this prompt: the next one will differ.
    wait_ms = grant.first_token_ms - grant.prefill_ms
    estimate.update(ask.priority, wait_ms)
    if grant.set_version > context.control.view.set_version:
        spawn(_fetch_set, context, endpoint)
    return PermitResult(endpoint, grant, None)


def _fetch_set(context: EntryContext, endpoint: EndpointInfo) -> None:
    """Fetch the newer named set of an endpoint."""
    link = context.links.link_to(endpoint.address)
    version = context.control.view.set_version
    try:
        delta = link.call(FetchSet(version), SetDelta, _CALL_TIMEOUT_SECONDS)
    except TrestleError:
        context.metrics.count('set_fetches_lost')
        return
    context.control.offer_set(delta)
