"""Steps on the split of a pool between prefill and decode."""

from behave import given, then, when
from behave.runner import Context

from features.steps.direct_roles_steps import make_roles
from trestle_control.split_policy import PoolLoad, wanted_split
from trestle_links.direct_messages import DECODE, PREFILL
from trestle_links.load_messages import BackendLoad

SLOTS = 32
PERCENT = 100


@given('a pool with {prefill:d} engines that read and {decode:d} that decode')
def step_pool(context: Context, prefill: int, decode: int) -> None:
    context.load = PoolLoad(prefill, decode, 0.0, 0.0, 0)


@given('{prompts:g} prompts at a reader, {use:d} percent of the slots in use')
def step_load(context: Context, prompts: float, use: int) -> None:
    context.load = context.load._replace(
        prompts=prompts, decode_use=use / PERCENT, running=int(use)
    )


@then('it wants {count:d} engines that read')
def step_wants(context: Context, count: int) -> None:
    wanted = wanted_split(context.load)
    assert wanted.prefill == count, wanted


def lead_pool(context: Context, engines: int, readers: int) -> None:
    """Make a leader whose first engines read."""
    make_roles(context, engines, is_leader=True)
    state = context.roles.state_machine.state
    state.backends = [
        backend._replace(
            role=PREFILL if number < readers else DECODE, slots=SLOTS
        )
        for number, backend in enumerate(state.backends)
    ]


@given(
    'a leader with {engines:d} engines of which {readers:d} read, under load'
)
def step_loaded(context: Context, engines: int, readers: int) -> None:
    lead_pool(context, engines, readers)
    run_at(context, PREFILL, 1)


@given(
    'a leader with {engines:d} engines of which {readers:d} read, without load'
)
def step_unloaded(context: Context, engines: int, readers: int) -> None:
    lead_pool(context, engines, readers)


def run_at(context: Context, role: str, requests: int) -> None:
    """Let requests run at each engine of a role."""
    loads = [
        BackendLoad(backend.instance, requests)
        for backend in context.roles.state_machine.state.backends
        if backend.role == role
    ]
    context.roles.loads.totals.apply('entry-1', loads)


@when('both engines that decode are leaving')
def step_leaving(context: Context) -> None:
    state = context.roles.state_machine.state
    state.backends = [
        backend._replace(leaving=backend.role == DECODE)
        for backend in state.backends
    ]


@when('{requests:d} requests run at each engine that decodes')
def step_running(context: Context, requests: int) -> None:
    run_at(context, DECODE, requests)


@when('no request runs any more')
def step_idle(context: Context) -> None:
    context.roles.loads.totals.drop('entry-1')


@then('{count:d} engine was ordered to {work}')
@then('{count:d} engines were ordered to {work}')
def step_ordered(context: Context, count: int, work: str) -> None:
    role = PREFILL if work == 'read' else DECODE
    ordered = [order for order in context.orders if order.role == role]
    assert len(ordered) == count, context.orders
    assert len(context.orders) == count, context.orders
