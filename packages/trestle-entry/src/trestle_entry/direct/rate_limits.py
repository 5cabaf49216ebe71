"""Keeps to the rate limits that back ends name, over all entries together.

A back end in need names in its answers how many requests a second it takes
from all entries. Every entry keeps a level for it that each send of any entry
raises by one and that falls at the named rate; it sends only while the level
is below the burst. The entries tell each other limits and sends through the
leader. An entry that hears nothing keeps to an equal part of the rate.

A request is counted when its place is taken, before it is sent, so that a
request whose prompt is being prefilled finds its place at the decode engine.
"""

from collections import Counter, deque
from math import inf
from time import monotonic
from typing import Final, NamedTuple

from gevent.event import Event

from trestle_core.logs import part_logger
from trestle_links.load_messages import NamedLimit, SendCount

# Sends that may follow each other at once, in seconds of the rate.
_BURST_SECONDS: Final = 0.25
_MIN_BURST: Final = 1.0
# One request in this time asks a back end that takes none whether that holds.
_LEAST_RATE: Final = 0.25
# Age of what the leader told above which other entries' sends are unknown.
_CURRENT_SECONDS: Final = 0.5

_log = part_logger('limits')


class SentCounts(NamedTuple):
    """The sends that a change told the leader."""

    number: int
    counts: Counter[str]


class RateLimit:
    """The limit of one back end, and the level of the sends to it.

    The level falls at a share of the rate, that of this entry.
    """

    def __init__(self, rate: float, share: float) -> None:
        """Start without room, as sends are counted only from now on."""
        self.rate = rate
        self.share = share
        self.named_at = monotonic()
        self.updated_at = self.named_at
        self.level = 0.0
        # The time from which there is room for one more request.
        self.free_at = 0.0
        self.add(max(_MIN_BURST, rate * _BURST_SECONDS))

    def add(self, sends: float) -> None:
        """Count sends, or with a negative figure take them back."""
        now = monotonic()
        fallen = (now - self.updated_at) * self._falling_rate()
        self.level = max(0.0, max(0.0, self.level - fallen) + sends)
        self.updated_at = now
        self._update_free_at()

    def change(self, rate: float, share: float) -> None:
        """Go on with another rate or share."""
        self.add(0)
        self.rate = rate
        self.share = share
        self._update_free_at()

    def _falling_rate(self) -> float:
        return max(self.rate, _LEAST_RATE) * self.share

    def _update_free_at(self) -> None:
        burst = max(_MIN_BURST, self.rate * _BURST_SECONDS)
        excess = max(0.0, self.level + 1 - burst)
        self.free_at = self.updated_at + excess / self._falling_rate()


class RateLimits:
    """The named limits by instance, and what is to be told of them."""

    def __init__(self, changed: Event) -> None:
        """Start without limits; `changed` is set when there is news."""
        self.changed = changed
        self.limits: dict[str, RateLimit] = {}
        # What the leader has not been told.
        self.unreported_limits: dict[str, float] = {}
        self.unreported_sends: Counter[str] = Counter()
        # What it was told and has not yet passed on.
        self.sent: deque[SentCounts] = deque()
        self.entry_count = 1
        self.heard_at = -inf
        # The part of each rate that this entry may use.
        self.share = 1.0

    def wait_seconds(self, instance: str) -> float:
        """Return the time until a back end takes one more request."""
        limit = self.limits.get(instance)
        return max(0.0, limit.free_at - monotonic()) if limit else 0.0

    def full(self) -> set[str]:
        """Return the back ends that take no more requests at present."""
        if not self.limits:
            return set()
        self._update_share()
        now = monotonic()
        return {
            instance
            for instance, limit in self.limits.items()
            if limit.free_at > now
        }

    def take(self, instance: str) -> None:
        """Count a request that is about to be sent."""
        self._count(instance, 1)

    def give_back(self, instance: str) -> None:
        """Take back a request that was counted and not sent."""
        self._count(instance, -1)

    def note_named(self, instance: str, rate: float, sent_at: float) -> None:
        """Record the limit in an answer, infinite for none.

        `sent_at` is when the request was sent: an answer to a request that is
        older than the limit does not lift it.
        """
        limit = self.limits.get(instance)
        if limit and rate == inf and sent_at < limit.named_at:
            return
        if limit and rate == limit.rate:
            limit.named_at = monotonic()
            return
        if limit or rate != inf:
            self._set(instance, rate)
            self.unreported_limits[instance] = rate
            self.changed.set()

    def take_limits(self) -> list[NamedLimit]:
        """Return the limits to tell the leader since the last call."""
        taken = [
            NamedLimit(instance, None if rate == inf else rate)
            for instance, rate in self.unreported_limits.items()
        ]
        self.unreported_limits.clear()
        return taken

    def take_sends(self, number: int) -> list[SendCount]:
        """Return the sends since the last call, told in this change."""
        counts = self.unreported_sends
        self.unreported_sends = Counter()
        if counts:
            self.sent.append(SentCounts(number, counts))
        return [SendCount(*counted) for counted in counts.items()]

    def start_stream(self) -> None:
        """Tell a leader that may be new all limits."""
        self.sent.clear()
        for instance, limit in self.limits.items():
            self.unreported_limits[instance] = limit.rate

    def apply(
        self,
        limits: list[NamedLimit],
        sends: list[SendCount],
        applied: int,
        entry_count: int,
    ) -> None:
        """Apply a push; its sends contain this entry's up to `applied`."""
        self._update_share()
        self.entry_count = entry_count
        self.heard_at = monotonic()
        self._update_share()
        for named in limits:
            self._apply_limit(named)
        others = Counter(dict(sends))
        while self.sent and self.sent[0].number <= applied:
            others.subtract(self.sent.popleft().counts)
        for instance, count in others.items():
            known = self.limits.get(instance)
            if known:
                known.add(count)

    def keep_only(self, instances: set[str]) -> None:
        """Drop the limits of all other back ends."""
        for instance in set(self.limits) - instances:
            self.limits.pop(instance)

    def _apply_limit(self, named: NamedLimit) -> None:
        rate = inf if named.rate is None else named.rate
        limit = self.limits.get(named.instance)
        if rate != (limit.rate if limit else inf):
            self._set(named.instance, rate)

    def _set(self, instance: str, rate: float) -> None:
        limit = self.limits.get(instance)
        if rate == inf:
            self.limits.pop(instance, None)
            _log.info('{} names no rate limit any more.', instance)
            return
        _log.info('{} names a limit of {:.2f} requests/s.', instance, rate)
        if limit is None:
            self.limits[instance] = RateLimit(rate, self.share)
            return
        limit.change(rate, self.share)
        limit.named_at = monotonic()

    def _count(self, instance: str, sends: int) -> None:
        limit = self.limits.get(instance)
        if limit:
            limit.add(sends)
            self.unreported_sends[instance] += sends
            self.changed.set()

    def _update_share(self) -> None:
        """Let the levels fall by what this entry may send, from now on.

        What was sent before counts at the share that held then.
        """
        is_current = monotonic() - self.heard_at < _CURRENT_SECONDS
        share = 1.0 if is_current else 1 / max(1, self.entry_count)
        if share != self.share:
            self.share = share
            for limit in self.limits.values():
                limit.change(limit.rate, share)
