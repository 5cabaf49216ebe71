"""How long engines take, learned from the calls that entries make.

For each service a line is fitted to the prefills of all its engines: a base
time for each prompt and a time for each token. The work ahead in the queue is
part of a call, so calls at busy engines count, too, but less. An engine that
differs from its pool has a ratio of its own. A second line is fitted to the
transfers of KV cache.

Entries report their sums and the leader returns the line that fits the calls
of all entries, so an entry that has just started predicts as well as the
others.
"""

from typing import Final, NamedTuple

from trestle_links.engine_slowness import SlownessTable
from trestle_links.linear_fit import (
    COMMON_TOKENS,
    PREFILL_GUESS,
    Line,
    LinearFit,
    prefill_fit,
)
from trestle_links.load_messages import FitSums, FittedSpeed

# Transfer times assumed: a set-up in ms, and a multiple of the link time.
TRANSFER_GUESS: Final = Line(25.0, 1.0)
# Link time of a transfer of common size, ms.
_COMMON_LINK_MS: Final = 5.0
# Weight of one call in the estimated slowness of an engine.
_SLOWNESS_WEIGHT: Final = 0.2
# Weight of one request in the mean of the planned ones.
_PLANNED_WEIGHT: Final = 0.03
_MIN_SLOWNESS: Final = 0.3
_MAX_SLOWNESS: Final = 12.0
_LEAST_MS: Final = 0.1


class PrefillCall(NamedTuple):
    """The work of a finished prefill, and what was ahead of it.

    `tokens` were prefilled; `prompts_ahead` and `tokens_ahead` had not
    finished when the call was sent.
    """

    service: str
    instance: str
    tokens: int
    prompts_ahead: float
    tokens_ahead: float


class EngineSpeeds:
    """The fitted lines by service, and each engine's deviation."""

    def __init__(self) -> None:
        """Start with the guesses."""
        self.prefill_fits: dict[str, LinearFit] = {}
        self.transfer_fits: dict[str, LinearFit] = {}
        self.prefill_slowness: dict[str, float] = {}
        # Mean time of the requests that were planned, without their waits.
        self.planned_ms: dict[str, float] = {}
        # How slow KV transfers to each engine are.
        self.transfer_slowness = SlownessTable()
        self.transfer_samples: dict[str, float] = {}

    def prefill_line(self, service: str) -> Line:
        """Return the times of a prefill at an average engine, ms."""
        fit = self.prefill_fits.get(service)
        return fit.line if fit else PREFILL_GUESS

    def prefill_ms(self, service: str, tokens: float) -> float:
        """Return the time to prefill a prompt at an average engine."""
        return max(_LEAST_MS, self.prefill_line(service).at(1, tokens))

    def unit_ms(self, service: str) -> float:
        """Return the time to prefill a prompt of common size.

        Weights of a decision are multiples of it, so that they mean the same
        at fast and slow engines.
        """
        return self.prefill_ms(service, COMMON_TOKENS)

    def prefill_slowness_of(self, instance: str) -> float:
        """Return the ratio of an engine's prefill times to the average."""
        return self.prefill_slowness.get(instance, 1.0)

    def transfer_ms(self, service: str, link_ms: float) -> float:
        """Return the time of a KV transfer that keeps the link busy so long."""
        fit = self.transfer_fits.get(service)
        line = fit.line if fit else TRANSFER_GUESS
        return max(_LEAST_MS, line.at(1, link_ms))

    def note_prefill(self, call: PrefillCall, took_ms: float) -> None:
        """Learn from a prefill that ended `took_ms` after it was sent."""
        units = call.prompts_ahead + 1
        tokens = call.tokens_ahead + call.tokens
        slowness = self.prefill_slowness_of(call.instance)
        fit = self._prefill_fit(call.service)
        predicted_ms = max(_LEAST_MS, fit.line.at(units, tokens))
        fit.note(units, tokens, took_ms, 1 / units)
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, took_ms / predicted_ms))
        self.prefill_slowness[call.instance] = slowness + _SLOWNESS_WEIGHT * (
            ratio - slowness
        )

    def note_planned(self, service: str, own_ms: float) -> float:
        """Add the time of a planned request without its wait.

        Return the mean of such times at a service.
        """
        known = self.planned_ms.get(service, own_ms)
        mean = known + _PLANNED_WEIGHT * (own_ms - known)
        self.planned_ms[service] = mean
        return mean

    def note_transfer(
        self, service: str, instance: str, link_ms: float, took_ms: float
    ) -> None:
        """Learn from a KV transfer that took `took_ms`.

        The line describes the fastest engines, so a slow engine's transfers
        count as what a fast one would have taken.
        """
        expected_ms = self.transfer_ms(service, link_ms)
        fit = self.transfer_fits.get(service)
        if fit is None:
            fit = LinearFit(TRANSFER_GUESS, _COMMON_LINK_MS)
            self.transfer_fits[service] = fit
        ratio = max(0.0, took_ms) / expected_ms
        slowness = self.transfer_slowness.slowness_of(instance)
        excess = max(1.0, slowness / self.transfer_slowness.fastest)
        fit.note(1, link_ms, took_ms / excess)
        self.transfer_slowness.note(instance, ratio)
        self.transfer_samples[instance] = ratio

    def keep_only(self, instances: set[str]) -> None:
        """Drop what is known of all other engines."""
        for instance in set(self.prefill_slowness) - instances:
            self.prefill_slowness.pop(instance)
        for instance in set(self.transfer_slowness.estimates) - instances:
            self.transfer_slowness.forget(instance)

    def take_fit_sums(self) -> list[FitSums]:
        """Return the sums of the prefills since the last call."""
        taken = []
        for service, fit in self.prefill_fits.items():
            calls, sums = fit.take_new_sums()
            if calls:
                taken.append(FitSums(service, calls, list(sums)))
        return taken

    def take_transfer_samples(self) -> dict[str, float]:
        """Return the slowness of the transfers since the last call."""
        taken = self.transfer_samples
        self.transfer_samples = {}
        return taken

    def follow(self, speeds: list[FittedSpeed]) -> None:
        """Use the lines that were fitted to the calls of all entries."""
        for speed in speeds:
            line = Line(speed.base_ms, speed.ms_per_token)
            self._prefill_fit(speed.service).follow(line)

    def unfollow(self) -> None:
        """Learn from the calls of this entry alone."""
        for fit in self.prefill_fits.values():
            fit.unfollow()

    def _prefill_fit(self, service: str) -> LinearFit:
        return self.prefill_fits.setdefault(service, prefill_fit())
