"""Streams that began through this entry, and what it has to tell of them.

The leader is told when a stream has begun, so that it knows the origin of a
stream whose entry is killed in its middle. What it was told cannot be taken
back, so nothing is told of an engine that has not brought an event.
"""

from collections import defaultdict
from math import ceil
from time import monotonic
from typing import Final

from gevent.event import Event

from trestle_links.stream_messages import (
    BegunStreams,
    StreamOrigin,
    stream_key,
)
from trestle_links.stream_origins import StreamOrigins

# Longer than callers wait by their own account: clocks differ, and requests
# are in transit.
_SLACK_SECONDS: Final = 5.0
# Callers that claim to wait longer are not believed.
_MAX_WAIT_SECONDS: Final = 600.0


class OwnStreams:
    """The origins of this entry's streams, by the caller's request id."""

    def __init__(self, changed: Event) -> None:
        """Start without streams; `changed` is set when there is news."""
        self.changed = changed
        self.origins = StreamOrigins()
        # Who began each stream that was not told of, and for how many seconds
        # it may be taken up.
        self.unreported: dict[int, tuple[StreamOrigin, int]] = {}

    def note(
        self, request_id: str, origin: StreamOrigin, waits_until: float
    ) -> None:
        """Record who began a stream, before its caller gets an event.

        `waits_until` is the time at which the caller stops waiting.
        """
        now = monotonic()
        key = stream_key(request_id)
        until = min(waits_until, now + _MAX_WAIT_SECONDS) + _SLACK_SECONDS
        self.origins.note(key, origin, until, now)
        self.unreported[key] = (origin, ceil(until - now))
        self.changed.set()

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return who began a stream, None if not this entry's."""
        return self.origins.find(stream_key(request_id), monotonic())

    def take_unreported(self) -> list[BegunStreams]:
        """Return the streams since the last call."""
        keys_by_group: defaultdict[tuple[StreamOrigin, int], list[int]] = (
            defaultdict(list)
        )
        for key, group in self.unreported.items():
            keys_by_group[group].append(key)
        self.unreported.clear()
        return [
            BegunStreams(origin, seconds, keys)
            for (origin, seconds), keys in keys_by_group.items()
        ]

    def report_all(self) -> None:
        """Tell of every stream again, to a leader that may not know any."""
        self.unreported.clear()
        for origin, seconds, keys in self.origins.all_begun(monotonic()):
            self.unreported.update(dict.fromkeys(keys, (origin, seconds)))
        self.changed.set()
