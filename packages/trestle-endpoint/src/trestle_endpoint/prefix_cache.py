"""Which prompt pieces the engine holds, as far as can be trusted.

Fed by the engine's cache events, which come late and with gaps, and by what
this process dispatched itself. A gap of n events hides at most n evictions,
and engines evict the least recently used first: so a gap drops the n least
recently used pieces. A new incarnation starts with an empty cache.

A wrong entry costs a wrong prediction and nothing else.
"""

from collections import OrderedDict
from collections.abc import Iterable

from trestle_core.metrics import Metrics
from trestle_endpoint.engine_interface import CacheEvent, CacheEvents

_STORED = 'stored'
_PIECE_LIMIT = 100_000


class PrefixCache:
    """The pieces that the engine is thought to hold."""

    def __init__(self, metrics: Metrics) -> None:
        """Hold nothing."""
        self.metrics = metrics
        self.incarnation = ''
        self.sequence = 0
        # The least recently used piece stands first.
        self.pieces: OrderedDict[str, None] = OrderedDict()

    def matched_pieces(self, pieces: Iterable[str]) -> int:
        """Return how many leading pieces of a prompt are held."""
        count = 0
        for piece in pieces:
            if piece not in self.pieces:
                break
            count += 1
        return count

    def add_prefilled(self, pieces: Iterable[str]) -> None:
        """Take the pieces of a prompt that the engine has just read."""
        for piece in pieces:
            self._add(piece)

    def apply_events(self, page: CacheEvents) -> None:
        """Apply the events after those that were seen."""
        if page.incarnation != self.incarnation:
            self.incarnation = page.incarnation
            self.sequence = 0
            self.pieces.clear()
        for event in page.events:
            if event.sequence <= self.sequence:
                self.metrics.count('cache_events_ignored', 'seen-before')
                continue
            self._apply_event(event)

    def trim(self, capacity: int) -> None:
        """Drop the least recently used pieces over the capacity."""
        self._drop_oldest(len(self.pieces) - capacity)

    def _apply_event(self, event: CacheEvent) -> None:
        missing = event.sequence - self.sequence - 1
        if missing:
            self.metrics.count('cache_event_gaps')
            self._drop_oldest(missing)
        self.sequence = event.sequence
        if event.kind == _STORED:
            self._add(event.piece)
        else:
            self.pieces.pop(event.piece, None)

    def _add(self, piece: str) -> None:
        self.pieces[piece] = None
        self.pieces.move_to_end(piece)
        self.trim(_PIECE_LIMIT)

    def _drop_oldest(self, count: int) -> None:
        for _ in range(min(count, len(self.pieces))):
            self.pieces.popitem(last=False)
