"""Follows what engines keep of prompts, on the leader.

An engine lists its memory once, and from then on tells what came and went.
Its events come late, a few never come, and only the newest are kept: after a
gap or a restart the engine is listed anew. One process asks, because an
engine keeps few such calls waiting and entries are many.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from gevent import Greenlet, sleep, spawn

from trestle_control.apply import ControlMachine
from trestle_control.placement_log import PlacementLog
from trestle_control.replica_api import ReplicaApi
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.direct_messages import Backend

_LOOK_SECONDS: Final = 0.3
# Pause between two calls to one engine: a call that returns at once costs as
# much as a probe, and events are late by more than this anyway.
_PAUSE_SECONDS: Final = 0.2
_FIRST_REST_SECONDS: Final = 0.5
_LONGEST_REST_SECONDS: Final = 4.0

_log = part_logger('caches')


class CacheListing(NamedTuple):
    """An engine's memory: tokens by part, and the number of the next event.

    Another `epoch` is another start of the engine.
    """

    epoch: str
    next: int
    held: dict[int, int]


class CacheChanges(NamedTuple):
    """Parts that changed, each with the tokens that are kept now.

    `lost` tells that events before the first one are gone.
    """

    epoch: str
    next: int
    lost: bool
    changed: list[tuple[int, int]]


class CacheFeed(Protocol):
    """The cache of one engine; calls raise `OSError` or `ValueError`."""

    def listing(self) -> CacheListing:
        """Return what the engine holds."""

    def changes(self, since: int) -> CacheChanges:
        """Wait a little for events from a number on."""

    def close(self) -> None:
        """Close the connection."""


OpenFeed = Callable[[Backend], CacheFeed]


class CacheFollower:
    """One greenlet for each engine while this host leads."""

    def __init__(
        self,
        open_feed: OpenFeed,
        machine: ControlMachine,
        replica: ReplicaApi,
        placements: PlacementLog,
        metrics: Metrics,
    ) -> None:
        """Prepare; `open_feed` does not connect yet."""
        self.open_feed = open_feed
        self.machine = machine
        self.replica = replica
        self.placements = placements
        self.metrics = metrics
        self.followed: dict[str, Greenlet[..., None]] = {}

    def run(self) -> None:
        """Follow the engines that are listed, for ever."""
        while True:
            self.look()
            sleep(_LOOK_SECONDS)

    def look(self) -> None:
        """Start and end followers as engines and leadership change."""
        engines = self._engines()
        for instance in self.followed.keys() - engines.keys():
            # A follower that has not ended yet could note one more change.
            self.followed.pop(instance).kill()
            self.placements.forget(instance)
        for instance, backend in engines.items():
            if instance not in self.followed:
                self.followed[instance] = spawn(self._follow, backend)

    def _engines(self) -> dict[str, Backend]:
        if not self.replica.is_leader:
            return {}
        return {
            backend.instance: backend
            for backend in self.machine.state.backends
            if backend.role
        }

    def _follow(self, backend: Backend) -> None:
        rest_seconds = _FIRST_REST_SECONDS
        while True:
            feed = self.open_feed(backend)
            try:
                listing = feed.listing()
                rest_seconds = _FIRST_REST_SECONDS
                self._follow_from(backend.instance, feed, listing)
                reason = 'events were missed'
            except (OSError, ValueError) as error:
                reason = f'{type(error).__name__}: {error}'
            finally:
                feed.close()
            self.metrics.count('cache_feeds_lost')
            _log.info(
                'Cache of {} is listed again in {:.1f} s: {}.',
                backend.instance,
                rest_seconds,
                reason,
            )
            sleep(rest_seconds)
            rest_seconds = min(rest_seconds * 2, _LONGEST_REST_SECONDS)

    def _follow_from(
        self, instance: str, feed: CacheFeed, listing: CacheListing
    ) -> None:
        """Note changes until some are missing."""
        self.placements.note_memory(instance, listing.held)
        self.metrics.count('cache_listings')
        _log.info('Cache of {} is known.', instance)
        since = listing.next
        while True:
            sleep(_PAUSE_SECONDS)
            page = feed.changes(since)
            if page.lost or page.epoch != listing.epoch:
                return
            self.metrics.count('cache_changes', amount=len(page.changed))
            self.placements.note_changes(instance, page.changed)
            since = page.next
