"""Assigns roles to engines by fenced orders, from the leader only.

The fencing number is the leader's term: a term has at most one leader, and
terms only grow. The orders of one poll all bear the term in which it began. A
new leader waits until the lease of its predecessor has expired, counted from
the last order that the predecessor may have had confirmed, and a quorum
confirms that term just before an order is sent, so a leader that was paused
or partitioned sends no orders.

An unanswered order may still be carried out later. No further order
is sent to the engine until the list shows the role or the wait expires. The
sequence number in the order makes a delayed duplicate invalid.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from time import monotonic
from typing import Final, NamedTuple

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.leader_terms import confirm_term, previous_lease_seconds
from trestle_control.load_table import LoadTable
from trestle_control.named_services import every_service
from trestle_control.replica_api import ReplicaApi
from trestle_control.split_policy import PoolLoad, WantedSplit, wanted_split
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import DECODE, PREFILL, Backend
from trestle_links.load_messages import BackendLoad

POLL_SECONDS: Final = 0.5
# Weight of one poll in the averages of a pool's load.
_LOAD_WEIGHT: Final = 0.3
# Orders of a leader to a pool that no load asks for.
_MAX_USUAL_ORDERS: Final = 16
# Longest time after which an unanswered order may still be carried out,
# including the change itself and the lag of the list.
_PENDING_ORDER_SECONDS: Final = 18.0

_log = part_logger('roles')


class RoleOrder(NamedTuple):
    """One order to one engine."""

    backend: Backend
    role: str
    holder: str
    fence: int


# Raises `TrestleError` if an order may not be sent any more.
ConfirmOrder = Callable[[], None]
# Returns whether the engine accepted; raises `OSError` or `ValueError`
# when it did not answer. Confirms the order right before its first byte.
SendOrder = Callable[[RoleOrder, ConfirmOrder], bool]


class EnginePool(NamedTuple):
    """The engines that can serve a request together.

    Those of one software version, as their KV cache fits no other one.
    """

    service: str
    software: str


class PendingRole(NamedTuple):
    """A role that an engine was ordered to take, and its expiry."""

    role: str
    expires_at: float


class LoadAverage:
    """Moving averages of the figures of `PoolLoad`."""

    def __init__(self) -> None:
        """Start without load."""
        self.prompts = 0.0
        self.decode_use = 0.0

    def note(self, prompts: float, decode_use: float) -> None:
        """Add the figures of one poll."""
        self.prompts += _LOAD_WEIGHT * (prompts - self.prompts)
        self.decode_use += _LOAD_WEIGHT * (decode_use - self.decode_use)


class DirectRoleManager:
    """Assigns the roles of the engines of every pool."""

    def __init__(
        self,
        send_order: SendOrder,
        host: str,
        lease_seconds: float,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        loads: LoadTable,
        metrics: Metrics,
    ) -> None:
        """Start without orders; `send_order` sends one to an engine."""
        self.send_order = send_order
        self.host = host
        self.lease_seconds = lease_seconds
        self.state_machine = state_machine
        self.replica = replica
        self.loads = loads
        self.metrics = metrics
        # Whether a service may have pools of engines.
        self.is_named: Callable[[str], bool] = every_service
        self.pending: dict[str, PendingRole] = {}
        # By pool: its size and the missing prefill engines, and since when.
        self.requested_changes: dict[
            EnginePool, tuple[tuple[int, int], float]
        ] = {}
        # By pool: the averages of its load, and the orders without a load.
        self.averages: dict[EnginePool, LoadAverage] = {}
        self.usual_orders: Counter[EnginePool] = Counter()

    def run(self) -> None:
        """Check every pool periodically while this host leads."""
        while True:
            sleep(POLL_SECONDS)
            self.poll()

    def poll(self) -> None:
        """Order the changes that the pools need, if this host leads."""
        self.loads.notices.follow(self.state_machine.state.backends)
        lead = self.replica.lead
        if lead.seconds <= previous_lease_seconds(
            lead.term, self.lease_seconds
        ):
            return
        pools = self._pools()
        self._forget_pools_except(pools)
        for pool, engines in pools.items():
            try:
                self._balance_pool(pool, engines, lead.term)
            except TrestleError as error:
                # Without the lead no further order may leave.
                _log.warning('Cannot order roles for {}: {}.', pool, error)
                return

    def _forget_pools_except(self, pools: Iterable[EnginePool]) -> None:
        """Drop what is known of pools whose engines have all left."""
        for pool in self.averages.keys() - set(pools):
            self.averages.pop(pool)
            self.requested_changes.pop(pool, None)
            self.usual_orders.pop(pool, None)

    def _pools(self) -> dict[EnginePool, list[Backend]]:
        pools: dict[EnginePool, list[Backend]] = {}
        for backend in self.state_machine.state.backends:
            if backend.role and self._may_order(backend):
                pool = EnginePool(backend.service, backend.software)
                pools.setdefault(pool, []).append(backend)
        return pools

    def _may_order(self, engine: Backend) -> bool:
        is_leaving = (
            engine.leaving or engine.instance in self.loads.notices.leaving
        )
        return not is_leaving and self.is_named(engine.service)

    def _balance_pool(
        self, pool: EnginePool, engines: list[Backend], term: int
    ) -> None:
        now = monotonic()
        roles = {
            engine.instance: self._expected_role(engine, now)
            for engine in engines
        }
        load = self._pool_load(pool, engines, roles)
        wanted = wanted_split(load)
        missing = wanted.prefill - load.prefill
        if not self._is_settled(pool, load, wanted, now) or not missing:
            return
        count = abs(missing)
        if wanted.is_usual:
            count = min(count, _MAX_USUAL_ORDERS - self.usual_orders[pool])
            self.usual_orders[pool] += count
        # The load must ask again before a further change.
        self.requested_changes.pop(pool)
        role = PREFILL if missing > 0 else DECODE
        for engine in self._engines_to_change(engines, roles, role)[:count]:
            self._order_role(engine, role, term)

    def _pool_load(
        self, pool: EnginePool, engines: list[Backend], roles: dict[str, str]
    ) -> PoolLoad:
        """Return the load of a pool, averaged over a few polls."""
        totals = self.loads.totals.totals
        prefill = [
            engine for engine in engines if roles[engine.instance] == PREFILL
        ]
        decode = [
            engine for engine in engines if roles[engine.instance] == DECODE
        ]
        idle = BackendLoad('')
        running = sum(
            totals.get(engine.instance, idle).running for engine in engines
        )
        prompts = sum(
            totals.get(engine.instance, idle).prompts for engine in prefill
        )
        decoding = sum(
            totals.get(engine.instance, idle).running for engine in decode
        )
        slots = sum(engine.slots for engine in decode)
        average = self.averages.setdefault(pool, LoadAverage())
        average.note(prompts / max(1, len(prefill)), decoding / max(1, slots))
        return PoolLoad(
            len(prefill),
            len(decode),
            average.prompts,
            average.decode_use,
            running,
        )

    def _is_settled(
        self,
        pool: EnginePool,
        load: PoolLoad,
        wanted: WantedSplit,
        now: float,
    ) -> bool:
        """Return whether a pool has needed the same change long enough."""
        requested = (load.engines, wanted.prefill - load.prefill)
        known, since = self.requested_changes.get(pool, (requested, now))
        if known != requested:
            since = now
        self.requested_changes[pool] = (requested, since)
        return now - since >= wanted.settle_seconds

    def _expected_role(self, engine: Backend, now: float) -> str:
        pending = self.pending.get(engine.instance)
        if pending is None:
            return engine.role
        if pending.role == engine.role or now > pending.expires_at:
            self.pending.pop(engine.instance)
            return engine.role
        return pending.role

    def _engines_to_change(
        self, engines: list[Backend], roles: dict[str, str], role: str
    ) -> list[Backend]:
        """Return the engines that could take a role, the best ones first."""
        running = self.loads.running_requests()
        candidates = [
            engine
            for engine in engines
            if roles[engine.instance] != role
            and engine.instance not in self.pending
            and not self.loads.notices.resting.seconds(engine.instance)
        ]
        # Least-loaded engines first, then the zone with the most candidates.
        candidates.sort(
            key=lambda engine: (
                running.get(engine.instance, 0),
                -_count_in_zone(candidates, engine.zone),
            )
        )
        return candidates

    def _order_role(self, engine: Backend, role: str, term: int) -> None:
        """Order a role; raises `TrestleError` without the lead in a term."""
        order = RoleOrder(engine, role, self.host, term)
        try:
            accepted = self.send_order(
                order, partial(confirm_term, self.replica, term)
            )
        except (OSError, ValueError) as error:
            _log.warning(
                'The role order to {} was not answered: {}.',
                engine.instance,
                error,
            )
            self.metrics.count('role_orders', 'unanswered')
            accepted = True
        _log.info(
            'Ordered {} to take the role {}: fence {}, accepted {}.',
            engine.instance,
            role,
            order.fence,
            accepted,
        )
        self.metrics.count('role_orders', role)
        if accepted:
            self.loads.changing_since[engine.instance] = monotonic()
            expires_at = monotonic() + _PENDING_ORDER_SECONDS
            self.pending[engine.instance] = PendingRole(role, expires_at)


def _count_in_zone(engines: list[Backend], zone: str) -> int:
    return sum(engine.zone == zone for engine in engines)
