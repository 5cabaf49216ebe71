"""Runs the role policy on the leader and issues its orders.

Each tick takes the nodes' figures, moves the pools' averages, and asks the
policy for at most one change of one pool. Invariants:

* a pool has at most one change under way;
* after a change the pool keeps its roles for the plan's dwell time;
* an order is issued through the log, with the figures it rests on.

The averages are kept on every member, so a new leader decides on figures and
not from nothing.
"""

from collections.abc import Iterable
from statistics import median
from time import monotonic
from typing import Final, Self

from gevent import sleep

from trestle_control.apply import ControlMachine
from trestle_control.demand_estimate import Load, PoolDemand, TokenCounters
from trestle_control.node_table import NodeTable
from trestle_control.published_set import published_set_reader
from trestle_control.replica_api import ReplicaApi
from trestle_control.role_policy import (
    PoolFigures,
    Proposal,
    Propose,
    propose_by_plan,
    propose_by_threshold,
    propose_never,
)
from trestle_control.split_model import EngineRates, Split
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.namedset import EnginePool, NamedSet, Plan
from trestle_core.settings import ControlSettings
from trestle_links.fleet_messages import IssueOrder, OrderReply, OrderState
from trestle_links.watch_messages import EndpointInfo

TICK_SECONDS: Final = 1.0
_SUBMIT_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000
_CHANGE_WEIGHT: Final = 0.3
_FIRST_CHANGE_SECONDS: Final = 5.0
_FIRST_PREFILL_RATE: Final = 8000.0
_FIRST_DECODE_RATE: Final = 800.0

_log = part_logger('roles')

POLICIES: Final[dict[str, Propose]] = {
    'plan': propose_by_plan,
    'never': propose_never,
    'threshold': propose_by_threshold,
}


class PoolChange:
    """The change of a pool that is under way, or the last one."""

    def __init__(self) -> None:
        """Start with no change."""
        self.endpoint = ''
        self.issued_at = 0.0
        self.under_way = False
        self.kept_until = 0.0
        self.seconds = _FIRST_CHANGE_SECONDS


class RoleManager:
    """Averages, changes under way, and the greenlet that decides."""

    def __init__(
        self,
        propose: Propose,
        machine: ControlMachine,
        replica: ReplicaApi,
        nodes: NodeTable,
        metrics: Metrics,
    ) -> None:
        """Follow nothing yet."""
        self.propose = propose
        self.machine = machine
        self.read_set = published_set_reader(machine.state)
        self.replica = replica
        self.nodes = nodes
        self.metrics = metrics
        self.counters = TokenCounters()
        self.demands: dict[str, PoolDemand] = {}
        self.changes: dict[str, PoolChange] = {}
        self.ticked_at = monotonic()

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        machine: ControlMachine,
        replica: ReplicaApi,
        nodes: NodeTable,
        metrics: Metrics,
    ) -> Self:
        """Make a manager with the policy that the settings name."""
        propose = POLICIES[settings.role_policy]
        return cls(propose, machine, replica, nodes, metrics)

    def run(self) -> None:
        """Observe, and decide while this host leads, for ever."""
        while True:
            sleep(TICK_SECONDS)
            try:
                self._tick()
            except TrestleError as error:
                _log.warning('No role change: {}.', error)
            except Exception:
                # A fault of the policy must not end the leader's duty.
                _log.exception('The role policy failed.')

    def _tick(self) -> None:
        named_set = self.read_set()
        if named_set is None:
            return
        self._observe(named_set)
        if not self.replica.is_leader:
            return
        for name, pool in named_set.pools.items():
            plan = named_set.plans[pool.plan]
            if plan.disaggregated:
                self._decide(name, pool, plan)

    def _observe(self, named_set: NamedSet) -> None:
        now = monotonic()
        seconds = now - self.ticked_at
        self.ticked_at = now
        taken = self.counters.take(self.nodes.reports())
        for name, pool in named_set.pools.items():
            horizon = named_set.plans[pool.plan].horizon_ms / _MS_PER_SECOND
            demand = self.demands.get(name)
            if demand is None or demand.horizon_seconds != horizon:
                demand = PoolDemand(horizon)
                self.demands[name] = demand
            tokens = taken.get(name, Load(0, 0))
            load = Load(tokens.prefill / seconds, tokens.decode / seconds)
            demand.observe(load, seconds)

    def _decide(self, name: str, pool: EnginePool, plan: Plan) -> None:
        change = self.changes.setdefault(name, PoolChange())
        engines = self._engines(name)
        if self._is_busy(change, engines, plan):
            return
        figures = PoolFigures(
            pool=name,
            plan=plan,
            split=_split_of(engines),
            demand=self.demands[name],
            rates=self._rates(engines),
            change_seconds=change.seconds,
        )
        proposal = self.propose(figures)
        if proposal:
            self._issue(change, engines, proposal)

    def _engines(self, pool: str) -> list[EndpointInfo]:
        return [
            endpoint
            for endpoint in self.machine.state.endpoints.values()
            if endpoint.target == pool and endpoint.serving
        ]

    def _is_busy(
        self, change: PoolChange, engines: list[EndpointInfo], plan: Plan
    ) -> bool:
        """Tell whether a change is under way or the last one is young."""
        orders = self.machine.state.orders
        outstanding = any(
            orders[engine.host].state is OrderState.ISSUED
            for engine in engines
            if engine.host in orders
        )
        now = monotonic()
        if outstanding:
            # Orders of an earlier leader count as well.
            change.under_way = True
            change.kept_until = now + plan.dwell_ms / _MS_PER_SECOND
            return True
        if change.under_way:
            change.under_way = False
            self._learn_length(change, now)
        return now < change.kept_until

    def _learn_length(self, change: PoolChange, now: float) -> None:
        if change.issued_at:
            length = now - change.issued_at
            change.seconds += (length - change.seconds) * _CHANGE_WEIGHT
            change.issued_at = 0.0

    def _rates(self, engines: list[EndpointInfo]) -> EngineRates:
        hosts = {engine.host for engine in engines}
        readers = {
            engine.host for engine in engines if engine.engine_role != 'decode'
        }
        return EngineRates(
            self._figure('prefill_rate', readers, _FIRST_PREFILL_RATE),
            self._figure('decode_rate', hosts, _FIRST_DECODE_RATE),
        )

    def _figure(self, name: str, hosts: set[str], default: float) -> float:
        values = [
            report.figures[name]
            for report in self.nodes.reports()
            if report.host in hosts and report.figures.get(name)
        ]
        return median(values) if values else default

    def _issue(
        self,
        change: PoolChange,
        engines: list[EndpointInfo],
        proposal: Proposal,
    ) -> None:
        running = {
            report.host: report.figures.get('running', 0)
            for report in self.nodes.reports()
        }
        fitting = [
            engine.host
            for engine in engines
            if engine.engine_role == proposal.source
        ]
        host = min(fitting, key=lambda name: running.get(name, 0))
        command = IssueOrder(host, 'set-role', proposal.target, proposal.cause)
        reply = self.replica.submit(command, _SUBMIT_SECONDS)
        if isinstance(reply, OrderReply) and reply.accepted:
            change.endpoint = host
            change.issued_at = monotonic()
            change.under_way = True
            self.metrics.count('role_changes', proposal.target)
            _log.info('{} becomes {}: {}.', host, *proposal[1:])


def _split_of(engines: Iterable[EndpointInfo]) -> Split:
    roles = [engine.engine_role for engine in engines]
    return Split(
        roles.count('prefill'), roles.count('decode'), roles.count('mixed')
    )
