"""Back ends that want nothing from this host for a time.

A back end that turns a request away may name the time. It holds for this host
only, and for the process that named it. The longest time counts, as an answer
to an earlier request may name a shorter one.
"""

from time import monotonic
from typing import Final, NamedTuple

from trestle_core.logs import part_logger
from trestle_links.direct_messages import Backend, Boot
from trestle_links.leaving_backends import LIST_LAG_SECONDS

# A back end that names a longer time is asked again after this one.
MAX_REST_SECONDS: Final = 600.0
# More back ends than a deployment has.
_MAX_RESTS: Final = 5000

_log = part_logger('fleet')


class Rest(NamedTuple):
    """The start of a back end that rests; times are monotonic seconds."""

    boot: Boot
    until: float
    said_at: float


class RestingBackends:
    """The back ends that rest, by instance."""

    def __init__(self) -> None:
        """Start without any."""
        self.rests: dict[str, Rest] = {}

    def seconds(self, instance: str) -> float:
        """Return how much longer a back end wants nothing, 0 if it rests not."""
        rest = self.rests.get(instance)
        return max(0.0, rest.until - monotonic()) if rest else 0.0

    def note(self, instance: str, boot: Boot, seconds: float) -> None:
        """Record that a back end wants nothing for some seconds."""
        now = monotonic()
        seconds = min(seconds, MAX_REST_SECONDS)
        left = self.seconds(instance)
        known = self.rests.get(instance)
        if known and seconds <= left and not boot.follows(known.boot):
            return
        self.rests[instance] = Rest(boot, now + seconds, now)
        while len(self.rests) > _MAX_RESTS:
            self.rests.pop(next(iter(self.rests)))
        if not left:
            _log.info('{} wants no requests for {:.1f} s.', instance, seconds)

    def follow(self, backends: list[Backend]) -> None:
        """Forget the rests that are over, and those of earlier starts."""
        listed = {backend.instance: backend.boot for backend in backends}
        now = monotonic()
        self.rests = {
            instance: rest
            for instance, rest in self.rests.items()
            if rest.until > now
            and not _is_earlier(rest, listed.get(instance), now)
        }


def _is_earlier(rest: Rest, listed: Boot | None, now: float) -> bool:
    """Return whether the list shows a later start than that which rests."""
    is_old = now - rest.said_at > LIST_LAG_SECONDS
    return is_old and listed is not None and listed.follows(rest.boot)
