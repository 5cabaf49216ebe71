"""Prefix cache of the fake engine, in pieces of 2,000 tokens."""

from collections import OrderedDict, deque
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from xxhash import xxh3_64_hexdigest

from testbed.serving import JsonObject

PIECE_TOKENS: Final = 2000
KEPT_EVENTS: Final = 10_000


class CacheEvent(NamedTuple):
    """One change of the cache, told only after seconds of lag."""

    happened: float
    sequence: int
    kind: str
    piece: str


def prefix_digest(words: list[str]) -> str:
    """Return the digest of a prompt's leading words."""
    return xxh3_64_hexdigest(' '.join(words).encode())


def piece_digests(words: list[str]) -> list[str]:
    """Return the digests of a prompt's whole pieces, the first one first."""
    ends = range(PIECE_TOKENS, len(words) + 1, PIECE_TOKENS)
    return [prefix_digest(words[:end]) for end in ends]


class PrefixCache:
    """Least recently used pieces leave when the memory is full."""

    def __init__(
        self, capacity: int, lag_seconds: float, loss: float, seed: int
    ) -> None:
        self.capacity = capacity
        self.lag_seconds = lag_seconds
        self.loss = loss
        self.random = Random(seed)
        self.pieces: OrderedDict[str, None] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)
        self.sequence = 0

    def matched_tokens(self, digests: list[str]) -> int:
        """Return how many leading tokens of a prompt are cached."""
        count = 0
        for digest in digests:
            if digest not in self.pieces:
                break
            self.pieces.move_to_end(digest)
            count += 1
        return count * PIECE_TOKENS

    def store(self, digests: list[str]) -> None:
        """Keep a prompt's pieces and evict the least recently used."""
        for digest in digests:
            if digest not in self.pieces:
                self.tell('stored', digest)
            self.pieces[digest] = None
            self.pieces.move_to_end(digest)
        while len(self.pieces) > self.capacity:
            self.tell('evicted', self.pieces.popitem(last=False)[0])

    def clear(self) -> None:
        """Forget all pieces, as a change of model does."""
        while self.pieces:
            self.tell('evicted', self.pieces.popitem(last=False)[0])

    def tell(self, kind: str, piece: str) -> None:
        """Number an event; a lost one leaves a gap in the sequence."""
        self.sequence += 1
        if self.random.random() >= self.loss:
            self.events.append(
                CacheEvent(monotonic(), self.sequence, kind, piece)
            )

    def events_after(self, sequence: int) -> list[JsonObject]:
        """Return the events after a sequence number that are told by now."""
        latest = monotonic() - self.lag_seconds
        return [
            {
                'sequence': event.sequence,
                'kind': event.kind,
                'piece': event.piece,
            }
            for event in self.events
            if event.sequence > sequence and event.happened <= latest
        ]
