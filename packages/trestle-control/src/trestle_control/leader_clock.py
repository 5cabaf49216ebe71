"""Advances the clock of the control state, on the leader.

The elapsed time is measured on the leader's monotonic clock since its last
command. The time between two leaders and the time of failed commands are not
counted, so the clock never runs ahead of real time, and nothing is dropped
before its retention time has passed.
"""

from time import monotonic, time
from typing import Final

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.replica_api import ReplicaApi
from trestle_core.errors import TrestleError
from trestle_links.claim_messages import AdvanceClock

ADVANCE_SECONDS: Final = 10.0
_POLL_SECONDS: Final = 0.5
_SUBMIT_TIMEOUT_SECONDS: Final = 5.0
_MS_PER_SECOND: Final = 1000


class LeaderClock:
    """Submits `AdvanceClock` commands while this host leads."""

    def __init__(
        self,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        outcome_retention_ms: int,
    ) -> None:
        """Create the clock; measuring starts once this host leads."""
        self.state_machine = state_machine
        self.replica = replica
        self.outcome_retention_ms = outcome_retention_ms
        self.last_command_at: float | None = None

    def run(self) -> None:
        """Advance the clock periodically while this host leads."""
        while True:
            if not self.replica.is_leader:
                self.last_command_at = None
            elif self._elapsed_seconds() >= ADVANCE_SECONDS:
                self.advance()
            elif self.last_command_at is None:
                # The first command of a leader has no elapsed time yet and sets
                # the wall clock only.
                self.advance()
            sleep(_POLL_SECONDS)

    def _elapsed_seconds(self) -> float:
        if self.last_command_at is None:
            return 0
        return monotonic() - self.last_command_at

    def advance(self) -> None:
        """Submit one command, in the present term."""
        term = self.replica.lead.term
        command = AdvanceClock(
            self.state_machine.state.clock_ms,
            int(self._elapsed_seconds() * _MS_PER_SECOND),
            int(time() * _MS_PER_SECOND),
            self.outcome_retention_ms,
        )
        self.last_command_at = monotonic()
        try:
            self.replica.submit_as_leader(
                command, term, _SUBMIT_TIMEOUT_SECONDS
            )
        except TrestleError:
            # The measurement restarts; the clock only falls behind.
            return
