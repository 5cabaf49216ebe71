"""Plans the next send of a model request, and admits it or refuses it."""

from typing import Final

from trestle_core.errorcodes import (
    DEADLINE_UNREACHABLE,
    OVERLOADED,
)
from trestle_entry.direct.admission import Prediction, check_admission
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.placement import Plan, plan_request
from trestle_entry.direct.prefill_work import PlacementRequest
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.request_run import make_failure
from trestle_entry.direct.request_sends import make_no_backend_failure
from trestle_links.direct_messages import PREFILL

# Prefill calls of one request that reach an engine.
MAX_PREFILLS: Final = 2
# Logged for loads that were never received.
_MAX_LOGGED_AGE_MS: Final = 1_000_000


def plan_run(run: ModelRun, *, admit: bool) -> Plan:
    """Return the engines for the next send of a request.

    Raises `TrestleError`: without a usable engine, and if `admit` is set, when
    the request cannot be served in time.
    """
    context = run.context
    engines = run.usable()
    if run.prefills >= MAX_PREFILLS:
        engines = [engine for engine in engines if engine.role != PREFILL]
    # The first prefill may have failed because of a copy from a bad engine.
    plan = plan_request(
        engines,
        context.loads,
        placement_request(run),
        may_copy=not run.prefills,
    )
    if plan is None:
        raise make_no_backend_failure(
            run, f'no usable engine for {_pool_name(run)}'
        )
    if admit:
        _admit(run, plan)
    elif run.remaining_ms <= 0:
        raise make_failure(
            run,
            DEADLINE_UNREACHABLE,
            'the deadline passed before the next send',
        )
    run.hold_place(plan.decode_engine.instance)
    return plan


def placement_request(run: ModelRun) -> PlacementRequest:
    """Return what placement has to know of the request."""
    engine = run.service.engine
    transfer_ms_per_token = engine.ms_per_token_moved if engine else 0.0
    return PlacementRequest(
        run.demand,
        run.context.settings.zone,
        transfer_ms_per_token,
        engine.kv_tokens if engine else 0,
    )


def _admit(run: ModelRun, plan: Plan) -> None:
    speeds = run.context.loads.speeds
    common_ms = speeds.note_planned(
        run.service.name, plan.first_token_ms - plan.wait_ms
    )
    prediction = Prediction(
        plan.wait_ms,
        common_ms,
        plan.first_token_ms,
        run.route.target_ms,
        run.remaining_ms,
        run.room_part,
    )
    run.trace.fields['predicted_ms'] = round(plan.first_token_ms)
    age_ms = min(run.context.loads.shared.age_ms, _MAX_LOGGED_AGE_MS)
    run.trace.fields['load_age_ms'] = round(age_ms)
    refusal = check_admission(prediction, run.context.random.random())
    if refusal:
        code = DEADLINE_UNREACHABLE
        if refusal.reason == 'overload':
            code = OVERLOADED
        text = f'{plan.first_token_ms:.0f} ms predicted until the first token'
        raise RefusedError(code, text, refusal.retry_after)


def _pool_name(run: ModelRun) -> str:
    if run.software is None:
        return run.service.name
    return f'{run.service.name} at software {run.software or "unknown"}'
