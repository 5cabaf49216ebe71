"""The speed ratios of engines, pooled over all entries on the leader."""

from math import isfinite
from typing import Final

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_links.engine_ratios import EngineRatios, RatioSample

# Change of a ratio that is worth telling.
_RATIO_CHANGE: Final = 0.05


class RatioTable:
    """The ratios, and what entries have been told of them."""

    def __init__(self) -> None:
        """Know no engine."""
        self.ratios = EngineRatios()
        self.told: dict[str, float] = {}
        self.changed: set[str] = set()

    def record(self, samples: list[RatioSample]) -> None:
        """Learn from the calls of an entry; raises `TrestleError`."""
        for sample in samples:
            if not (isfinite(sample.ratio) and 0 <= sample.weight <= 1):
                raise TrestleError(BAD_FRAME, 'a ratio is not possible')
            self.ratios.note(sample)
            self.changed.add(sample.instance)

    def take_changed(self) -> dict[str, float]:
        """Return the ratios that have moved since they were told."""
        moved = {}
        for instance in self.changed:
            ratio = self.ratios.ratio_of(instance)
            if abs(ratio - self.told.get(instance, 1.0)) > _RATIO_CHANGE:
                moved[instance] = ratio
        self.changed.clear()
        self.told.update(moved)
        return moved

    def keep_only(self, instances: set[str]) -> None:
        """Drop the engines that are gone."""
        self.ratios.forget_all_but(instances)
        for instance in set(self.told) - instances:
            self.told.pop(instance)
