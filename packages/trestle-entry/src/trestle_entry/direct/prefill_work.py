"""The work that one engine would have to do to prefill a prompt.

Leading parts in the engine's own KV cache cost nothing. Parts that another
engine has cached are copied from there: copying a token is about thirty times
as fast as prefilling it, so a shared prefix is prefilled once and then copied
to engines that have capacity. The rest is prefilled.
"""

from typing import Final, NamedTuple

from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import Backend
from trestle_links.linear_fit import Line

# Between zones a transfer takes twice as long.
OTHER_ZONE_FACTOR: Final = 2.0
# Fewer tokens are prefilled in less time than a copy takes to set up.
_MIN_COPIED_TOKENS: Final = 1000


class PlacementRequest(NamedTuple):
    """A model request to place.

    `zone` is the zone of the entry. `transfer_ms_per_token` is the time to
    transfer the KV cache of a token between engines of the same zone.
    `kv_capacity` is the KV cache of an engine in tokens, 0 if unknown.
    """

    demand: ModelDemand
    zone: str
    transfer_ms_per_token: float
    kv_capacity: int = 0


class WorkTimes(NamedTuple):
    """Times of an engine of average speed, ms.

    `prefill` has a base and a time for each token, `copy` a set-up, with the
    wait for the link of the source, and a time for each token.
    """

    prefill: Line
    copy: Line


class CopySource(NamedTuple):
    """An engine and the leading tokens of a prompt that it has cached."""

    tokens: int
    backend: Backend


class Copy(NamedTuple):
    """Tokens that are copied from another engine, and the time in ms."""

    tokens: int
    source: Backend
    copy_ms: float


class PrefillWork(NamedTuple):
    """How an engine obtains the KV cache of a prompt.

    `copied_tokens` are copied from `source`, `uncached_tokens` are prefilled.
    Times are in ms at an engine of average speed.
    """

    uncached_tokens: int
    copied_tokens: int
    source: Backend | None
    copy_ms: float
    prefill_ms: float

    @property
    def fetch_from(self) -> str:
        """The address to copy cached parts from, empty without a copy."""
        return self.source.address if self.source else ''


def copy_sources(
    engines: list[Backend], cached_tokens: dict[str, int]
) -> list[CopySource]:
    """Return the engine of each zone that has most of a prompt cached.

    `cached_tokens` has the leading tokens that each instance has cached.
    """
    best_by_zone: dict[str, CopySource] = {}
    for engine in engines:
        tokens = cached_tokens[engine.instance]
        best_source = best_by_zone.get(engine.zone)
        most_tokens = (
            best_source.tokens if best_source else _MIN_COPIED_TOKENS - 1
        )
        if tokens > most_tokens:
            best_by_zone[engine.zone] = CopySource(tokens, engine)
    return list(best_by_zone.values())


def fastest_work(
    engine: Backend,
    request: PlacementRequest,
    cached_tokens: dict[str, int],
    sources: list[CopySource],
    times: WorkTimes,
) -> PrefillWork:
    """Return the fastest way for an engine to obtain a prompt's KV cache."""
    own_tokens = cached_tokens[engine.instance]
    uncached_tokens = request.demand.prompt_tokens - own_tokens
    options = [_build_work(uncached_tokens, None, times)]
    for candidate in sources:
        copied_tokens = candidate.tokens - own_tokens
        if copied_tokens >= _MIN_COPIED_TOKENS:
            source = candidate.backend
            factor = 1.0 if source.zone == engine.zone else OTHER_ZONE_FACTOR
            copy = Copy(
                copied_tokens, source, times.copy.at(1, copied_tokens * factor)
            )
            options.append(_build_work(uncached_tokens, copy, times))
    return min(options, key=lambda work: work.copy_ms + work.prefill_ms)


def _build_work(
    missing_tokens: int, copy: Copy | None, times: WorkTimes
) -> PrefillWork:
    copied_tokens = copy.tokens if copy else 0
    uncached_tokens = max(1, missing_tokens - copied_tokens)
    return PrefillWork(
        uncached_tokens,
        copied_tokens,
        copy.source if copy else None,
        copy.copy_ms if copy else 0.0,
        times.prefill.at(1, uncached_tokens),
    )
