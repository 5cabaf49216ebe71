"""A leader that looks after the duty of usage, without a network."""

from typing import Any, Final

from trestle_control.apply import ControlStateMachine
from trestle_control.control_errors import NoQuorumError
from trestle_control.load_table import Follower, LoadTable
from trestle_control.replica_api import Lead
from trestle_control.usage_duty import (
    ConfirmReport,
    DutyTerms,
    ReportOutcome,
    UsageDuty,
    UsageReport,
)
from trestle_core.metrics import Metrics
from trestle_links.agreed_clock import wall_clock_ms
from trestle_links.codec import Message
from trestle_links.load_messages import FollowLoads
from trestle_links.usage_messages import CustomerUsage

WINDOW_MS: Final = 5000
LEASE_SECONDS: Final = 3.0


class AppliedLog:
    """A log of one member; a command is applied as it is submitted."""

    def __init__(self, machine: ControlStateMachine, lead: Lead) -> None:
        """Lead as told."""
        self.machine = machine
        self.lead = lead
        self.is_confirmed = True
        self.takes_commands = True
        self.index = 0

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return self.lead.term > 0

    def submit_as_leader(
        self, command: Message, term: int, _timeout_seconds: float
    ) -> Message:
        """Apply a command of the present term."""
        if term != self.lead.term or not self.takes_commands:
            raise NoQuorumError
        self.index += 1
        return self.machine.apply(self.index, command)

    def confirm_leads(self, term: int, _timeout_seconds: float) -> None:
        """Confirm the present term."""
        if term != self.lead.term or not self.is_confirmed:
            raise NoQuorumError


class DutyHost:
    """A host whose entry has counted a window that has ended."""

    def __init__(self, machine: ControlStateMachine, lead: Lead) -> None:
        """Count 5 requests of ana in the window."""
        self.log = AppliedLog(machine, lead)
        replica: Any = self.log
        self.loads = LoadTable(replica)
        channel: Any = None
        self.loads.followers['e1'] = Follower(FollowLoads('e1', []), channel)
        self.window = wall_clock_ms() // WINDOW_MS - 2
        self.sent: list[UsageReport] = []
        # What the platform answers next; None for no answer.
        self.answers: list[ReportOutcome | None] = []
        self.duty = UsageDuty(
            self.send,
            DutyTerms(f'c{lead.term}', LEASE_SECONDS, WINDOW_MS, 1000),
            machine,
            replica,
            self.loads,
            Metrics(),
        )
        machine.state.usage_recorded = self.window - 1

    def count(self, requests: int) -> None:
        """Let the entry tell so many requests of ana in the window."""
        usage = [CustomerUsage(self.window, 'ana', requests)]
        self.loads.usage.note('e1/1', usage)

    def poll(self) -> None:
        """Look after the duty once, when only this window has ended."""
        now_ms = (self.window + 1) * WINDOW_MS + 2000
        self.loads.clock.unix_ms = lambda: now_ms  # type: ignore[method-assign]
        self.duty.poll()

    def send(
        self, report: UsageReport, confirm: ConfirmReport
    ) -> ReportOutcome:
        """Be the platform."""
        confirm()
        self.sent.append(report)
        answer = ReportOutcome.ACCEPTED
        if self.answers:
            answer = self.answers.pop(0) or answer
            if answer is ReportOutcome.NOT_TAKEN:
                raise OSError('no answer')
        return answer
