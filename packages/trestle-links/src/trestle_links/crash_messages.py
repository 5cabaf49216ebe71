"""What entries tell each other about crashes, within the streams of loads."""

from typing import NamedTuple

_MS_PER_SECOND = 1000


class CrashNotice(NamedTuple):
    """A back end crashed `age_ms` ago and broke off a request.

    `key` identifies the notice. `traits` of the request go from the least to
    the most specific one; requests with the traits in `proven` were served
    shortly before.
    """

    key: str
    instance: str
    age_ms: int
    traits: list[str]
    proven: list[str]

    @property
    def age_seconds(self) -> float:
        """The time since the crash, s."""
        return self.age_ms / _MS_PER_SECOND


class ClearedTrait(NamedTuple):
    """A request with a suspected trait completed `age_ms` ago."""

    trait: str
    age_ms: int

    @property
    def age_seconds(self) -> float:
        """The time since the request completed, s."""
        return self.age_ms / _MS_PER_SECOND


def aged_by(age_ms: int, seconds: float) -> int:
    """Return an age in ms, later by some seconds."""
    return age_ms + int(seconds * _MS_PER_SECOND)
