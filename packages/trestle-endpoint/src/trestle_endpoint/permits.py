"""The permit table: what may still start, and what has started.

A permit names the incarnation that issued it, is usable once, and expires
by this process's own monotonic clock. The incarnation is new at each start,
so a permit of an earlier process never starts anything here.

Invariant, on which `not-run` rests: within one incarnation a permit that is
neither outstanding nor used was never used and never can be. So a permit of
a claimed call stays in `used`, with its outcome, until the control state
has committed that outcome. The model in testbed/claim_model.py explores the
rule; its variant `forget-early` shows what breaks without it.
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
    """What a permit was asked for.

    `cached_pieces` are those that the engine held at the grant.
    `prefill_tokens` are those that neither they nor the prompts ahead cover.
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
        """Return the first piece that the engine lacked, empty if none."""
        missing = self.pieces[self.cached_pieces :]
        return missing[0] if missing else ''


class WorkItem:
    """One permit from its grant until it is forgotten."""

    def __init__(self, permit: Permit, demand: Demand, expires_at: float):
        """Start as a granted place that nobody uses yet."""
        self.permit = permit
        self.demand = demand
        self.expires_at = expires_at
        # Set while the engine reads the prompt or the answer is decoded.
        self.is_prefilled = False
        self.content = ''
        self.outcome: Outcome | None = None
        # Set when the control state needs nothing more of the outcome.
        self.settled = Event()


class PermitTable:
    """Outstanding and used permits of this incarnation."""

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
        # In the order of their expiry, for the life of all is the same.
        self.outstanding: dict[int, WorkItem] = {}
        self.used: dict[int, WorkItem] = {}

    @classmethod
    def from_config(cls, settings: EndpointSettings, metrics: Metrics) -> Self:
        """Make the table of a process."""
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
        """Take an outstanding permit of this request for good.

        Raises `TrestleError` when it cannot start anything.
        """
        self.expire()
        work = self.outstanding.get(permit.serial)
        if not self.is_own(permit):
            raise self._unusable('foreign')
        if work is None:
            raise self._unusable('not-outstanding')
        if work.demand.request_id != request_id:
            raise self._unusable('crossed-request')
        self.used[permit.serial] = self.outstanding.pop(permit.serial)
        self.metrics.count('permits', 'used')
        return work

    def find_used(self, permit: Permit, request_id: str) -> WorkItem | None:
        """Return the work that the permit was used for, if it is kept."""
        work = self.used.get(permit.serial)
        if work is None or not self.is_own(permit):
            return None
        return work if work.demand.request_id == request_id else None

    def forget(self, work: WorkItem) -> None:
        """Drop a used permit whose outcome is safe or of no weight."""
        self.used.pop(work.permit.serial, None)
        work.settled.set()

    def return_unused(self, permit: Permit) -> None:
        """Free the place of an unused permit; it can never be used."""
        if not self.is_own(permit):
            return
        if self.outstanding.pop(permit.serial, None):
            self.metrics.count('permits', 'returned')

    def revoke(self, permit: Permit) -> PermitRevoked:
        """Make a permit unusable and tell what became of it."""
        revoked = self._revoked(permit)
        self.metrics.count('permit_revocations', revoked.state.value)
        return revoked

    def expire(self) -> None:
        """Drop the outstanding permits whose time is over."""
        now = self.clock()
        while self.outstanding:
            serial, work = next(iter(self.outstanding.items()))
            if work.expires_at > now:
                return
            self.outstanding.pop(serial)
            self.metrics.count('permits', 'expired')

    def is_own(self, permit: Permit) -> bool:
        """Tell whether this incarnation issued the permit."""
        return (
            permit.endpoint == self.host
            and permit.incarnation == self.incarnation
            and 0 < permit.serial < self.next_serial
        )

    def _revoked(self, permit: Permit) -> PermitRevoked:
        if not self.is_own(permit):
            return PermitRevoked(PermitState.FOREIGN)
        self.outstanding.pop(permit.serial, None)
        work = self.used.get(permit.serial)
        if work is None:
            return PermitRevoked(PermitState.UNUSED)
        outcome = work.outcome
        if outcome is None or outcome.verdict is Verdict.MAY_HAVE_RUN:
            # The control state will hold the outcome that is in doubt; an
            # answer with no status must not pass for one of the service.
            return PermitRevoked(PermitState.RUNNING)
        if outcome.verdict is Verdict.NOT_RUN:
            return PermitRevoked(PermitState.UNUSED)
        return PermitRevoked(PermitState.FINISHED, outcome.status, outcome.body)

    def _unusable(self, reason: str) -> TrestleError:
        self.metrics.count('permit_refusals', reason)
        return TrestleError(PERMIT_UNUSABLE, f'The permit is {reason}.')
