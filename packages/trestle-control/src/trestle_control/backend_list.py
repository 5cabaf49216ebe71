"""Tracks the platform's list of back ends, on the leader.

A single process reads the list, because calls are limited for the whole
fleet. A change goes through the log, so every entry receives the changes in
order and keeps the list while the platform or the leader is unavailable. What
a leader read is committed in its own term only: a host that was frozen between
the two would undo what its successor has read since. A failed read changes
nothing; the entries then detect on their own which back ends respond.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from gevent import sleep

from trestle_control.apply import ControlStateMachine
from trestle_control.replica_api import ReplicaApi
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend, ListBackends


class BackendListing(NamedTuple):
    """The sound back ends of the list, in its order; an id may come twice.

    Unless the listing is complete, there may be more of them. `skipped` counts
    the entries that name no back end; `reason` is that of the first one.
    """

    backends: list[Backend]
    is_complete: bool = True
    skipped: int = 0
    reason: str = ''


ReadBackends = Callable[[], BackendListing]

# A back end that leaves must be noticed well within the platform's drain
# limit of three seconds, of which the lag of the list takes nearly one.
READ_INTERVAL_SECONDS: Final = 0.8
_SUBMIT_TIMEOUT_SECONDS: Final = 2.0

_log = part_logger('list')


class BackendListReader:
    """Reads the list while this host leads."""

    def __init__(
        self,
        read: ReadBackends,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        metrics: Metrics,
    ) -> None:
        """Create the reader; `read` raises `OSError` or `ValueError`."""
        self.read = read
        self.state_machine = state_machine
        self.replica = replica
        self.metrics = metrics
        self.failed_reads = 0
        self.skipped = 0

    def run(self) -> None:
        """Refresh the list periodically while this host leads."""
        while True:
            if self.replica.is_leader:
                self.refresh()
            sleep(READ_INTERVAL_SECONDS)

    def refresh(self) -> None:
        """Read the list once and commit what changed, in the present term."""
        term = self.replica.lead.term
        try:
            listing = self.read()
        except (OSError, ValueError) as error:
            self._record_failure(error)
            return
        if self.failed_reads:
            _log.info(
                'Reading the list of back ends works again after {} failed reads.',
                self.failed_reads,
            )
            self.failed_reads = 0
        self.metrics.count('backend_list_reads')
        self._record_skipped(listing)
        known = self.state_machine.state.backends
        listed = _merge(known, listing)
        if listed == known:
            return
        _log_changes(known, listed)
        try:
            self.replica.submit_as_leader(
                ListBackends(listed), term, _SUBMIT_TIMEOUT_SECONDS
            )
        except TrestleError as error:
            # The next read submits the difference again.
            _log.warning('Cannot commit the list of back ends: {}.', error)

    def _record_skipped(self, listing: BackendListing) -> None:
        """Tell of entries that name no back end, when that changes."""
        self.metrics.set_gauge('backend_list_skipped', listing.skipped)
        if not listing.is_complete:
            self.metrics.count('backend_list_incomplete')
        if listing.skipped != self.skipped:
            self.skipped = listing.skipped
            _log.warning(
                'Skipping {} entries of the list, the first one because: {}.',
                listing.skipped,
                listing.reason or 'none is left',
            )

    def _record_failure(self, error: Exception) -> None:
        self.failed_reads += 1
        self.metrics.count('backend_list_failures')
        if self.failed_reads == 1:
            _log.warning('Cannot read the list of back ends: {}.', error)


def _merge(known: list[Backend], listing: BackendListing) -> list[Backend]:
    """Return the back ends of a listing, one for each id, sorted.

    Of several with one id, that which is known stays, else the first one; if
    it is listed twice, it leaves if either says so. What an incomplete listing
    does not name stays as it is known.
    """
    known_by_id = {backend.instance: backend for backend in known}
    merged = {} if listing.is_complete else dict(known_by_id)
    seen: dict[str, Backend] = {}
    for backend in listing.backends:
        instance = backend.instance
        before = seen.get(instance)
        if before and _is_same(before, backend):
            leaving = before.leaving or backend.leaving
            seen[instance] = backend._replace(leaving=leaving)
        elif before is None or _is_same(known_by_id.get(instance), backend):
            seen[instance] = backend
    merged.update(seen)
    return sorted(merged.values())


def _is_same(known: Backend | None, backend: Backend) -> bool:
    """Return whether a back end is the known one, in whatever state."""
    return known is not None and known[1:3] == backend[1:3]


def _log_changes(before: list[Backend], after: list[Backend]) -> None:
    known = {backend.instance: backend for backend in before}
    listed = {backend.instance for backend in after}
    for backend in after:
        if known.get(backend.instance) != backend:
            _log.info(
                'Listed {} at {}: software {}, role {}, leaving {}.',
                backend.instance,
                backend.address,
                backend.software or 'unknown',
                backend.role or 'none',
                backend.leaving,
            )
    for instance in known.keys() - listed:
        _log.info('{} is no longer listed.', instance)
