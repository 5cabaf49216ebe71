"""Estimates which prompt parts each engine has in its KV cache.

The estimate is based on the prompts that were sent to each engine, by this
entry and, as placements of the load exchange, by the others. If the leader
follows the engine's cache, evictions are reported as well; otherwise a share
of the KV cache is assumed to be used by running requests. In both cases the
least recently used parts are evicted first.
"""

from collections import OrderedDict
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import Final

from trestle_entry.direct.wire_types import PromptPart

# Share of an engine's KV cache that is assumed to keep prompts while its
# evictions are not reported.
_ASSUMED_CACHE_SHARE: Final = 0.55
# The KV cache consists of blocks: the last tokens of a part may be missing.
_BLOCK_TOKENS: Final = 16
# Time after which a prefill that was requested no longer counts as pending.
_PENDING_SECONDS: Final = 1.5


class CachedParts:
    """The parts of one engine, least recently used first."""

    def __init__(self) -> None:
        """Start empty; the size of the KV cache is not known yet."""
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.tokens = 0
        self.limit_tokens = inf
        # Parts whose prefill was requested, and the monotonic time until which
        # they count as cached.
        self.pending: dict[int, float] = {}
        # Whether the leader reports what the engine evicts.
        self.has_eviction_reports = False

    def cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that a new prompt will find cached.

        A prompt that is sent now is prefilled after the pending ones, so
        these count.
        """
        now = monotonic()
        return _leading_tokens(
            parts, lambda part: self._expected_tokens(part, now)
        )

    def copyable_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the leading tokens that are already cached."""
        return _leading_tokens(
            parts, lambda part: self.parts.get(part.part_id, 0)
        )

    def note_pending(self, part_id: int, tokens: int) -> bool:
        """Record a part that is being prefilled; return whether it is new."""
        is_new = self.parts.get(part_id, 0) < tokens
        if is_new:
            self.pending[part_id] = monotonic() + _PENDING_SECONDS
        return is_new

    def is_news(self, part_id: int, tokens: int) -> bool:
        """Return whether others should hear that a part is cached now.

        Their order of eviction follows what they hear, unless the engine's
        evictions are reported.
        """
        if not self.has_eviction_reports:
            return True
        return self.parts.get(part_id, 0) < tokens

    def note_prompt(
        self, parts: tuple[PromptPart, ...], kv_cache_tokens: int
    ) -> None:
        """Record a prompt in an engine with a KV cache of a size in tokens."""
        if self.has_eviction_reports:
            # Evictions of parts that are not shared are not reported.
            parts = parts[:-1]
            self.limit_tokens = kv_cache_tokens
        else:
            self.limit_tokens = kv_cache_tokens * _ASSUMED_CACHE_SHARE
        for part in parts:
            self.note_part(part.part_id, part.tokens)

    def note_part(self, part_id: int, tokens: int) -> None:
        """Record a part; the least recently used ones are evicted if full.

        A part with 0 tokens is no longer cached.
        """
        previous = self.parts.pop(part_id, None)
        self.tokens += tokens - (previous or 0)
        self.pending.pop(part_id, None)
        if tokens:
            self.parts[part_id] = tokens
        while self.tokens > self.limit_tokens and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped

    def replace(self, parts: dict[int, int]) -> None:
        """Replace the estimate by the contents that the engine reported."""
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
