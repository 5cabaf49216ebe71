"""Steps on pools whose engines run several software versions."""

from collections import Counter
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.steps.direct_roles_steps import make_roles
from testbed.placement_cases import LONG, long_prompt, plan
from testbed.stream_runs import EVENTS, StreamEngines, backend_named
from trestle_entry.direct import model_dispatch
from trestle_entry.direct.prompt_prefill import KvHandle
from trestle_links.direct_messages import DECODE, PREFILL, Backend

OTHER_SOFTWARE = 'v2'
READER = backend_named('read-v1-0', is_engine=True)
READERS = {
    'readers 0 to 2': {0, 1, 2},
    'decoders 0 to 1': set(),
    'readers 3 to 5 and decoder 2': {3, 4, 5},
    'all readers': set(range(6)),
}
DECODERS = {'decoders 0 to 1': {0, 1}, 'readers 3 to 5 and decoder 2': {2}}


@given('{which} are of another software version')
def step_other_version(context: Context, which: str) -> None:
    """Change the software of some engines."""
    named = {f'prefill-{number}' for number in READERS[which]}
    named |= {f'decode-{number}' for number in DECODERS.get(which, set())}
    context.engines = [
        backend._replace(
            software=OTHER_SOFTWARE if backend.instance in named else 'v1'
        )
        for backend in context.engines
    ]


@when('{count:d} different prompts and the long one are planned')
def step_plan_many(context: Context, count: int) -> None:
    """Plan prompts of which one is known to an engine."""
    prompts = [LONG, *map(long_prompt, range(count))]
    context.plans = [plan(context, context.loads, need) for need in prompts]


@then('no plan has engines of two software versions')
def step_one_version(context: Context) -> None:
    """Check the engines that read and answer."""
    for planned in context.plans:
        if planned.prefill_engine:
            versions = {
                planned.prefill_engine.software,
                planned.decode_engine.software,
            }
            assert len(versions) == 1, planned


@then('no plan copies between software versions')
def step_no_copy_between(context: Context) -> None:
    """Check the sources of copies."""
    for planned in context.plans:
        source = planned.work.source
        assert source is None or (
            source.software == planned.prefill_engine.software
        ), planned


@given(
    'a request whose prompt is read at "{first}" while the engines of '
    '"{same}" leave'
)
def step_leaves(context: Context, first: str, same: str) -> None:
    """Prepare engines of two versions; those of the first are preferred."""
    assert first == same
    engines = StreamEngines({f'read-{first}': 1, f'write-{first}': 1})
    others = {'write-v2': 2}
    context.engines = engines
    context.freed = []

    def read(_run: Any, planned: Any) -> KvHandle | None:
        reader = planned.prefill_engine
        if reader is None:
            return None
        engines.list_engines(others)
        return KvHandle(reader, 'h1')

    context.read = read


@when('its stream is opened')
def step_opened(context: Context) -> None:
    """Serve it; the prompt is planned to be read apart."""

    def free(_context: Any, handle: KvHandle) -> None:
        context.freed.append(handle)

    engines = context.engines
    # The prompt is too long for an engine with streams.
    engines.context.loads.own.add_running('write-v1-0', 40)
    with patch.object(model_dispatch, 'free_handle', free):
        context.relayed = engines.serve(read=context.read)


@then(
    'its KV cache is freed and it is served at "{software}" from its beginning'
)
def step_served(context: Context, software: str) -> None:
    """Check the handle and the stream."""
    assert context.freed == [KvHandle(READER, 'h1')]
    sends = context.engines.sends
    assert [send.software for send in sends] == [software], sends
    assert context.relayed.whole
    assert context.relayed.ids == list(range(1, EVENTS + 1))


@given(
    'a leader with {old:d} engines of "{first}" and {new:d} of "{second}", all '
    'of "{same}" with the role "{role}"'
)
def step_versions(
    context: Context,
    old: int,
    first: str,
    new: int,
    second: str,
    same: str,
    role: str,
) -> None:
    """Make a leader; the engines of the first version are split in two."""
    assert same == second
    make_roles(context, 0, is_leader=True)
    old_engines = [
        pool_engine(first, number, PREFILL if number < 3 else DECODE)
        for number in range(old)
    ]
    new_engines = [pool_engine(second, number, role) for number in range(new)]
    context.backends = [*old_engines, *new_engines]
    context.roles.state_machine.state.backends = context.backends


def pool_engine(software: str, number: int, role: str) -> Backend:
    """Return an engine of a version."""
    return Backend(
        f'{software}-{number}', 'llm', 'a:1', 'z', False, role, 64, software
    )


@then('{count:d} engines of "{software}" were ordered another role')
def step_ordered(context: Context, count: int, software: str) -> None:
    """Count the orders to one version."""
    ordered = [
        order for order in context.orders if order.backend.software == software
    ]
    assert len(ordered) == count, context.orders


@then('of "{software}" at least one engine has each role')
def step_each_role(context: Context, software: str) -> None:
    """Check the roles after all orders."""
    roles = {
        backend.instance: backend.role
        for backend in context.backends
        if backend.software == software
    }
    roles.update(
        (order.backend.instance, order.role)
        for order in context.orders
        if order.backend.software == software
    )
    counts = Counter(roles.values())
    assert counts[PREFILL] and counts[DECODE], roles
