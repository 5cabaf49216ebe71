"""Which prompt parts each engine probably still holds.

The belief rests on what was sent where, by this entry and, as placements of
the load exchange, by the others. It is bounded like the engine's memory: the
parts that were used least lately go first.
"""

from collections import OrderedDict
from math import inf

from trestle_entry.direct.wire_types import PromptPart


class CachedParts:
    """The parts of one engine, least recently used first."""

    def __init__(self) -> None:
        """Hold nothing; the size of the memory is not known yet."""
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.tokens = 0
        self.limit_tokens = inf

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of the leading parts that are held."""
        total = 0
        for part in parts:
            if part.part not in self.parts:
                break
            total += part.tokens
        return total

    def note_used(
        self, parts: tuple[PromptPart, ...], limit_tokens: int
    ) -> None:
        """Note that the engine has read or fetched a prompt."""
        self.limit_tokens = limit_tokens
        for part in parts:
            self.note_part(part.part, part.tokens)

    def note_part(self, part: int, tokens: int) -> None:
        """Note one part; the oldest ones leave a full memory."""
        known = self.parts.pop(part, None)
        self.tokens += tokens - (known or 0)
        self.parts[part] = tokens
        while self.tokens > self.limit_tokens and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped
