"""What entries tell each other about crashes, within the streams of loads."""

from typing import Final, NamedTuple

_MS_PER_SECOND: Final = 1000


class CrashNotice(NamedTuple):
    """A back end crashed `age_ms` ago and broke off a request.

    `key` identifies the notice. The traits of the request are its `content`
    and, in order, the `parts` of its prompt.
    """

    key: str
    instance: str
    age_ms: int
    content: str
    parts: list[str]

    @property
    def traits(self) -> list[str]:
        """All traits of the request."""
        return [*self.parts, self.content]

    @property
    def age_seconds(self) -> float:
        """The time since the crash, s."""
        return self.age_ms / _MS_PER_SECOND


class ServedTrait(NamedTuple):
    """A request with a trait was served `age_ms` ago."""

    trait: str
    age_ms: int

    @property
    def age_seconds(self) -> float:
        """The time since the request was served, s."""
        return self.age_ms / _MS_PER_SECOND


def age_ms(seconds: float) -> int:
    """Return an age in ms."""
    return int(seconds * _MS_PER_SECOND)
