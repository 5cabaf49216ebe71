"""Tracks which prompt parts the engines have cached, on the leader.

An engine lists its cache once and then reports what was stored and evicted.
Its events arrive late, a few are lost, and the engine keeps only the newest
ones: after a gap or a restart the engine is listed again. A single process
polls the engines, because an engine accepts only a few such calls at a time
and there are many entries.
"""

from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple, Protocol

from gevent import Greenlet, sleep, spawn

from trestle_control.apply import ControlStateMachine
from trestle_control.backend_notices import BackendNotices
from trestle_control.placement_log import PlacementLog
from trestle_control.replica_api import ReplicaApi
from trestle_core.lifecycle import keep_running
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend

_POLL_SECONDS: Final = 0.3
# Pause between two calls to one engine: a call that returns immediately costs
# as much as a probe, and events arrive later than this in any case.
_CALL_PAUSE_SECONDS: Final = 0.2
_MIN_RETRY_SECONDS: Final = 0.5
_MAX_RETRY_SECONDS: Final = 4.0

_log = part_logger('caches')


class CacheListing(NamedTuple):
    """An engine's cache: tokens by part, and the number of the next event.

    `epoch` changes when the engine restarts.
    """

    epoch: str
    next: int
    cached: dict[int, int]


class CacheChanges(NamedTuple):
    """Changed parts, each with the tokens that are cached now.

    `lost` is true when events before the first one were dropped.
    """

    epoch: str
    next: int
    lost: bool
    changed: list[tuple[int, int]]


class CacheFeed(Protocol):
    """The cache of one engine; calls raise `OSError` or `ValueError`."""

    def listing(self) -> CacheListing:
        """Return the complete cache of the engine."""

    def changes(self, since: int) -> CacheChanges:
        """Wait briefly for events; `since` is the first event number."""

    def close(self) -> None:
        """Close the connection."""


OpenFeed = Callable[[Backend], CacheFeed]


class CacheTracker:
    """Tracks each engine in a greenlet while this host leads."""

    def __init__(
        self,
        open_feed: OpenFeed,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        placements: PlacementLog,
        metrics: Metrics,
        notices: BackendNotices,
    ) -> None:
        """Start without engines; `open_feed` does not connect yet."""
        self.open_feed = open_feed
        self.state_machine = state_machine
        self.replica = replica
        self.placements = placements
        self.metrics = metrics
        self.notices = notices
        self.tracked: dict[str, Greenlet[..., None]] = {}

    def run(self) -> None:
        """Track the listed engines."""
        while True:
            self.poll()
            sleep(_POLL_SECONDS)

    def poll(self) -> None:
        """Start and stop greenlets as engines and leadership change."""
        engines = self._engines()
        for instance in self.tracked.keys() - engines.keys():
            # Stopped before its cache is removed, so it cannot add to it again.
            self.tracked.pop(instance).kill()
            self.placements.forget(instance)
        for instance, backend in engines.items():
            if instance not in self.tracked:
                self.tracked[instance] = spawn(
                    keep_running,
                    partial(self._track, backend),
                    self._count_failure,
                )

    def _count_failure(self, _name: str) -> None:
        self.metrics.count('task_failures', 'CacheTracker')

    def _engines(self) -> dict[str, Backend]:
        if not self.replica.is_leader:
            return {}
        return {
            backend.instance: backend
            for backend in self.state_machine.state.backends
            if backend.role and backend.instance not in self.notices.leaving
        }

    def _track(self, backend: Backend) -> None:
        retry_seconds = _MIN_RETRY_SECONDS
        while True:
            feed = self.open_feed(backend)
            try:
                listing = feed.listing()
                retry_seconds = _MIN_RETRY_SECONDS
                self._apply_changes(backend.instance, feed, listing)
                reason = 'events were missed'
            except (OSError, ValueError) as error:
                reason = f'{type(error).__name__}: {error}'
            finally:
                feed.close()
            self.metrics.count('cache_feeds_lost')
            pause_seconds = max(
                retry_seconds, self.notices.resting.seconds(backend.instance)
            )
            _log.info(
                'Listing the cache of {} again in {:.1f} s: {}.',
                backend.instance,
                pause_seconds,
                reason,
            )
            sleep(pause_seconds)
            retry_seconds = min(retry_seconds * 2, _MAX_RETRY_SECONDS)

    def _apply_changes(
        self, instance: str, feed: CacheFeed, listing: CacheListing
    ) -> None:
        """Record changes until events are lost or the engine restarts."""
        self.placements.record_listing(instance, listing.cached)
        self.metrics.count('cache_listings')
        _log.info('Listed the cache of {}.', instance)
        since = listing.next
        while True:
            sleep(_CALL_PAUSE_SECONDS)
            page = feed.changes(since)
            if page.lost or page.epoch != listing.epoch:
                return
            self.metrics.count('cache_changes', amount=len(page.changed))
            self.placements.record_changes(instance, page.changed)
            since = page.next
