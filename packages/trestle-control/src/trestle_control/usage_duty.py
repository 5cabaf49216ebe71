"""Reports the usage of customers to the platform, from the leader only.

The fencing number of a report is the leader's term, as with role orders
(`direct_roles`): a new leader waits until the lease of its predecessor has
expired, and a quorum confirms the term just before a report is sent. A window
is recorded in the log some time after its end, when the entries have told what
they counted, and reported until the platform accepts it. A report without an
answer may be taken later; its repetition has the same figures.
"""

from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Final, NamedTuple, Self

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.leader_terms import confirm_term, previous_lease_seconds
from trestle_control.load_table import LoadTable
from trestle_control.replica_api import ReplicaApi
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.codec import Message
from trestle_links.usage_messages import ConfirmUsage, RecordUsage

POLL_SECONDS: Final = 0.5
# Time after the end of a window in which entries tell the last of its counts.
_SETTLE_MS: Final = 1500
# Pause after a report that the platform did not take.
_RETRY_SECONDS: Final = 1.0
_SUBMIT_TIMEOUT_SECONDS: Final = 2.0
# Windows that a leader records at most; there are more after a long outage,
# and their entries have given the counts up.
_MAX_RECORDED: Final = 240
_MS_PER_SECOND: Final = 1000

_log = part_logger('usage')


class ReportOutcome(Enum):
    """What the platform answered to a report."""

    ACCEPTED = 'accepted'
    # A holder with a higher fencing number has reported.
    OVERTAKEN = 'overtaken'
    NOT_TAKEN = 'not-taken'


class UsageReport(NamedTuple):
    """The requests of each customer in a window, and who reports them."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


# Raises `TrestleError` if the report may not be sent any more.
ConfirmReport = Callable[[], None]
# Raises `OSError` or `ValueError` without an answer. Confirms the report right
# before its first byte.
SendReport = Callable[[UsageReport, ConfirmReport], ReportOutcome]


class DutyTerms(NamedTuple):
    """Who may hold the duty, and how often it calls the platform.

    A lease ends `lease_seconds` after its holder was last confirmed.
    """

    host: str
    lease_seconds: float
    window_ms: int
    calls_per_second: float

    @classmethod
    def from_config(cls, settings: ControlSettings) -> Self:
        """Return the terms that the settings give."""
        return cls(
            settings.host,
            settings.lease_ms / _MS_PER_SECOND,
            settings.usage_window_ms,
            settings.duty_calls_per_s,
        )


class UsageDuty:
    """Records and reports windows while this host leads."""

    def __init__(
        self,
        send_report: SendReport,
        terms: DutyTerms,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        loads: LoadTable,
        metrics: Metrics,
    ) -> None:
        """Start without a report."""
        self.send_report = send_report
        self.terms = terms
        self.state_machine = state_machine
        self.replica = replica
        self.loads = loads
        self.metrics = metrics
        # The term in which a report met a higher fencing number.
        self.overtaken_term = 0

    def run(self) -> None:
        """Poll until the greenlet is killed."""
        while True:
            self.poll()
            sleep(POLL_SECONDS)

    def poll(self) -> None:
        """Record and report the windows that have ended."""
        state = self.state_machine.state
        self.loads.usage.forget_through(state.usage_recorded)
        self.metrics.set_gauge(
            'usage_windows_waiting', len(state.usage_waiting)
        )
        lead = self.replica.lead
        lease_seconds = self.terms.lease_seconds
        if lead.seconds <= previous_lease_seconds(lead.term, lease_seconds):
            return
        try:
            self._record_ended(lead.term)
            self._report_waiting(lead.term)
        except TrestleError as error:
            # Without the lead nothing may leave.
            _log.warning('Usage cannot be reported now: {}.', error)

    def _record_ended(self, term: int) -> None:
        for window in self._ended_windows():
            counts = self.loads.usage.counts(window)
            self._submit(RecordUsage(window, counts), term)
            _log.info(
                'Recorded {} requests of {} customers in window {}.',
                sum(counts.values()),
                len(counts),
                window,
            )

    def _ended_windows(self) -> range:
        if not self.loads.followers:
            # One clock alone may be wrong, and no entry has counted.
            return range(0)
        settled_ms = self.loads.clock.unix_ms() - _SETTLE_MS
        last = settled_ms // self.terms.window_ms - 1
        recorded = self.state_machine.state.usage_recorded
        first = max(recorded + 1, last - _MAX_RECORDED) if recorded else last
        return range(first, last + 1)

    def _report_waiting(self, term: int) -> None:
        if term == self.overtaken_term:
            return
        for window, counts in list(
            self.state_machine.state.usage_waiting.items()
        ):
            report = UsageReport(window, counts, self.terms.host, term)
            outcome = self._send(report)
            self.metrics.count('usage_reports', outcome.value)
            if outcome is ReportOutcome.OVERTAKEN:
                _log.warning('Fence {} has been overtaken.', term)
                self.overtaken_term = term
                return
            if outcome is ReportOutcome.NOT_TAKEN:
                sleep(_RETRY_SECONDS)
                return
            self._submit(ConfirmUsage(window), term)
            sleep(1 / self.terms.calls_per_second)

    def _send(self, report: UsageReport) -> ReportOutcome:
        """Send one report; raises `TrestleError` without the lead."""
        confirm = partial(confirm_term, self.replica, report.fence)
        try:
            outcome = self.send_report(report, confirm)
        except (OSError, ValueError) as error:
            _log.warning(
                'The report of window {} was not answered: {}.',
                report.window,
                error,
            )
            return ReportOutcome.NOT_TAKEN
        _log.info(
            'Reported window {} with fence {}: {}.',
            report.window,
            report.fence,
            outcome.value,
        )
        return outcome

    def _submit(self, command: Message, term: int) -> None:
        self.replica.submit_as_leader(command, term, _SUBMIT_TIMEOUT_SECONDS)
