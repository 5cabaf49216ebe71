"""A straight line fitted to the times of calls, which forgets old calls.

The time of a call is modelled as `base * units + slope * amount`. The fit is
a weighted least-squares estimate from running sums: every call multiplies the
sums by a factor below 1 before it is added, so a change of speed is followed
within a few dozen calls. Errors count relative to the size of a call, so that
short calls are predicted as well as long ones. A guess stands for the first
calls, counts as much as one of them, and is forgotten like a call. A call that
took several times as long as predicted is counted with a bounded time, since a
host that was paused says nothing about the speed of its engine.
"""

from math import isfinite
from typing import Final, NamedTuple

# A call multiplies the weight of all earlier ones by this factor.
_FORGETTING: Final = 0.98
# The same for the calls of several processes, which are many more.
_POOL_FORGETTING: Final = 0.995
# Weight of the guess at first, in calls, and the part of it that is kept, which
# makes the fit well defined while all calls are of one size.
_GUESS_WEIGHT: Final = 0.02
_KEPT_GUESS_WEIGHT: Final = 0.0002
_LEAST_TIME: Final = 1e-6
# A call counts with at most this multiple of its predicted time.
_MAX_RATIO: Final = 4.0
_SUM_COUNT: Final = 5


class Line(NamedTuple):
    """The two coefficients of a fit."""

    base: float
    slope: float

    def at(self, units: float, amount: float) -> float:
        """Return the time that the line predicts."""
        return self.base * units + self.slope * amount


class CallSums(NamedTuple):
    """Weighted sums over calls: the normal equations of the fit."""

    units_units: float = 0.0
    units_amount: float = 0.0
    amount_amount: float = 0.0
    units_time: float = 0.0
    amount_time: float = 0.0

    def plus(self, other: 'CallSums', factor: float = 1.0) -> 'CallSums':
        """Return the sums times a factor, plus other sums."""
        return CallSums(
            *(
                mine * factor + theirs
                for mine, theirs in zip(self, other, strict=True)
            )
        )

    @classmethod
    def of_call(
        cls, units: float, amount: float, time: float, weight: float
    ) -> 'CallSums':
        """Return the sums of one call."""
        return cls(
            units * units * weight,
            units * amount * weight,
            amount * amount * weight,
            units * time * weight,
            amount * time * weight,
        )

    @classmethod
    def from_list(cls, sums: list[float]) -> 'CallSums | None':
        """Return sums that another process sent, or None if malformed."""
        if len(sums) != _SUM_COUNT or not all(map(isfinite, sums)):
            return None
        if min(sums) < 0:
            return None
        return cls(*sums)


# Prefill times assumed until the first calls have ended: a base in ms, and ms
# for each token.
PREFILL_GUESS: Final = Line(20.0, 0.02)
# Tokens of a prompt of common size.
COMMON_TOKENS: Final = 2000


class LinearFit:
    """The sums of the calls, and the line that fits them."""

    def __init__(self, guess: Line, scale: float) -> None:
        """Start from a guess; `scale` is an amount of common size."""
        self.guess = guess
        self.scale = scale
        self.kept_guess = _guess_sums(guess, scale, _KEPT_GUESS_WEIGHT)
        self.line = guess
        self.sums = _guess_sums(guess, scale, _GUESS_WEIGHT)
        # What was added since `take_new_sums`.
        self.new_sums = CallSums()
        self.new_calls = 0
        self.is_following = False

    def note(
        self, units: float, amount: float, time: float, weight: float = 1.0
    ) -> None:
        """Add a call of known size that took a time."""
        predicted = max(self.line.at(units, amount), _LEAST_TIME)
        bounded = max(0.0, min(time, predicted * _MAX_RATIO))
        size = units + amount / self.scale
        call = CallSums.of_call(units, amount, bounded, weight / size**2)
        self.new_calls += 1
        self.new_sums = self.new_sums.plus(call)
        self.add(call, _FORGETTING)

    def add(self, sums: CallSums, factor: float = 1.0) -> None:
        """Add the sums of calls after multiplying the present ones."""
        self.sums = self.sums.plus(sums, factor)
        if not self.is_following:
            self.line = _solve(self.sums.plus(self.kept_guess), self.guess)

    def pool(self, calls: int, sums: CallSums) -> None:
        """Add the sums of calls that several processes have made."""
        self.add(sums, _POOL_FORGETTING**calls)

    def follow(self, line: Line) -> None:
        """Use the line that was fitted to the calls of several processes."""
        self.line = line
        self.is_following = True

    def unfollow(self) -> None:
        """Fit the line to the calls of this process again."""
        self.is_following = False

    def take_new_sums(self) -> tuple[int, CallSums]:
        """Return the calls since the last call of this method, and their sums."""
        taken = (self.new_calls, self.new_sums)
        self.new_calls = 0
        self.new_sums = CallSums()
        return taken


def prefill_fit() -> LinearFit:
    """Return the fit of prefill times in ms: a base, and ms for each token."""
    return LinearFit(PREFILL_GUESS, COMMON_TOKENS)


def _guess_sums(guess: Line, scale: float, weight: float) -> CallSums:
    """Return the sums of a short and a common call that a guess predicts."""
    total = CallSums()
    for amount in (scale / 10, scale):
        size = 1 + amount / scale
        time = guess.at(1, amount)
        call = CallSums.of_call(1, amount, time, weight / size**2)
        total = total.plus(call)
    return total


def _solve(sums: CallSums, guess: Line) -> Line:
    """Return the line of the normal equations.

    Calls of one size, or a few calls that contradict each other, would give a
    negative part; the guess is scaled to fit them instead.
    """
    determinant = sums.units_units * sums.amount_amount - sums.units_amount**2
    if determinant <= 0:
        return _scaled(sums, guess)
    base = (
        sums.units_time * sums.amount_amount
        - sums.amount_time * sums.units_amount
    ) / determinant
    slope = (
        sums.amount_time * sums.units_units
        - sums.units_time * sums.units_amount
    ) / determinant
    if base < 0 or slope <= 0:
        return _scaled(sums, guess)
    return Line(base, slope)


def _scaled(sums: CallSums, guess: Line) -> Line:
    """Return the multiple of a guess that fits the calls best."""
    base, slope = guess
    explained = base * sums.units_time + slope * sums.amount_time
    norm = (
        base * base * sums.units_units
        + 2 * base * slope * sums.units_amount
        + slope * slope * sums.amount_amount
    )
    factor = explained / norm if norm else 1.0
    return Line(base * factor, slope * factor)
