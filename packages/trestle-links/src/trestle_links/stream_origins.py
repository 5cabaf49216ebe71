"""Which software version began each stream that callers may still take up.

Records of one origin that end in the same second are dropped together, so that
a record costs the same however many there are. A record is true whoever holds
it; a missing one tells nothing.
"""

from math import ceil
from typing import Final, NamedTuple

from trestle_links.stream_messages import BegunStreams, StreamOrigin

# At 16,000 requests/s, those of half a minute.
MAX_STREAMS: Final = 500_000


class StreamGroup(NamedTuple):
    """Streams of one origin; `until` is the second in which they end."""

    origin: StreamOrigin
    until: int
    keys: list[int]


class StreamOrigins:
    """The records, by the keys of `stream_messages.stream_key`.

    Times are monotonic seconds of the process; messages carry durations.
    """

    def __init__(self, limit: int = MAX_STREAMS) -> None:
        """Start without streams; of more than `limit`, the oldest are dropped."""
        self.limit = limit
        self.group_by_key: dict[int, StreamGroup] = {}
        self.groups: dict[tuple[StreamOrigin, int], StreamGroup] = {}
        self.dropped_at = 0.0

    def note(
        self, key: int, origin: StreamOrigin, until: float, now: float
    ) -> None:
        """Record who is about to begin a stream; the last record counts."""
        self._drop_ended(now)
        index = (origin, ceil(until))
        group = self.groups.get(index)
        if group is None:
            group = StreamGroup(*index, [])
            self.groups[index] = group
        if self.group_by_key.get(key) is not group:
            group.keys.append(key)
            self.group_by_key[key] = group
        if len(self.group_by_key) > self.limit:
            self._drop(min(self.groups.values(), key=_end_of))

    def note_begun(self, begun: BegunStreams, now: float) -> None:
        """Record streams that another process tells of."""
        for key in begun.keys:
            self.note(key, begun.origin, now + begun.seconds, now)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return who began a stream, None if it is not known."""
        group = self.group_by_key.get(key)
        return group.origin if group and now <= group.until else None

    def all_begun(self, now: float) -> list[BegunStreams]:
        """Return every record, as it is told to another process."""
        return [
            BegunStreams(
                group.origin,
                ceil(group.until - now),
                [
                    key
                    for key in group.keys
                    if self.group_by_key.get(key) is group
                ],
            )
            for group in self.groups.values()
            if now < group.until
        ]

    def _drop_ended(self, now: float) -> None:
        if now - self.dropped_at < 1:
            return
        self.dropped_at = now
        ended = [group for group in self.groups.values() if group.until < now]
        for group in ended:
            self._drop(group)

    def _drop(self, group: StreamGroup) -> None:
        self.groups.pop((group.origin, group.until))
        for key in group.keys:
            if self.group_by_key.get(key) is group:
                self.group_by_key.pop(key)


def _end_of(group: StreamGroup) -> int:
    return group.until
