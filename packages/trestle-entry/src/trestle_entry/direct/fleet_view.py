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

_FIRST_REST_SECONDS: Final = 0.5
_LONGEST_REST_SECONDS: Final = 4.0
# A role change takes seconds; the list shows it a second later.
_DECLINED_REST_SECONDS: Final = 1.5
_FULL_REST_SECONDS: Final = 0.3
# Weight of one outcome in the moving share of failures.
_OUTCOME_WEIGHT: Final = 0.15
# Above this share of failures a back end is used only when no other is left.
_GREY_SHARE: Final = 0.25
# Seconds after which a share of failures has halved, so that a back end
# which nobody calls is tried again.
_FORGIVE_SECONDS: Final = 4.0

_log = part_logger('fleet')


class Trust:
    """What this entry's calls found out about one back end."""

    def __init__(self) -> None:
        """Trust a back end that was never called."""
        self.rest_seconds = 0.0
        self.rests_until = 0.0
        self.failure_share = 0.0
        self.noted_at = monotonic()

    def note(self, *, failed: bool) -> None:
        """Note an outcome."""
        self.failure_share = self.present_share()
        self.noted_at = monotonic()
        outcome = 1.0 if failed else 0.0
        self.failure_share += _OUTCOME_WEIGHT * (outcome - self.failure_share)

    def present_share(self) -> float:
        """Return the share of failures, fading with time."""
        halvings = (monotonic() - self.noted_at) / _FORGIVE_SECONDS
        return float(self.failure_share * 0.5**halvings)


class FleetView:
    """The back ends that may get requests."""

    def __init__(self) -> None:
        """Know none."""
        self.backends: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self.trusts: dict[str, Trust] = {}
        # Engines whose role is being changed, as the leader tells.
        self.changing: set[str] = set()

    def take_list(self, backends: list[Backend]) -> None:
        """Replace the list."""
        self.backends = {entry.instance: entry for entry in backends}
        self.by_service = {}
        for entry in backends:
            if not entry.leaving:
                self.by_service.setdefault(entry.service, []).append(entry)
        for instance in set(self.trusts) - set(self.backends):
            self.trusts.pop(instance)

    def may_send(self, backend: Backend) -> bool:
        """Tell whether a back end is still listed and does not leave."""
        listed = self.backends.get(backend.instance)
        return listed is not None and not listed.leaving

    def usable(self, service: str, without: frozenset[str]) -> list[Backend]:
        """Return back ends to choose from, of each role the trusted if any."""
        by_role: dict[str, list[Backend]] = {}
        for entry in self.by_service.get(service, []):
            if entry.instance not in without:
                by_role.setdefault(entry.role, []).append(entry)
        chosen: list[Backend] = []
        for listed in by_role.values():
            chosen.extend(self._best_of(listed))
        return chosen

    def _best_of(self, listed: list[Backend]) -> list[Backend]:
        now = monotonic()
        awake = [entry for entry in listed if not self._rests(entry, now)]
        trusted = [entry for entry in awake if not self._is_grey(entry)]
        return trusted or awake or listed

    def note_served(self, instance: str) -> None:
        """Note a whole answer."""
        trust = self._trust_of(instance)
        trust.note(failed=False)
        if trust.rest_seconds:
            trust.rest_seconds = 0.0
            trust.rests_until = 0.0
            _log.info('{} is trusted again.', instance)

    def note_failed(self, instance: str, reason: str) -> None:
        """Note an answer that broke off or a failure of the back end."""
        trust = self._trust_of(instance)
        was_grey = trust.present_share() > _GREY_SHARE
        trust.note(failed=True)
        if not was_grey and trust.present_share() > _GREY_SHARE:
            _log.warning('{} fails often: {}.', instance, reason)

    def note_unreachable(self, instance: str, reason: str) -> None:
        """Note that a connection could not be made or went silent."""
        trust = self._trust_of(instance)
        trust.note(failed=True)
        if trust.rests_until > monotonic():
            return
        trust.rest_seconds = min(
            _LONGEST_REST_SECONDS,
            max(_FIRST_REST_SECONDS, trust.rest_seconds * 2),
        )
        trust.rests_until = monotonic() + trust.rest_seconds
        _log.warning(
            '{} rests for {:.1f} s: {}.', instance, trust.rest_seconds, reason
        )

    def note_declined(self, instance: str, *, full: bool) -> None:
        """Note that a back end takes no such requests at present.

        It is full, or else another instance or of another role.
        """
        trust = self._trust_of(instance)
        seconds = _FULL_REST_SECONDS if full else _DECLINED_REST_SECONDS
        trust.rests_until = max(trust.rests_until, monotonic() + seconds)

    def _trust_of(self, instance: str) -> Trust:
        return self.trusts.setdefault(instance, Trust())

    def _rests(self, backend: Backend, now: float) -> bool:
        if backend.instance in self.changing:
            return True
        trust = self.trusts.get(backend.instance)
        return trust is not None and trust.rests_until > now

    def _is_grey(self, backend: Backend) -> bool:
        trust = self.trusts.get(backend.instance)
        return trust is not None and trust.present_share() > _GREY_SHARE
