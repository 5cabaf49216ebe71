"""The prompts of this entry in the prefill queue of one engine."""

from itertools import count
from time import monotonic
from typing import Final, NamedTuple

_MS_PER_SECOND: Final = 1000


class QueuedPrompt(NamedTuple):
    """The engine time of a prompt, and when it was sent (monotonic)."""

    engine_ms: float
    sent_at: float


class PromptQueue:
    """Unfinished prompts in the order in which they were sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.prompts: dict[int, QueuedPrompt] = {}
        self.prompt_ids = count()
        self.last_removed_at = 0.0

    def add(self, engine_ms: float) -> int:
        """Add a prompt; return its id."""
        prompt_id = next(self.prompt_ids)
        self.prompts[prompt_id] = QueuedPrompt(engine_ms, monotonic())
        return prompt_id

    def remove(self, prompt_id: int) -> None:
        """Remove a prompt that was prefilled or abandoned."""
        self.prompts.pop(prompt_id)
        self.last_removed_at = monotonic()

    def remaining_ms(self, now: float) -> float:
        """Return the remaining engine time of all prompts, ms."""
        if not self.prompts:
            return 0.0
        first = next(iter(self.prompts.values()))
        began_at = max(first.sent_at, self.last_removed_at)
        done_ms = min((now - began_at) * _MS_PER_SECOND, first.engine_ms)
        total = sum(prompt.engine_ms for prompt in self.prompts.values())
        return total - done_ms
