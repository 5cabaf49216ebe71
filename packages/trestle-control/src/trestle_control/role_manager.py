"""Runs the role policy on the leader and issues role orders.

Each tick reads the reports of the nodes, updates the averages of the pools
and evaluates the policy for every disaggregated pool. Invariants:

* a pool has at most one role change in progress;
* after a change the pool keeps its roles for the plan's dwell time;
* an order is issued through the log, with the figures that justify it.

Every member updates the averages, so that a new leader can decide immediately
instead of starting without data.
"""

from collections.abc import Iterable
from statistics import median
from time import monotonic
from typing import Final, Self

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.demand_estimate import Load, PoolDemand, TokenCounters
from trestle_control.node_table import NodeTable
from trestle_control.published_set import published_set_reader
from trestle_control.replica_api import ReplicaApi
from trestle_control.role_policy import (
    PoolFigures,
    Proposal,
    RolePolicy,
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
_SUBMIT_TIMEOUT_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000
_DURATION_WEIGHT: Final = 0.3
_DEFAULT_CHANGE_SECONDS: Final = 5.0
_DEFAULT_PREFILL_RATE: Final = 8000.0
_DEFAULT_DECODE_RATE: Final = 800.0

_log = part_logger('roles')

POLICIES: Final[dict[str, RolePolicy]] = {
    'plan': propose_by_plan,
    'never': propose_never,
    'threshold': propose_by_threshold,
}


class RoleChange:
    """The role change of a pool that is in progress, or the last one."""

    def __init__(self) -> None:
        """Start with no change."""
        self.endpoint = ''
        self.issued_at = 0.0
        self.is_in_progress = False
        self.dwell_until = 0.0
        self.expected_seconds = _DEFAULT_CHANGE_SECONDS


class RoleManager:
    """Averages, changes in progress, and the greenlet that decides."""

    def __init__(
        self,
        policy: RolePolicy,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        nodes: NodeTable,
        metrics: Metrics,
    ) -> None:
        """Start without averages or changes."""
        self.policy = policy
        self.state_machine = state_machine
        self.read_set = published_set_reader(state_machine.state)
        self.replica = replica
        self.nodes = nodes
        self.metrics = metrics
        self.token_counters = TokenCounters()
        self.demands: dict[str, PoolDemand] = {}
        self.changes: dict[str, RoleChange] = {}
        self.last_tick_at = monotonic()

    @classmethod
    def from_config(
        cls,
        settings: ControlSettings,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        nodes: NodeTable,
        metrics: Metrics,
    ) -> Self:
        """Create a manager with the policy that the settings name."""
        policy = POLICIES[settings.role_policy]
        return cls(policy, state_machine, replica, nodes, metrics)

    def run(self) -> None:
        """Update the averages; decide on changes while this host leads."""
        while True:
            sleep(TICK_SECONDS)
            try:
                self._tick()
            except TrestleError as error:
                _log.warning('Cannot change a role: {}.', error)
            except Exception:
                # An error in the policy must not end this greenlet.
                _log.exception('The role policy failed.')

    def _tick(self) -> None:
        named_set = self.read_set()
        if named_set is None:
            return
        self._observe(named_set)
        term = self.replica.lead.term
        if not term:
            return
        for name, pool in named_set.pools.items():
            plan = named_set.plans[pool.plan]
            if plan.disaggregated:
                self._decide(name, pool, plan, term)

    def _observe(self, named_set: NamedSet) -> None:
        now = monotonic()
        seconds = now - self.last_tick_at
        self.last_tick_at = now
        tokens_by_pool = self.token_counters.take_increments(
            self.nodes.reports()
        )
        for name, pool in named_set.pools.items():
            horizon_seconds = (
                named_set.plans[pool.plan].horizon_ms / _MS_PER_SECOND
            )
            demand = self.demands.get(name)
            if demand is None or demand.horizon_seconds != horizon_seconds:
                demand = PoolDemand(horizon_seconds)
                self.demands[name] = demand
            tokens = tokens_by_pool.get(name, Load(0, 0))
            load = Load(tokens.prefill / seconds, tokens.decode / seconds)
            demand.observe(load, seconds)

    def _decide(
        self, name: str, pool: EnginePool, plan: Plan, term: int
    ) -> None:
        change = self.changes.setdefault(name, RoleChange())
        engines = self._serving_engines(name)
        if self._must_wait(change, engines, plan):
            return
        figures = PoolFigures(
            pool=name,
            plan=plan,
            split=_count_roles(engines),
            demand=self.demands[name],
            rates=self._rates(engines),
            change_seconds=change.expected_seconds,
        )
        proposal = self.policy(figures)
        if proposal:
            self._issue_order(change, engines, proposal, term)

    def _serving_engines(self, pool: str) -> list[EndpointInfo]:
        return [
            endpoint
            for endpoint in self.state_machine.state.endpoints.values()
            if endpoint.target == pool and endpoint.serving
        ]

    def _must_wait(
        self, change: RoleChange, engines: list[EndpointInfo], plan: Plan
    ) -> bool:
        """Return whether a change is in progress or its dwell time runs."""
        orders = self.state_machine.state.orders
        outstanding = any(
            orders[engine.host].state is OrderState.ISSUED
            for engine in engines
            if engine.host in orders
        )
        now = monotonic()
        if outstanding:
            # This includes orders of an earlier leader.
            change.is_in_progress = True
            change.dwell_until = now + plan.dwell_ms / _MS_PER_SECOND
            return True
        if change.is_in_progress:
            change.is_in_progress = False
            self._record_duration(change, now)
        return now < change.dwell_until

    def _record_duration(self, change: RoleChange, now: float) -> None:
        if change.issued_at:
            duration_seconds = now - change.issued_at
            change.expected_seconds += (
                duration_seconds - change.expected_seconds
            ) * _DURATION_WEIGHT
            change.issued_at = 0.0

    def _rates(self, engines: list[EndpointInfo]) -> EngineRates:
        hosts = {engine.host for engine in engines}
        prefill_hosts = {
            engine.host for engine in engines if engine.engine_role != 'decode'
        }
        return EngineRates(
            self._median_figure(
                'prefill_rate', prefill_hosts, _DEFAULT_PREFILL_RATE
            ),
            self._median_figure('decode_rate', hosts, _DEFAULT_DECODE_RATE),
        )

    def _median_figure(
        self, name: str, hosts: set[str], default: float
    ) -> float:
        values = [
            report.figures[name]
            for report in self.nodes.reports()
            if report.host in hosts and report.figures.get(name)
        ]
        return median(values) if values else default

    def _issue_order(
        self,
        change: RoleChange,
        engines: list[EndpointInfo],
        proposal: Proposal,
        term: int,
    ) -> None:
        running = {
            report.host: report.figures.get('running', 0)
            for report in self.nodes.reports()
        }
        candidates = [
            engine.host
            for engine in engines
            if engine.engine_role == proposal.source
        ]
        host = min(candidates, key=lambda name: running.get(name, 0))
        command = IssueOrder(host, 'set-role', proposal.target, proposal.cause)
        reply = self.replica.submit_as_leader(
            command, term, _SUBMIT_TIMEOUT_SECONDS
        )
        if isinstance(reply, OrderReply) and reply.accepted:
            change.endpoint = host
            change.issued_at = monotonic()
            change.is_in_progress = True
            self.metrics.count('role_changes', proposal.target)
            _log.info(
                'Ordered {} to take the role {}: {}.', host, *proposal[1:]
            )


def _count_roles(engines: Iterable[EndpointInfo]) -> Split:
    roles = [engine.engine_role for engine in engines]
    return Split(
        roles.count('prefill'), roles.count('decode'), roles.count('mixed')
    )
