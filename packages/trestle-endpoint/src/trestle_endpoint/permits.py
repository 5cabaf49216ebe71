"""The table of outstanding and used permits.

A permit names the incarnation that issued it, can be used once, and expires
by the monotonic clock of this process. Each start creates a new incarnation,
so a permit of an earlier process never starts work here.

Invariant, required by the verdict `not-run`: within one incarnation, a permit
that is neither outstanding nor used has never been used and can never be
used. A permit of a claimed call therefore stays in `used`, with its outcome,
until the control state has committed that outcome. testbed/claim_model.py
checks this rule; its variant `forget-early` shows the failure without it.
"""

from collections.abc import Callable
from secrets import token_hex
from time import monotonic
from typing import Final, NamedTuple, Self

from gevent.event import Event

from trestle_core.errorcodes import PERMIT_UNUSABLE
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.settings import EndpointSettings
from trestle_core.verdict import Verdict
from trestle_links.claim_messages import Outcome
from trestle_links.permit_messages import Permit, PermitRevoked, PermitState

_MS_PER_SECOND: Final = 1000
_INCARNATION_BYTES: Final = 8

Clock = Callable[[], float]


class Demand(NamedTuple):
    """The resources that a permit request needs.

    `cached_pieces` is the number of leading pieces that the engine had cached
    at the grant. `prefill_tokens` excludes these pieces and those that the
    prompts ahead will have cached by then.
    """

    request_id: str
    priority: int
    prefill_tokens: int
    pieces: tuple[str, ...] = ()
    is_long: bool = False
    is_suspect: bool = False
    phase: str = 'mixed'
    cached_pieces: int = 0

    def first_missing_piece(self) -> str:
        """Return the first uncached piece, or an empty string."""
        missing = self.pieces[self.cached_pieces :]
        return missing[0] if missing else ''


class WorkItem:
    """The work of one permit, from its grant until it is forgotten."""

    def __init__(self, permit: Permit, demand: Demand, expires_at: float):
        """Start as granted and not yet used."""
        self.permit = permit
        self.demand = demand
        self.expires_at = expires_at
        # True once the engine has sent the first token of the answer.
        self.is_prefilled = False
        self.content = ''
        self.outcome: Outcome | None = None
        # Set once the outcome is committed or needs no commit.
        self.settled = Event()


class PermitTable:
    """The outstanding and used permits of this incarnation."""

    def __init__(
        self,
        host: str,
        ttl_seconds: float,
        metrics: Metrics,
        clock: Clock = monotonic,
    ) -> None:
        """Start a new incarnation with no permits."""
        self.host = host
        self.incarnation = token_hex(_INCARNATION_BYTES)
        self.ttl_seconds = ttl_seconds
        self.metrics = metrics
        self.clock = clock
        self.next_serial = 1
        # Ordered by expiry, because all permits have the same lifetime.
        self.outstanding: dict[int, WorkItem] = {}
        self.used: dict[int, WorkItem] = {}

    @classmethod
    def from_config(cls, settings: EndpointSettings, metrics: Metrics) -> Self:
        """Create the table of a process from its settings."""
        ttl_seconds = settings.permit_ttl_ms / _MS_PER_SECOND
        return cls(settings.host, ttl_seconds, metrics)

    def issue(self, demand: Demand) -> WorkItem:
        """Grant a permit for a demand."""
        permit = Permit(self.host, self.incarnation, self.next_serial)
        self.next_serial += 1
        work = WorkItem(permit, demand, self.clock() + self.ttl_seconds)
        self.outstanding[permit.serial] = work
        self.metrics.count('permits', 'granted')
        return work

    def use(self, permit: Permit, request_id: str) -> WorkItem:
        """Consume an outstanding permit of a request.

        Raises `TrestleError` when the permit is not usable.
        """
        self.expire()
        work = self.outstanding.get(permit.serial)
        if not self.is_own(permit):
            raise self._unusable_error('foreign')
        if work is None:
            raise self._unusable_error('not-outstanding')
        if work.demand.request_id != request_id:
            raise self._unusable_error('crossed-request')
        self.used[permit.serial] = self.outstanding.pop(permit.serial)
        self.metrics.count('permits', 'used')
        return work

    def find_used(self, permit: Permit, request_id: str) -> WorkItem | None:
        """Return the work of a used permit, or None if it is not retained."""
        work = self.used.get(permit.serial)
        if work is None or not self.is_own(permit):
            return None
        return work if work.demand.request_id == request_id else None

    def forget(self, work: WorkItem) -> None:
        """Remove a used permit whose outcome is committed or not needed."""
        self.used.pop(work.permit.serial, None)
        work.settled.set()

    def return_unused(self, permit: Permit) -> None:
        """Release an unused permit, which then can no longer be used."""
        if not self.is_own(permit):
            return
        if self.outstanding.pop(permit.serial, None):
            self.metrics.count('permits', 'returned')

    def revoke(self, permit: Permit) -> PermitRevoked:
        """Make a permit unusable and return its state."""
        revoked = self._revoke(permit)
        self.metrics.count('permit_revocations', revoked.state.value)
        return revoked

    def expire(self) -> None:
        """Remove the outstanding permits that have expired."""
        now = self.clock()
        while self.outstanding:
            serial, work = next(iter(self.outstanding.items()))
            if work.expires_at > now:
                return
            self.outstanding.pop(serial)
            self.metrics.count('permits', 'expired')

    def is_own(self, permit: Permit) -> bool:
        """Return whether this incarnation issued the permit."""
        return (
            permit.endpoint == self.host
            and permit.incarnation == self.incarnation
            and 0 < permit.serial < self.next_serial
        )

    def _revoke(self, permit: Permit) -> PermitRevoked:
        if not self.is_own(permit):
            return PermitRevoked(PermitState.FOREIGN)
        self.outstanding.pop(permit.serial, None)
        work = self.used.get(permit.serial)
        if work is None:
            return PermitRevoked(PermitState.UNUSED)
        outcome = work.outcome
        if outcome is None or outcome.verdict is Verdict.MAY_HAVE_RUN:
            # The control state records the uncertain outcome itself. It has
            # no status, so it must not be reported as the service's answer.
            return PermitRevoked(PermitState.RUNNING)
        if outcome.verdict is Verdict.NOT_RUN:
            return PermitRevoked(PermitState.UNUSED)
        return PermitRevoked(PermitState.FINISHED, outcome.status, outcome.body)

    def _unusable_error(self, reason: str) -> TrestleError:
        self.metrics.count('permit_refusals', reason)
        return TrestleError(PERMIT_UNUSABLE, f'The permit is {reason}.')
