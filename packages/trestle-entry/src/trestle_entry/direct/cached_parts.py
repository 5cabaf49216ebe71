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
_KEPT_SHARE: Final = 0.55
# Memory goes by blocks: a part may be kept without its last tokens.
_BLOCK_TOKENS: Final = 16
# Longest time that a read which was asked for is believed in, s.
_ARRIVAL_SECONDS: Final = 1.5


class CachedParts:
    """The parts of one engine, least recently used first."""

    def __init__(self) -> None:
        """Hold nothing; the size of the memory is not known yet."""
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.tokens = 0
        self.limit_tokens = inf
        # Parts that the engine was asked to read, and until when to believe.
        self.arriving: dict[int, float] = {}
        # Whether the leader tells what leaves the memory.
        self.is_followed = False

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that will be held when it is their turn.

        A prompt that is asked for now is read after those that are being
        read.
        """
        now = monotonic()
        return _leading(parts, lambda part: self._expected(part, now))

    def read_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that are held already."""
        return _leading(parts, lambda part: self.parts.get(part.part, 0))

    def note_arriving(self, part: int, tokens: int) -> bool:
        """Note a part that is being read; return whether it is news."""
        is_news = self.parts.get(part, 0) < tokens
        if is_news:
            self.arriving[part] = monotonic() + _ARRIVAL_SECONDS
        return is_news

    def note_used(
        self, parts: tuple[PromptPart, ...], memory_tokens: int
    ) -> None:
        """Note that an engine of so much memory has read a prompt."""
        if self.is_followed:
            # Nobody tells when a part that is not shared leaves.
            parts = parts[:-1]
            self.limit_tokens = memory_tokens
        else:
            self.limit_tokens = memory_tokens * _KEPT_SHARE
        for part in parts:
            self.note_part(part.part, part.tokens)

    def note_part(self, part: int, tokens: int) -> None:
        """Note one part; the oldest ones leave a full memory.

        A part without tokens is no longer held.
        """
        known = self.parts.pop(part, None)
        self.tokens += tokens - (known or 0)
        self.arriving.pop(part, None)
        if tokens:
            self.parts[part] = tokens
        while self.tokens > self.limit_tokens and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped

    def replace(self, parts: dict[int, int]) -> None:
        """Take over what the engine itself told."""
        self.is_followed = True
        self.parts = OrderedDict(parts)
        self.tokens = sum(parts.values())

    def _expected(self, part: PromptPart, now: float) -> int:
        if self.arriving.get(part.part, 0.0) > now:
            return part.tokens
        return self.parts.get(part.part, 0)


def _leading(
    parts: tuple[PromptPart, ...], held: Callable[[PromptPart], int]
) -> int:
    total = 0
    for part in parts:
        known = held(part)
        total += min(known, part.tokens)
        if known + _BLOCK_TOKENS <= part.tokens:
            break
    return total
