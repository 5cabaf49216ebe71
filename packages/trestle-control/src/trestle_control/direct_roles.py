"""Gives engines their roles by fenced orders, from the leader only.

The fencing number is the leader's term: a term has one leader, and terms
grow. A new leader waits out the lease of the one before, and each order is
sent behind a read barrier that began just before it, so a leader that stood
still or was cut off orders nothing. An order without an answer may still be
carried out later; the engine is left alone until it shows the role or the
wait is over, and the sequence number in the order spoils a late double.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from gevent import sleep

from trestle_control.apply import ControlMachine
from trestle_control.load_table import LoadTable
from trestle_control.replica_api import ReplicaApi
from trestle_control.split_policy import common_prefill
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import DECODE, PREFILL, Backend

LOOK_SECONDS: Final = 0.5
# How long a pool must ask for the same change: an engine that crashed is
# back before that.
_ASKED_SECONDS: Final = 4.0
# The same while no request is in work: the list fills up within a second of
# a start.
_ASKED_IDLE_SECONDS: Final = 1.8
# Longest time after which an unanswered order may be carried out, with the
# change itself and the lag of the list.
_ORDER_OPEN_SECONDS: Final = 18.0
_BARRIER_SECONDS: Final = 0.5

_log = part_logger('roles')


class RoleOrder(NamedTuple):
    """One order to one engine."""

    backend: Backend
    role: str
    holder: str
    fence: int


# Returns whether the engine accepted; raises `OSError` or `ValueError`
# when it did not answer.
SendOrder = Callable[[RoleOrder], bool]


class Pending(NamedTuple):
    """A role that an engine was ordered to take, and until when to wait."""

    role: str
    until: float


class DirectRoles:
    """Roles of the engines of every pool."""

    def __init__(
        self,
        send: SendOrder,
        host: str,
        lease_seconds: float,
        machine: ControlMachine,
        replica: ReplicaApi,
        loads: LoadTable,
        metrics: Metrics,
    ) -> None:
        """Prepare; `send` reaches an engine."""
        self.send = send
        self.host = host
        self.lease_seconds = lease_seconds
        self.machine = machine
        self.replica = replica
        self.loads = loads
        self.metrics = metrics
        self.pending: dict[str, Pending] = {}
        # Size of a pool and the change it asks for, and since when.
        self.asked: dict[str, tuple[tuple[int, int], float]] = {}

    def run(self) -> None:
        """Look at every pool while this host leads."""
        while True:
            sleep(LOOK_SECONDS)
            self.look()

    def look(self) -> None:
        """Order what the pools ask for, if this host leads."""
        if self.replica.leading_seconds <= self._wait_seconds():
            return
        for pool, engines in self._pools().items():
            self._look_at(pool, engines)

    def _wait_seconds(self) -> float:
        # The first leader has no one before it.
        return 0.0 if self.replica.term <= 1 else self.lease_seconds

    def _pools(self) -> dict[str, list[Backend]]:
        pools: dict[str, list[Backend]] = {}
        for backend in self.machine.state.backends:
            if backend.role and not backend.leaving:
                pools.setdefault(backend.service, []).append(backend)
        return pools

    def _look_at(self, pool: str, engines: list[Backend]) -> None:
        now = monotonic()
        roles = {
            engine.instance: self._role_of(engine, now) for engine in engines
        }
        prefill = sum(role == PREFILL for role in roles.values())
        wanted = common_prefill(len(engines))
        if not self._is_settled(pool, len(engines), wanted - prefill, now):
            return
        if wanted != prefill:
            role = PREFILL if wanted > prefill else DECODE
            self._change(engines, roles, role, abs(wanted - prefill))

    def _is_settled(
        self, pool: str, engines: int, missing: int, now: float
    ) -> bool:
        """Tell whether a pool has asked for the same change for a while."""
        asked = (engines, missing)
        known, since = self.asked.get(pool, (asked, now))
        if known != asked:
            since = now
        self.asked[pool] = (asked, since)
        wait_seconds = (
            _ASKED_SECONDS if self.loads.running() else _ASKED_IDLE_SECONDS
        )
        return now - since >= wait_seconds

    def _role_of(self, engine: Backend, now: float) -> str:
        pending = self.pending.get(engine.instance)
        if pending is None:
            return engine.role
        if pending.role == engine.role or now > pending.until:
            self.pending.pop(engine.instance)
            return engine.role
        return pending.role

    def _change(
        self,
        engines: list[Backend],
        roles: dict[str, str],
        role: str,
        count: int,
    ) -> None:
        running = self.loads.running()
        candidates = [
            engine
            for engine in engines
            if roles[engine.instance] != role
            and engine.instance not in self.pending
        ]
        # The zone with most engines of the other role gives one first.
        candidates.sort(
            key=lambda engine: (
                running.get(engine.instance, 0),
                -_in_zone(candidates, engine.zone),
            )
        )
        for engine in candidates[:count]:
            self._order(engine, role)

    def _order(self, engine: Backend, role: str) -> None:
        try:
            self.replica.read_barrier(_BARRIER_SECONDS)
        except TrestleError as error:
            _log.warning('No order to {}: {}.', engine.instance, error)
            return
        order = RoleOrder(engine, role, self.host, self.replica.term)
        try:
            accepted = self.send(order)
        except (OSError, ValueError) as error:
            _log.warning(
                'Order to {} has no answer: {}.', engine.instance, error
            )
            self.metrics.count('role_orders', 'unanswered')
            accepted = True
        _log.info(
            '{} ordered to {}: fence {}, accepted {}.',
            engine.instance,
            role,
            order.fence,
            accepted,
        )
        self.metrics.count('role_orders', role)
        if accepted:
            self.loads.changing[engine.instance] = monotonic()
            until = monotonic() + _ORDER_OPEN_SECONDS
            self.pending[engine.instance] = Pending(role, until)


def _in_zone(engines: list[Backend], zone: str) -> int:
    return sum(engine.zone == zone for engine in engines)
