"""Which prompt parts each engine probably still holds.

The belief rests on what was sent where, by this entry and, as placements of
the load exchange, by the others. Where the leader follows the engine's own
cache, what left it is told too; otherwise a part of the memory is taken to be
used by running requests. Either way the parts that were used least lately go
first.
"""

from collections import OrderedDict
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import Final

from trestle_entry.direct.wire_types import PromptPart

# Share of an engine's memory that prompts are believed to stay in while
# nobody tells what left it (docs/BENCH.md has the runs).
_ASSUMED_CACHE_SHARE: Final = 0.55
# Memory goes by blocks: a part may be kept without its last tokens.
_BLOCK_TOKENS: Final = 16
# Longest time that a read which was asked for is believed in, s.
_PENDING_SECONDS: Final = 1.5


class CachedParts:
    """The parts of one engine, least recently used first."""

    def __init__(self) -> None:
        """Hold nothing; the size of the memory is not known yet."""
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.tokens = 0
        self.limit_tokens = inf
        # Parts that the engine was asked to read, and until when to believe.
        self.pending: dict[int, float] = {}
        # Whether the leader tells what leaves the memory.
        self.has_eviction_reports = False

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that will be held when it is their turn.

        A prompt that is asked for now is read after those that are being
        read.
        """
        now = monotonic()
        return _leading_tokens(
            parts, lambda part: self._expected_tokens(part, now)
        )

    def copyable_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that are held already."""
        return _leading_tokens(
            parts, lambda part: self.parts.get(part.part_id, 0)
        )

    def note_pending(self, part: int, tokens: int) -> bool:
        """Note a part that is being read; return whether it is news."""
        is_new = self.parts.get(part, 0) < tokens
        if is_new:
            self.pending[part] = monotonic() + _PENDING_SECONDS
        return is_new

    def note_used(
        self, parts: tuple[PromptPart, ...], kv_cache_tokens: int
    ) -> None:
        """Note that an engine of so much memory has read a prompt."""
        if self.has_eviction_reports:
            # Nobody tells when a part that is not shared leaves.
            parts = parts[:-1]
            self.limit_tokens = kv_cache_tokens
        else:
            self.limit_tokens = kv_cache_tokens * _ASSUMED_CACHE_SHARE
        for part in parts:
            self.note_part(part.part_id, part.tokens)

    def note_part(self, part: int, tokens: int) -> None:
        """Note one part; the oldest ones leave a full memory.

        A part without tokens is no longer held.
        """
        previous = self.parts.pop(part, None)
        self.tokens += tokens - (previous or 0)
        self.pending.pop(part, None)
        if tokens:
            self.parts[part] = tokens
        while self.tokens > self.limit_tokens and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped

    def replace(self, parts: dict[int, int]) -> None:
        """Take over what the engine itself told."""
        self.has_eviction_reports = True
        self.parts = OrderedDict(parts)
        self.tokens = sum(parts.values())

    def _expected_tokens(self, part: PromptPart, now: float) -> int:
        if self.pending.get(part.part_id, 0.0) > now:
            return part.tokens
        return self.parts.get(part.part_id, 0)


def _leading_tokens(
    parts: tuple[PromptPart, ...], cached: Callable[[PromptPart], int]
) -> int:
    total = 0
    for part in parts:
        cached_tokens = cached(part)
        total += min(cached_tokens, part.tokens)
        if cached_tokens + _BLOCK_TOKENS <= part.tokens:
            break
    return total
