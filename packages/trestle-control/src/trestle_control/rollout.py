"""What the engines of a pool should have loaded, and which load comes next.

The set in force names a model version and adapters for each pool. An engine
whose loaded state is unknown is sent an order as well: its endpoint process
reports the order done immediately when the engine already has it loaded.

Invariants:

* at most `rollout_at_once` engines of a pool load at a time;
* a failed load halts the rollout of the pool until the next publication, so
  a bad version takes one engine out of service and not the whole pool.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from trestle_control.state import ControlState
from trestle_core.namedset import EnginePool, NamedSet
from trestle_links.fleet_messages import IssueOrder, Order, OrderState
from trestle_links.watch_messages import EndpointInfo

LOAD_MODEL: Final = 'load-model'
LOAD_ADAPTER: Final = 'load-adapter'


class RequiredLoad(NamedTuple):
    """A model version or an adapter that an engine should have loaded."""

    kind: str
    argument: str

    def label(self) -> str:
        """Return the form in which the state stores it."""
        return f'{self.kind} {self.argument}'


class RolloutStatus(NamedTuple):
    """The progress of one pool; `halted` is the order that failed."""

    pool: str
    version: str
    done: int
    engines: int
    halted: Order | None


def rollout_status(
    state: ControlState, name: str, pool: EnginePool
) -> RolloutStatus:
    """Return the rollout progress of a pool."""
    engines = _serving_engines(state, name)
    done = sum(
        next(_missing_loads(state, engine.host, pool), None) is None
        for engine in engines
    )
    return RolloutStatus(
        name,
        pool.version,
        done,
        len(engines),
        _failed_load_order(state, engines),
    )


def next_orders(
    state: ControlState, named_set: NamedSet, name: str
) -> Iterator[IssueOrder]:
    """Yield the load orders that the plan allows a pool to start now."""
    pool = named_set.pools[name]
    plan = named_set.plans[pool.plan]
    engines = _serving_engines(state, name)
    if _failed_load_order(state, engines):
        return
    free_slots = plan.rollout_at_once - sum(
        _is_outstanding(state, engine.host) for engine in engines
    )
    for engine in engines:
        required = next(_missing_loads(state, engine.host, pool), None)
        if required is None or _is_outstanding(state, engine.host):
            continue
        if free_slots <= 0:
            return
        free_slots -= 1
        cause = f'rollout of set version {state.set_version}'
        yield IssueOrder(engine.host, required.kind, required.argument, cause)


def _serving_engines(state: ControlState, pool: str) -> list[EndpointInfo]:
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.target == pool and endpoint.serving
    ]


def _missing_loads(
    state: ControlState, host: str, pool: EnginePool
) -> Iterator[RequiredLoad]:
    loaded = state.loaded.get(host, [])
    model = RequiredLoad(LOAD_MODEL, f'{pool.model}/{pool.version}')
    adapters = [
        RequiredLoad(LOAD_ADAPTER, adapter) for adapter in pool.adapters
    ]
    for required in (model, *adapters):
        if required.label() not in loaded:
            yield required


def _is_outstanding(state: ControlState, host: str) -> bool:
    order = state.orders.get(host)
    return order is not None and order.state is OrderState.ISSUED


def _failed_load_order(
    state: ControlState, engines: list[EndpointInfo]
) -> Order | None:
    """Return a load order that failed after the last publication, if any."""
    current = state.current_set
    published = current.log_index if current else 0
    for engine in engines:
        order = state.orders.get(engine.host)
        if order is None or order.fencing < published:
            continue
        is_load = order.kind in {LOAD_MODEL, LOAD_ADAPTER}
        if is_load and order.state is OrderState.FAILED:
            return order
    return None
