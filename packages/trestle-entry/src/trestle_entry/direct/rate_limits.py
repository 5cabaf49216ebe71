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
    """The limit of one back end, and the level of the sends to it."""

    def __init__(self, rate: float) -> None:
        """Start without room, as sends were counted only from now on."""
        self.rate = rate
        self.named_at = monotonic()
        self.level = self.burst
        self.updated_at = monotonic()

    @property
    def burst(self) -> float:
        """The level up to which requests are sent."""
        return max(_MIN_BURST, self.rate * _BURST_SECONDS)

    def add(self, sends: int) -> None:
        """Count sends, or with a negative figure take them back."""
        self.level = max(0.0, self.level + sends)

    def drain(self, share: float) -> None:
        """Let the level fall by the share of the rate since the last call."""
        now = monotonic()
        rate = max(self.rate, _LEAST_RATE) * share
        self.level = max(0.0, self.level - (now - self.updated_at) * rate)
        self.updated_at = now

    def wait_seconds(self, share: float) -> float:
        """Return the time until there is room for one more request."""
        self.drain(share)
        rate = max(self.rate, _LEAST_RATE) * share
        return max(0.0, self.level + 1 - self.burst) / rate


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

    def wait_seconds(self, instance: str) -> float:
        """Return the time until a back end takes one more request."""
        limit = self.limits.get(instance)
        return limit.wait_seconds(self._share()) if limit else 0.0

    def full(self) -> set[str]:
        """Return the back ends that take no more requests at present."""
        return {name for name in self.limits if self.wait_seconds(name) > 0}

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
        # The time before the push counts at the share that held then.
        share = self._share()
        for limit in self.limits.values():
            limit.drain(share)
        self.entry_count = entry_count
        self.heard_at = monotonic()
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
            self.limits[instance] = RateLimit(rate)
            return
        limit.drain(self._share())
        limit.rate = rate
        limit.named_at = monotonic()

    def _count(self, instance: str, sends: int) -> None:
        limit = self.limits.get(instance)
        if limit:
            limit.drain(self._share())
            limit.add(sends)
            self.unreported_sends[instance] += sends
            self.changed.set()

    def _share(self) -> float:
        """Return the share of the rates that this entry may use."""
        if monotonic() - self.heard_at < _CURRENT_SECONDS:
            return 1.0
        return 1 / max(1, self.entry_count)
