"""Runs rollouts on the leader, by orders that load the set in force.

A pool pauses for the plan's `rollout_pause_ms` after each order, so that a
failing version is noticed before the next engine leaves service.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.published_set import published_set_reader
from trestle_control.replica_api import ReplicaApi
from trestle_control.rollout import next_orders, rollout_status
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.namedset import NamedSet
from trestle_links.fleet_messages import IssueOrder, OrderReply

TICK_SECONDS: Final = 0.5
_SUBMIT_TIMEOUT_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000

_log = part_logger('rollout')


class RolloutManager:
    """The greenlet that issues load orders."""

    def __init__(
        self,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Start without pauses."""
        self.state_machine = state_machine
        self.read_set = published_set_reader(state_machine.state)
        self.replica = replica
        self.metrics = metrics
        self.paused_until: dict[str, float] = {}
        self.logged_halts: set[int] = set()

    def run(self) -> None:
        """Issue load orders periodically while this host leads."""
        while True:
            sleep(TICK_SECONDS)
            term = self.replica.lead.term
            named_set = self.read_set()
            if named_set is None or not term:
                continue
            try:
                self._tick(named_set, term)
            except TrestleError as error:
                _log.warning('Cannot issue a load order: {}.', error)

    def _tick(self, named_set: NamedSet, term: int) -> None:
        now = monotonic()
        for name, pool in named_set.pools.items():
            self._log_halt(name, named_set)
            if now < self.paused_until.get(name, 0):
                continue
            # Collected first, since each committed order changes the state.
            for command in list(
                next_orders(self.state_machine.state, named_set, name)
            ):
                self._issue(command, term)
                pause = named_set.plans[pool.plan].rollout_pause_ms
                self.paused_until[name] = now + pause / _MS_PER_SECOND

    def _issue(self, command: IssueOrder, term: int) -> None:
        reply = self.replica.submit_as_leader(
            command, term, _SUBMIT_TIMEOUT_SECONDS
        )
        if isinstance(reply, OrderReply) and reply.accepted:
            self.metrics.count('load_orders', command.kind)
            _log.info(
                'Ordered {} to load {}.', command.endpoint, command.argument
            )

    def _log_halt(self, name: str, named_set: NamedSet) -> None:
        status = rollout_status(
            self.state_machine.state, name, named_set.pools[name]
        )
        halted = status.halted
        if halted and halted.fencing not in self.logged_halts:
            self.logged_halts.add(halted.fencing)
            self.metrics.count('rollouts_halted')
            _log.error(
                'Rollout of {} halted: {} failed on {}.',
                name,
                halted.argument,
                halted.endpoint,
            )
