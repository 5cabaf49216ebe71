"""The work of the other entries, from the sums that the leader pushes.

The sums contain this entry's own work as of its last change that the leader
had applied, so the changes are kept until a push acknowledges them. Without
pushes, as during an election, the last sums are the best that is known: they
are used on, and count less the older they get.
"""

from collections import deque
from math import inf
from time import monotonic
from typing import Final, NamedTuple

from trestle_links.load_messages import BackendLoad

# Age of the sums up to which they count in full, and the further time in which
# half of their weight is lost.
_CURRENT_SECONDS: Final = 0.5
_HALF_LIFE_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000


class SentChange(NamedTuple):
    """A change that was sent to the leader."""

    number: int
    loads: list[BackendLoad]


class OtherLoad(NamedTuple):
    """The work of the other entries at a back end; the figures are estimates."""

    running: float = 0.0
    prompts: float = 0.0
    tokens: float = 0.0
    kv_tokens: float = 0.0


_NOTHING: Final = OtherLoad()


class SharedLoads:
    """The pushed sums and this entry's part of them."""

    def __init__(self) -> None:
        """Start without sums."""
        self.totals: dict[str, BackendLoad] = {}
        self.own_part: dict[str, BackendLoad] = {}
        self.sent: deque[SentChange] = deque()
        self.received_at = -inf
        # Monotonic time since which an engine may work on its first prompt.
        self.began_at: dict[str, float] = {}

    @property
    def age_ms(self) -> float:
        """The time since the last push, ms; infinite before the first."""
        return (monotonic() - self.received_at) * _MS_PER_SECOND

    def start_stream(self, own_loads: list[BackendLoad]) -> None:
        """Begin a stream that opens with all loads of this entry.

        The sums of the stream before stay in use until the first push.
        """
        self.sent.clear()
        self.sent.append(SentChange(0, own_loads))

    def note_sent(self, number: int, loads: list[BackendLoad]) -> None:
        """Record a change that was sent to the leader."""
        self.sent.append(SentChange(number, loads))

    def apply(
        self, applied: int, loads: list[BackendLoad], *, is_first: bool
    ) -> None:
        """Apply a push; the first one of a stream has all sums."""
        now = monotonic()
        if is_first:
            self.totals.clear()
            self.own_part.clear()
        while self.sent and self.sent[0].number <= applied:
            for load in self.sent.popleft().loads:
                self.own_part[load.instance] = load
        for load in loads:
            known = self.totals.get(load.instance)
            if not known or not known.prompts or load.prompts < known.prompts:
                self.began_at[load.instance] = now
            self.totals[load.instance] = load
        self.received_at = now

    def at(self, instance: str) -> OtherLoad:
        """Return the work of the other entries at a back end."""
        total = self.totals.get(instance)
        if total is None:
            return _NOTHING
        own = self.own_part.get(instance, BackendLoad(instance))
        weight = self._weight()
        return OtherLoad(
            max(0, total.running - own.running) * weight,
            max(0, total.prompts - own.prompts) * weight,
            max(0, total.tokens - own.tokens) * weight,
            max(0, total.kv_tokens - own.kv_tokens) * weight,
        )

    def keep_only(self, instances: set[str]) -> None:
        """Drop what is known of all other back ends."""
        for table in (self.totals, self.own_part, self.began_at):
            for instance in set(table) - instances:
                table.pop(instance)

    def _weight(self) -> float:
        excess_seconds = self.age_ms / _MS_PER_SECOND - _CURRENT_SECONDS
        return float(0.5 ** max(0.0, excess_seconds / _HALF_LIFE_SECONDS))
