"""Chooses the back end of a plain service for one send."""

from typing import Final

from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    OVERLOADED,
)
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.request_run import RequestRun, make_failure
from trestle_entry.direct.request_sends import make_no_backend_failure
from trestle_links.direct_messages import Backend

# Cost of another zone, in running requests.
_OTHER_ZONE_COST: Final = 0.6
# Requests at a back end, in multiples of its slots, above which the wait in
# its queue would exceed most callers' deadlines.
_QUEUE_FACTOR: Final = 2.5
_MIN_SLOTS: Final = 2


def choose_backend(run: RequestRun) -> Backend:
    """Return the back end for the next send.

    Raises `TrestleError` without one, or when the request would come too late.
    """
    context = run.context
    candidates = run.usable()
    if not candidates and run.avoided:
        candidates = run.untried_again()
    if not candidates:
        raise make_no_backend_failure(
            run, f'no back end for {run.service.name}'
        )
    if run.remaining_ms <= 0:
        raise make_failure(
            run,
            DEADLINE_UNREACHABLE,
            'the deadline passed before the next send',
        )
    chosen = min(candidates, key=lambda backend: _cost(run, backend))
    running = context.loads.running_at(chosen.instance)
    slots = max(_MIN_SLOTS, chosen.slots)
    room = slots * _QUEUE_FACTOR * run.room_part
    if running >= room and not run.runs:
        raise RefusedError(
            OVERLOADED,
            f'{running:.0f} requests at a back end with {slots} slots',
        )
    return chosen


def _cost(run: RequestRun, backend: Backend) -> tuple[float, float]:
    context = run.context
    cost = float(context.loads.running_at(backend.instance))
    if backend.zone != context.settings.zone:
        cost += _OTHER_ZONE_COST
    return cost, context.random.random()
