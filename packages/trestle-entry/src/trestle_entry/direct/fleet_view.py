"""The back ends that this entry may use: the list, and their health.

The list contains the back ends that exist and marks those that are leaving. It
lags, and it does not show a back end that crashed, became unreachable or fails
some of its requests. Health is therefore derived from the outcomes of calls: a
back end that this entry or others could not reach is excluded with exponential
back-off, and one that fails this entry's calls often, or declines those of all entries, is used
only if no other is left. One that has said that it leaves, or wants no requests for a time, is
never used.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final

from trestle_core.logs import part_logger
from trestle_entry.direct.decline_rates import DeclineRates
from trestle_links.direct_messages import Backend
from trestle_links.leaving_backends import LeavingBackends
from trestle_links.load_messages import FailureNotice
from trestle_links.resting_backends import RestingBackends

_MIN_BACKOFF_SECONDS: Final = 0.5
_MAX_BACKOFF_SECONDS: Final = 4.0
# Exclusion after a decline: a role change takes seconds, and the list shows it
# a second later.
_DECLINED_SECONDS: Final = 1.5
# Exclusion of a back end that is full.
_FULL_SECONDS: Final = 0.3
# Time in which a second entry must confirm that a back end is unreachable.
_REPORT_VALID_SECONDS: Final = 1.0
# Weight of one outcome in the moving average of failures.
_OUTCOME_WEIGHT: Final = 0.15
# Above this failure rate a back end is used only if no other is left.
_DEGRADED_FAILURE_RATE: Final = 0.25
# A failure rate halves in this time, so that a back end that is no longer
# called is tried again.
_FAILURE_HALF_LIFE_SECONDS: Final = 4.0

_log = part_logger('fleet')


class BackendHealth:
    """The outcomes of this entry's calls to one back end."""

    def __init__(self) -> None:
        """Assume that a back end is healthy until it is called."""
        self.backoff_seconds = 0.0
        self.excluded_until = 0.0
        self.failure_rate = 0.0
        self.updated_at = monotonic()

    def note(self, *, has_failed: bool) -> None:
        """Record an outcome."""
        self.failure_rate = self.current_failure_rate()
        self.updated_at = monotonic()
        outcome = 1.0 if has_failed else 0.0
        self.failure_rate += _OUTCOME_WEIGHT * (outcome - self.failure_rate)

    def current_failure_rate(self) -> float:
        """Return the failure rate, decayed since the last outcome."""
        halvings = (monotonic() - self.updated_at) / _FAILURE_HALF_LIFE_SECONDS
        return float(self.failure_rate * 0.5**halvings)


class FleetView:
    """The listed back ends and their health."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.backends: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self.health_by_instance: dict[str, BackendHealth] = {}
        # Zone and time of the reports of entries that could not reach a back
        # end, by instance and host.
        self.reports: dict[str, dict[str, tuple[str, float]]] = {}
        # Engines whose role is being changed, as reported by the leader.
        self.changing_role: set[str] = set()
        self.declines = DeclineRates()
        # Tells the other entries of a call and whether it was declined.
        self.report_call: Callable[[str, bool], None] = _report_nothing
        self.leaving = LeavingBackends()
        self.resting = RestingBackends()

    def replace_list(self, backends: list[Backend]) -> None:
        """Replace the list of back ends."""
        self.backends = {backend.instance: backend for backend in backends}
        self.leaving.follow(backends)
        self.resting.follow(backends)
        self.by_service = {}
        for backend in backends:
            if not backend.leaving:
                self.by_service.setdefault(backend.service, []).append(backend)
        for instance in set(self.health_by_instance) - set(self.backends):
            self.health_by_instance.pop(instance)
        self.declines.keep_only(set(self.backends))
        for instance in set(self.reports) - set(self.backends):
            self.reports.pop(instance)

    def usable(
        self,
        service: str,
        excluded: frozenset[str],
        software: str | None = None,
    ) -> list[Backend]:
        """Return the candidates of a service, for each role the healthy ones.

        A role without healthy back ends falls back to the available ones, and
        then to all that are listed, but never to one that wants no requests.
        Unless `software` is None, only back ends of that software version count;
        an empty one is unknown and fits none.
        """
        by_role: dict[str, list[Backend]] = {}
        for backend in self.by_service.get(service, []):
            if software is not None and not _runs(backend, software):
                continue
            if backend.instance in excluded or self.refusal(backend.instance):
                continue
            by_role.setdefault(backend.role, []).append(backend)
        chosen: list[Backend] = []
        for listed in by_role.values():
            chosen.extend(self._best_of(listed))
        return chosen

    def refusal(self, instance: str) -> str:
        """Return why a back end wants no requests, empty if it takes them."""
        backend = self.backends.get(instance)
        if instance in self.leaving or (backend and backend.leaving):
            return 'leaving'
        return 'resting' if self.resting.seconds(instance) else ''

    def refusing(self, service: str) -> int:
        """Return how many back ends of a service want no requests.

        Those that the list shows as leaving do not count.
        """
        if not (self.leaving.leaves or self.resting.rests):
            return 0
        listed = self.by_service.get(service, [])
        return sum(bool(self.refusal(backend.instance)) for backend in listed)

    def _best_of(self, listed: list[Backend]) -> list[Backend]:
        now = monotonic()
        available = [
            backend for backend in listed if not self._is_excluded(backend, now)
        ]
        healthy = [
            backend
            for backend in available
            if not self._is_degraded(backend)
            and not self.declines.is_high(backend.instance)
        ]
        return healthy or available or listed

    def note_served(self, instance: str) -> None:
        """Record a complete answer."""
        health = self._health_of(instance)
        health.note(has_failed=False)
        if self.declines.is_notable(instance):
            self._note_call(instance, is_declined=False)
        if health.backoff_seconds:
            health.backoff_seconds = 0.0
            health.excluded_until = 0.0
            _log.info('{} is used again.', instance)

    def note_failed(self, instance: str, reason: str) -> None:
        """Record a truncated answer or a failure of the back end."""
        health = self._health_of(instance)
        was_degraded = health.current_failure_rate() > _DEGRADED_FAILURE_RATE
        health.note(has_failed=True)
        if (
            not was_degraded
            and health.current_failure_rate() > _DEGRADED_FAILURE_RATE
        ):
            _log.warning('{} fails often: {}.', instance, reason)

    def note_unreachable(self, instance: str, reason: str) -> None:
        """Record a failed connection attempt or a call without an answer."""
        self._health_of(instance).note(has_failed=True)
        self._exclude(instance, reason)

    def _exclude(self, instance: str, reason: str) -> None:
        health = self._health_of(instance)
        if health.excluded_until > monotonic():
            return
        health.backoff_seconds = min(
            _MAX_BACKOFF_SECONDS,
            max(_MIN_BACKOFF_SECONDS, health.backoff_seconds * 2),
        )
        health.excluded_until = monotonic() + health.backoff_seconds
        _log.warning(
            '{} excluded for {:.1f} s: {}.',
            instance,
            health.backoff_seconds,
            reason,
        )

    def note_reported(
        self, notices: list[FailureNotice], own_zone: str
    ) -> None:
        """Record what entries, this one included, could not reach.

        A refused connection is proof. Otherwise the link of the entry may be
        at fault, so two entries must agree that are not both of another zone.
        """
        for notice in notices:
            if notice.instance not in self.backends:
                continue
            if notice.is_refused or self._is_confirmed(notice, own_zone):
                self._exclude(notice.instance, f'told by {notice.host}')

    def _is_confirmed(self, notice: FailureNotice, own_zone: str) -> bool:
        now = monotonic()
        reports = self.reports.setdefault(notice.instance, {})
        reports[notice.host] = (notice.zone, now)
        zones = [
            zone
            for zone, reported_at in reports.values()
            if now - reported_at < _REPORT_VALID_SECONDS
        ]
        return len(zones) > 1 and (own_zone in zones or len(set(zones)) > 1)

    def note_declined(self, instance: str, *, is_full: bool) -> None:
        """Record that a back end declines such requests at present.

        It is full, or else its instance or its role has changed.
        """
        if is_full:
            self._note_call(instance, is_declined=True)
        health = self._health_of(instance)
        seconds = _FULL_SECONDS if is_full else _DECLINED_SECONDS
        health.excluded_until = max(
            health.excluded_until, monotonic() + seconds
        )

    def _note_call(self, instance: str, *, is_declined: bool) -> None:
        self.declines.note(instance, int(is_declined), int(not is_declined))
        self.report_call(instance, is_declined)

    def _health_of(self, instance: str) -> BackendHealth:
        return self.health_by_instance.setdefault(instance, BackendHealth())

    def _is_excluded(self, backend: Backend, now: float) -> bool:
        if backend.instance in self.changing_role:
            return True
        health = self.health_by_instance.get(backend.instance)
        return health is not None and health.excluded_until > now

    def _is_degraded(self, backend: Backend) -> bool:
        health = self.health_by_instance.get(backend.instance)
        return (
            health is not None
            and health.current_failure_rate() > _DEGRADED_FAILURE_RATE
        )


def _report_nothing(_instance: str, _is_declined: bool) -> None:
    """Keep what a call told to this entry."""


def _runs(backend: Backend, software: str) -> bool:
    """Return whether a back end is known to run a software version."""
    return bool(software) and backend.software == software
