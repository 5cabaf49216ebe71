"""What a pool's engines should have loaded, and which one comes next.

The set in force names a model version and adapters for each pool. An engine
whose loaded state is not known gets the order as well: its endpoint process
answers at once when the engine already is as the order wants it.

Invariants:

* at most `rollout_at_once` engines of a pool load at a time;
* a load that failed halts the pool's rollout until the next publication, so
  a bad version takes away one engine and not the pool.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from trestle_control.state import ControlState
from trestle_core.namedset import EnginePool, NamedSet
from trestle_links.fleet_messages import IssueOrder, Order, OrderState
from trestle_links.watch_messages import EndpointInfo

LOAD_MODEL: Final = 'load-model'
LOAD_ADAPTER: Final = 'load-adapter'


class Wanted(NamedTuple):
    """One thing that an engine should have loaded."""

    kind: str
    argument: str

    def label(self) -> str:
        """Return the form that the state keeps."""
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
    """Return how far a pool is."""
    engines = _engines(state, name)
    done = sum(
        next(_missing(state, engine.host, pool), None) is None
        for engine in engines
    )
    return RolloutStatus(
        name, pool.version, done, len(engines), _failed_order(state, engines)
    )


def next_orders(
    state: ControlState, named_set: NamedSet, name: str
) -> Iterator[IssueOrder]:
    """Yield the orders that the plan lets a pool begin now."""
    pool = named_set.pools[name]
    plan = named_set.plans[pool.plan]
    engines = _engines(state, name)
    if _failed_order(state, engines):
        return
    room = plan.rollout_at_once - sum(
        _is_outstanding(state, engine.host) for engine in engines
    )
    for engine in engines:
        wanted = next(_missing(state, engine.host, pool), None)
        if wanted is None or _is_outstanding(state, engine.host):
            continue
        if room <= 0:
            return
        room -= 1
        cause = f'rollout of set version {state.set_version}'
        yield IssueOrder(engine.host, wanted.kind, wanted.argument, cause)


def _engines(state: ControlState, pool: str) -> list[EndpointInfo]:
    return [
        endpoint
        for endpoint in state.endpoints.values()
        if endpoint.target == pool and endpoint.serving
    ]


def _missing(
    state: ControlState, host: str, pool: EnginePool
) -> Iterator[Wanted]:
    loaded = state.loaded.get(host, [])
    model = Wanted(LOAD_MODEL, f'{pool.model}/{pool.version}')
    adapters = [Wanted(LOAD_ADAPTER, adapter) for adapter in pool.adapters]
    for wanted in (model, *adapters):
        if wanted.label() not in loaded:
            yield wanted


def _is_outstanding(state: ControlState, host: str) -> bool:
    order = state.orders.get(host)
    return order is not None and order.state is OrderState.ISSUED


def _failed_order(
    state: ControlState, engines: list[EndpointInfo]
) -> Order | None:
    """Return a load that failed since the set in force was published."""
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
