"""What one engine would have to do to read a prompt.

The leading parts that it holds cost nothing. Parts that another engine holds
are copied from there: a token is moved about thirty times as fast as it is
read, so a shared beginning is read once and then goes where there is room.
The rest is read.
"""

from typing import Final, NamedTuple

from trestle_entry.direct.engine_loads import read_ms
from trestle_entry.direct.wire_types import ModelNeed
from trestle_links.direct_messages import Backend

# Between zones a transfer takes twice as long.
OTHER_ZONE: Final = 2.0
# Set-up of a copy and its wait on the link of the holder, ms.
_COPY_MS: Final = 8.0
# Fewer tokens are read in less time than a copy takes to set up.
_LEAST_COPIED_TOKENS: Final = 1000


class PlanNeed(NamedTuple):
    """What a plan is made for.

    `zone` is the entry's; moving a token between engines of a zone takes
    `ms_per_token`.
    """

    need: ModelNeed
    zone: str
    ms_per_token: float


class Holder(NamedTuple):
    """An engine and the leading tokens of a prompt that it holds."""

    tokens: int
    backend: Backend


class PromptWork(NamedTuple):
    """How an engine comes to a prompt.

    `copied` tokens come from `source`, `uncached` tokens are read; times in
    ms at an engine of common speed.
    """

    uncached: int
    copied: int
    source: Backend | None
    copy_ms: float
    read_ms: float

    @property
    def fetch_from(self) -> str:
        """The address that parts are copied from, empty without any."""
        return self.source.address if self.source else ''


def holders_of(engines: list[Backend], held: dict[str, int]) -> list[Holder]:
    """Return the engine of each zone that holds most of a prompt.

    `held` are the leading tokens that each instance holds.
    """
    best: dict[str, Holder] = {}
    for engine in engines:
        tokens = held[engine.instance]
        known = best.get(engine.zone)
        most = known.tokens if known else _LEAST_COPIED_TOKENS - 1
        if tokens > most:
            best[engine.zone] = Holder(tokens, engine)
    return list(best.values())


def work_at(
    engine: Backend,
    asked: PlanNeed,
    held: dict[str, int],
    holders: list[Holder],
) -> PromptWork:
    """Return the cheapest way for an engine to come to a prompt."""
    own = held[engine.instance]
    works = [_work(asked.need, own, 0, None, 0.0)]
    for holder in holders:
        gained = holder.tokens - own
        if gained >= _LEAST_COPIED_TOKENS:
            source = holder.backend
            factor = 1.0 if source.zone == engine.zone else OTHER_ZONE
            copy_ms = _COPY_MS + gained * asked.ms_per_token * factor
            works.append(_work(asked.need, own, gained, source, copy_ms))
    return min(works, key=lambda work: work.copy_ms + work.read_ms)


def _work(
    need: ModelNeed,
    held: int,
    copied: int,
    source: Backend | None,
    copy_ms: float,
) -> PromptWork:
    uncached = max(1, need.prompt_tokens - held - copied)
    return PromptWork(uncached, copied, source, copy_ms, read_ms(uncached))
