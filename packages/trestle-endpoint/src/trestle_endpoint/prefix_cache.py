"""Estimates which prompt pieces are in the engine's prefix cache.

The estimate uses the engine's cache events, which arrive late and with gaps,
and the prompts that this process dispatched. A gap of n events hides at most
n evictions, and engines evict the least recently used piece first, so a gap
removes the n least recently used pieces. A new incarnation starts with an
empty cache.

A wrong entry only makes a prediction less accurate.
"""

from collections import OrderedDict
from collections.abc import Iterable

from trestle_core.metrics import Metrics
from trestle_endpoint.engine_interface import CacheEvent, CacheEvents

_STORED = 'stored'
_PIECE_LIMIT = 100_000


class PrefixCache:
    """The pieces that the engine is assumed to have cached."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with an empty cache."""
        self.metrics = metrics
        self.incarnation = ''
        self.sequence = 0
        # Ordered from the least to the most recently used piece.
        self.pieces: OrderedDict[str, None] = OrderedDict()

    def matched_pieces(self, pieces: Iterable[str]) -> int:
        """Return how many leading pieces of a prompt are cached."""
        count = 0
        for piece in pieces:
            if piece not in self.pieces:
                break
            count += 1
        return count

    def add_prefilled(self, pieces: Iterable[str]) -> None:
        """Add the pieces of a prompt whose prefill has just ended."""
        for piece in pieces:
            self._add(piece)

    def apply_events(self, page: CacheEvents) -> None:
        """Apply the events that have not been applied yet."""
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
        """Remove the least recently used pieces above the capacity."""
        self._evict_oldest(len(self.pieces) - capacity)

    def _apply_event(self, event: CacheEvent) -> None:
        missed = event.sequence - self.sequence - 1
        if missed:
            self.metrics.count('cache_event_gaps')
            self._evict_oldest(missed)
        self.sequence = event.sequence
        if event.kind == _STORED:
            self._add(event.piece)
        else:
            self.pieces.pop(event.piece, None)

    def _add(self, piece: str) -> None:
        self.pieces[piece] = None
        self.pieces.move_to_end(piece)
        self.trim(_PIECE_LIMIT)

    def _evict_oldest(self, count: int) -> None:
        for _ in range(min(count, len(self.pieces))):
            self.pieces.popitem(last=False)
