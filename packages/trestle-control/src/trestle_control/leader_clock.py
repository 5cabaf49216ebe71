"""Advances the clock of the control state, on the leader.

The elapsed time is measured on the leader's monotonic clock since its last
command. Time between two leaders, and of commands that failed, is lost, so
the state's clock is never ahead of real time and retentions are never short.
"""

from time import monotonic, time
from typing import Final

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.replica_api import ReplicaApi
from trestle_core.errors import TrestleError
from trestle_links.claim_messages import AdvanceClock

TICK_SECONDS: Final = 10.0
_POLL_SECONDS: Final = 0.5
_SUBMIT_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000


class LeaderClock:
    """The greenlet that submits `AdvanceClock` commands."""

    def __init__(
        self,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        outcome_retention_ms: int,
    ) -> None:
        """Measure nothing before this host leads."""
        self.state_machine = state_machine
        self.replica = replica
        self.outcome_retention_ms = outcome_retention_ms
        self.measured_from: float | None = None

    def run(self) -> None:
        """Advance the clock while this host leads, for ever."""
        while True:
            if not self.replica.is_leader:
                self.measured_from = None
            elif self._elapsed_seconds() >= TICK_SECONDS:
                self._tick()
            elif self.measured_from is None:
                # The first command of a leader carries its wall clock only.
                self._tick()
            sleep(_POLL_SECONDS)

    def _elapsed_seconds(self) -> float:
        if self.measured_from is None:
            return 0
        return monotonic() - self.measured_from

    def _tick(self) -> None:
        command = AdvanceClock(
            self.state_machine.state.clock_ms,
            int(self._elapsed_seconds() * _MS_PER_SECOND),
            int(time() * _MS_PER_SECOND),
            self.outcome_retention_ms,
        )
        self.measured_from = monotonic()
        try:
            self.replica.submit(command, _SUBMIT_SECONDS)
        except TrestleError:
            # The time is measured anew; the clock only falls behind.
            return
