"""The prompts that this entry has at one engine, and what is left of them."""

from itertools import count
from time import monotonic
from typing import Final, NamedTuple

_MS_PER_SECOND: Final = 1000


class Waiting(NamedTuple):
    """A prompt's engine time and when it was sent."""

    engine_ms: float
    sent_at: float


class PromptQueue:
    """Prompts in the order in which they were sent."""

    def __init__(self) -> None:
        """Start with none."""
        self.waiting: dict[int, Waiting] = {}
        self.numbers = count()
        self.ended_at = 0.0

    def add(self, engine_ms: float) -> int:
        """Add a prompt; return its number."""
        number = next(self.numbers)
        self.waiting[number] = Waiting(engine_ms, monotonic())
        return number

    def remove(self, number: int) -> None:
        """Remove a prompt that was read or given up."""
        self.waiting.pop(number)
        self.ended_at = monotonic()

    def remaining_ms(self, now: float) -> float:
        """Return the engine time that is left of all prompts."""
        if not self.waiting:
            return 0.0
        first = next(iter(self.waiting.values()))
        began_at = max(first.sent_at, self.ended_at)
        done_ms = min((now - began_at) * _MS_PER_SECOND, first.engine_ms)
        total = sum(entry.engine_ms for entry in self.waiting.values())
        return total - done_ms
