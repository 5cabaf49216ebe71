"""The state that all requests of a direct entry share."""

from collections.abc import Callable
from math import inf
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from gevent.event import Event

from trestle_core.metrics import Metrics
from trestle_core.route_table import Route, RouteTable, Service
from trestle_core.settings import DirectSettings
from trestle_entry.direct.connection_pool import ConnectionPool
from trestle_entry.direct.crash_guard import CrashGuard
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.fleet_view import FleetView
from trestle_entry.direct.hedge_policy import HedgePolicy
from trestle_entry.direct.planned_stop import PlannedStop
from trestle_entry.direct.request_log import RequestLog
from trestle_entry.direct.retry_limits import RetryLimits
from trestle_entry.direct.wire_types import (
    MISDIRECTED,
    AnswerHead,
    BackendWire,
    CallerWire,
)
from trestle_links.connection import LinkDownError
from trestle_links.direct_messages import Backend, Boot
from trestle_links.load_messages import (
    FailureNotice,
    LeaveNotice,
    ToldCalls,
)
from trestle_links.stream_messages import StreamOrigin

# More than twice the age that the list has at most at an entry in step: 0.3 s
# between two stamps, 0.2 s between two confirmations of the control host's own
# state, and a heartbeat of 0.1 s.
_MAX_LIST_AGE_SECONDS: Final = 1.5
_MS_PER_SECOND: Final = 1000


class RouteMatch(NamedTuple):
    """The route of a request, and the service that is to run it.

    `software` is the version that must run it, None for any.
    """

    route: Route
    service: Service
    software: str | None = None


class DirectContext:
    """Shared components of a direct entry, and the current route table."""

    def __init__(
        self,
        settings: DirectSettings,
        caller_wire: CallerWire,
        backend_wire: BackendWire,
        metrics: Metrics,
    ) -> None:
        """Start without a table; requests are refused until one arrives."""
        self.settings = settings
        self.caller_wire = caller_wire
        self.backend_wire = backend_wire
        self.metrics = metrics
        self.table: RouteTable | None = None
        self.has_table = Event()
        self.has_loads = Event()
        # Nothing was sent to back ends from here before, monotonic seconds.
        self.started_at = -inf if settings.first_start else monotonic()
        # Until then, requests wait for what an entry has to know.
        self.starts_until = -inf
        # Set, and replaced, whenever control confirms how new the table is.
        self.routes_confirmed = Event()
        # Requests that wait for that.
        self.waiting_for_routes = 0
        self.fleet = FleetView()
        self.pool = ConnectionPool(metrics)
        self.loads = EngineLoads(settings.host)
        self.loads.usage.window_ms = settings.usage_window_ms
        self.fleet.report_call = self.loads.reports.note_call
        self.crash_guard = CrashGuard(settings.host, self.loads.reports)
        # Back ends that are being asked whether they have crashed.
        self.probed: set[str] = set()
        self.planned_stop = PlannedStop()
        self.log = RequestLog(metrics, settings.host)
        self.retry_limits: dict[str, RetryLimits] = {}
        self.hedges = HedgePolicy(settings.hedge_share, metrics)
        self.random = Random(settings.host)
        # Asks the leader who began a stream; raises `TrestleError`.
        self.ask_origin: Callable[[int], StreamOrigin | None] = _no_leader
        # The age of the list of back ends, as far as control confirms it.
        self.list_age_seconds: Callable[[], float] = _no_age

    @property
    def knows_software(self) -> bool:
        """Whether the list tells which software its back ends run.

        An old one does not: a back end may have started again under its name.
        """
        return self.list_age_seconds() <= _MAX_LIST_AGE_SECONDS

    def take_table(self, table: RouteTable) -> None:
        """Put a table in force, and wake the requests that wait for one."""
        self.table = table
        self.has_table.set()

    def note_confirmed(self) -> None:
        """Wake the requests that wait for a confirmation of the routes."""
        confirmed = self.routes_confirmed
        self.routes_confirmed = Event()
        confirmed.set()

    def apply_settings(self, settings: DirectSettings) -> None:
        """Apply the settings that may change in a running process."""
        self.settings = settings
        self.loads.usage.window_ms = settings.usage_window_ms
        self.hedges.share = settings.hedge_share
        for limits in self.retry_limits.values():
            limits.share = settings.retry_share
            limits.extra = settings.retry_extra

    def limits_for(self, service: str) -> RetryLimits:
        """Return the retry limits of a service."""
        limits = self.retry_limits.get(service)
        if limits is None:
            settings = self.settings
            limits = RetryLimits(
                settings.retry_share,
                settings.retry_extra,
                settings.retry_window_ms / _MS_PER_SECOND,
                self.started_at,
            )
            self.retry_limits[service] = limits
        return limits

    def allows_resend(self, service: str) -> bool:
        """Return whether the retry limits of a service allow a resend."""
        return self.limits_for(service).allows(self.loads.entry_count)

    def describe_limits(self, service: str) -> dict[str, float]:
        """Return what the retry limits of a service hold, for a log line."""
        limits = self.limits_for(service)
        entry_count = self.loads.entry_count
        return {
            'used': limits.used(),
            'allowed': round(limits.allowance(entry_count), 1),
            'requests': len(limits.requests),
            'entries': entry_count,
        }

    def return_resend(self, service: str) -> None:
        """Take back a resend that did not count after all."""
        self.limits_for(service).give_back()
        self.metrics.count('resends', 'returned')

    def note_unreachable(
        self, instance: str, reason: str, *, is_refused: bool
    ) -> None:
        """Record a back end without an answer, also for the other entries."""
        self.fleet.note_unreachable(instance, reason)
        settings = self.settings
        self.loads.reports.note_failure(
            FailureNotice(instance, settings.host, settings.zone, is_refused)
        )

    def note_reported(self, notices: list[FailureNotice]) -> None:
        """Record the back ends that entries could not reach."""
        self.fleet.note_reported(notices, self.settings.zone)
        for notice in notices:
            if notice.is_refused:
                self.crash_guard.note_down(notice.instance)

    def note_told_calls(self, told: list[ToldCalls]) -> None:
        """Count the calls of other entries that back ends declined or not."""
        for host, calls in told:
            if host != self.settings.host:
                for counts in calls:
                    self.fleet.declines.note(*counts)

    def note_said(self, backend: Backend, head: AnswerHead) -> None:
        """Record what a back end says of itself in the head of an answer.

        A request that went astray is answered by another back end.
        """
        if head.status == MISDIRECTED:
            return
        instance, boot = backend.instance, backend.boot
        if head.rest_seconds:
            self.metrics.count('rests_heard')
            self.fleet.resting.note(instance, boot, head.rest_seconds)
        if head.is_leaving:
            self._note_leaving(instance, boot)

    def _note_leaving(self, instance: str, boot: Boot) -> None:
        if self.fleet.leaving.note_heard(instance, boot):
            self.metrics.count('backends_leaving', 'heard')
            self.loads.reports.note_leaving(LeaveNotice(instance, boot))

    def note_told_leaving(self, notices: list[LeaveNotice]) -> None:
        """Record the back ends that have told others that they leave."""
        leaving = self.fleet.leaving
        for instance, boot in notices:
            if leaving.note_told(instance, boot, 'the leader tells'):
                self.metrics.count('backends_leaving', 'told')

    def report_leaving(self) -> None:
        """Tell of all that leave again, to a leader that may be new."""
        for notice in self.fleet.leaving.notices():
            self.loads.reports.note_leaving(notice)

    def take_resend(self, service: str) -> bool:
        """Count a resend if the retry limits of a service allow it."""
        allowed = self.limits_for(service).take(self.loads.entry_count)
        reason = 'taken' if allowed else 'refused'
        self.metrics.count('resends', reason)
        return allowed


def _no_age() -> float:
    return 0.0


def _no_leader(_key: int) -> StreamOrigin | None:
    raise LinkDownError('no leader is followed', sent=False)
