"""What one engine would have to do to read a prompt.

The leading parts that it holds cost nothing. Parts that another engine holds
are copied from there: a token is moved about thirty times as fast as it is
read, so a shared beginning is read once and then goes where there is room.
The rest is read.
"""

from typing import Final, NamedTuple

from trestle_entry.direct.engine_loads import estimate_prefill_ms
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import Backend

# Between zones a transfer takes twice as long.
OTHER_ZONE_FACTOR: Final = 2.0
# Set-up of a copy and its wait on the link of the holder, ms.
_COPY_SETUP_MS: Final = 8.0
# Fewer tokens are read in less time than a copy takes to set up.
_MIN_COPIED_TOKENS: Final = 1000


class PlacementRequest(NamedTuple):
    """What a plan is made for.

    `zone` is the entry's; moving a token between engines of a zone takes
    `ms_per_token`.
    """

    demand: ModelDemand
    zone: str
    transfer_ms_per_token: float


class CopySource(NamedTuple):
    """An engine and the leading tokens of a prompt that it holds."""

    tokens: int
    backend: Backend


class PrefillWork(NamedTuple):
    """How an engine comes to a prompt.

    `copied` tokens come from `source`, `uncached` tokens are read; times in
    ms at an engine of common speed.
    """

    uncached_tokens: int
    copied_tokens: int
    source: Backend | None
    copy_ms: float
    prefill_ms: float

    @property
    def fetch_from(self) -> str:
        """The address that parts are copied from, empty without any."""
        return self.source.address if self.source else ''


def copy_sources(
    engines: list[Backend], cached_tokens: dict[str, int]
) -> list[CopySource]:
    """Return the engine of each zone that holds most of a prompt.

    `held` are the leading tokens that each instance holds.
    """
    best: dict[str, CopySource] = {}
    for engine in engines:
        tokens = cached_tokens[engine.instance]
        best_source = best.get(engine.zone)
        most_tokens = (
            best_source.tokens if best_source else _MIN_COPIED_TOKENS - 1
        )
        if tokens > most_tokens:
            best[engine.zone] = CopySource(tokens, engine)
    return list(best.values())


def cheapest_work(
    engine: Backend,
    request: PlacementRequest,
    cached_tokens: dict[str, int],
    sources: list[CopySource],
) -> PrefillWork:
    """Return the cheapest way for an engine to come to a prompt."""
    own_tokens = cached_tokens[engine.instance]
    options = [_build_work(request.demand, own_tokens, 0, None, 0.0)]
    for candidate in sources:
        copied_tokens = candidate.tokens - own_tokens
        if copied_tokens >= _MIN_COPIED_TOKENS:
            source = candidate.backend
            factor = 1.0 if source.zone == engine.zone else OTHER_ZONE_FACTOR
            copy_ms = (
                _COPY_SETUP_MS
                + copied_tokens * request.transfer_ms_per_token * factor
            )
            options.append(
                _build_work(
                    request.demand, own_tokens, copied_tokens, source, copy_ms
                )
            )
    return min(options, key=lambda work: work.copy_ms + work.prefill_ms)


def _build_work(
    demand: ModelDemand,
    cached_tokens: int,
    copied_tokens: int,
    source: Backend | None,
    copy_ms: float,
) -> PrefillWork:
    uncached_tokens = max(
        1, demand.prompt_tokens - cached_tokens - copied_tokens
    )
    return PrefillWork(
        uncached_tokens,
        copied_tokens,
        source,
        copy_ms,
        estimate_prefill_ms(uncached_tokens),
    )
