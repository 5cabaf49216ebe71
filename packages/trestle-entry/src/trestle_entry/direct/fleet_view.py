"""Back ends as this entry sees them: the list, and what its calls found.

The list says who exists and who leaves; it lags and knows nothing of a back
end that crashed, went dark or fails part of its work. Trust comes from the
outcomes of one's own calls: a back end that could not be reached is left
out for a while that doubles with each failed try, and one that fails often
is used less.
"""

from time import monotonic
from typing import Final

from trestle_core.logs import part_logger
from trestle_links.direct_messages import Backend

_MIN_BACKOFF_SECONDS: Final = 0.5
_MAX_BACKOFF_SECONDS: Final = 4.0
# A role change takes seconds; the list shows it a second later.
_DECLINED_SECONDS: Final = 1.5
_FULL_SECONDS: Final = 0.3
# Weight of one outcome in the moving share of failures.
_OUTCOME_WEIGHT: Final = 0.15
# Above this share of failures a back end is used only when no other is left.
_DEGRADED_FAILURE_RATE: Final = 0.25
# Seconds after which a share of failures has halved, so that a back end
# which nobody calls is tried again.
_FAILURE_HALF_LIFE_SECONDS: Final = 4.0

_log = part_logger('fleet')


class BackendHealth:
    """What this entry's calls found out about one back end."""

    def __init__(self) -> None:
        """Trust a back end that was never called."""
        self.backoff_seconds = 0.0
        self.excluded_until = 0.0
        self.failure_rate = 0.0
        self.noted_at = monotonic()

    def note(self, *, failed: bool) -> None:
        """Note an outcome."""
        self.failure_rate = self.current_failure_rate()
        self.noted_at = monotonic()
        outcome = 1.0 if failed else 0.0
        self.failure_rate += _OUTCOME_WEIGHT * (outcome - self.failure_rate)

    def current_failure_rate(self) -> float:
        """Return the share of failures, fading with time."""
        halvings = (monotonic() - self.noted_at) / _FAILURE_HALF_LIFE_SECONDS
        return float(self.failure_rate * 0.5**halvings)


class FleetView:
    """The back ends that may get requests."""

    def __init__(self) -> None:
        """Know none."""
        self.backends: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self.health_by_instance: dict[str, BackendHealth] = {}
        # Engines whose role is being changed, as the leader tells.
        self.changing_role: set[str] = set()

    def replace_list(self, backends: list[Backend]) -> None:
        """Replace the list."""
        self.backends = {entry.instance: entry for entry in backends}
        self.by_service = {}
        for entry in backends:
            if not entry.leaving:
                self.by_service.setdefault(entry.service, []).append(entry)
        for instance in set(self.health_by_instance) - set(self.backends):
            self.health_by_instance.pop(instance)

    def may_send(self, backend: Backend) -> bool:
        """Tell whether a back end is still listed and does not leave."""
        listed = self.backends.get(backend.instance)
        return listed is not None and not listed.leaving

    def usable(self, service: str, excluded: frozenset[str]) -> list[Backend]:
        """Return back ends to choose from, of each role the trusted if any."""
        by_role: dict[str, list[Backend]] = {}
        for entry in self.by_service.get(service, []):
            if entry.instance not in excluded:
                by_role.setdefault(entry.role, []).append(entry)
        chosen: list[Backend] = []
        for listed in by_role.values():
            chosen.extend(self._best_of(listed))
        return chosen

    def _best_of(self, listed: list[Backend]) -> list[Backend]:
        now = monotonic()
        available = [
            entry for entry in listed if not self._is_excluded(entry, now)
        ]
        healthy = [entry for entry in available if not self._is_degraded(entry)]
        return healthy or available or listed

    def note_served(self, instance: str) -> None:
        """Note a whole answer."""
        health = self._health_of(instance)
        health.note(failed=False)
        if health.backoff_seconds:
            health.backoff_seconds = 0.0
            health.excluded_until = 0.0
            _log.info('{} is trusted again.', instance)

    def note_failed(self, instance: str, reason: str) -> None:
        """Note an answer that broke off or a failure of the back end."""
        health = self._health_of(instance)
        was_degraded = health.current_failure_rate() > _DEGRADED_FAILURE_RATE
        health.note(failed=True)
        if (
            not was_degraded
            and health.current_failure_rate() > _DEGRADED_FAILURE_RATE
        ):
            _log.warning('{} fails often: {}.', instance, reason)

    def note_unreachable(self, instance: str, reason: str) -> None:
        """Note that a connection could not be made or went silent."""
        health = self._health_of(instance)
        health.note(failed=True)
        if health.excluded_until > monotonic():
            return
        health.backoff_seconds = min(
            _MAX_BACKOFF_SECONDS,
            max(_MIN_BACKOFF_SECONDS, health.backoff_seconds * 2),
        )
        health.excluded_until = monotonic() + health.backoff_seconds
        _log.warning(
            '{} rests for {:.1f} s: {}.',
            instance,
            health.backoff_seconds,
            reason,
        )

    def note_declined(self, instance: str, *, full: bool) -> None:
        """Note that a back end takes no such requests at present.

        It is full, or else another instance or of another role.
        """
        health = self._health_of(instance)
        seconds = _FULL_SECONDS if full else _DECLINED_SECONDS
        health.excluded_until = max(
            health.excluded_until, monotonic() + seconds
        )

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
