"""The prompts of this entry that one engine has not prefilled yet."""

from itertools import count
from time import monotonic


class PromptQueue:
    """Unfinished prompts, by id, with the tokens that the engine prefills."""

    def __init__(self) -> None:
        """Start empty."""
        self.prompts: dict[int, int] = {}
        self.prompt_ids = count()
        self.tokens = 0
        # Monotonic time since which the engine may work on the first prompt.
        self.began_at = 0.0

    def add(self, tokens: int) -> int:
        """Add a prompt; return its id."""
        if not self.prompts:
            self.began_at = monotonic()
        prompt_id = next(self.prompt_ids)
        self.prompts[prompt_id] = tokens
        self.tokens += tokens
        return prompt_id

    def remove(self, prompt_id: int) -> None:
        """Remove a prompt that was prefilled or abandoned."""
        self.tokens -= self.prompts.pop(prompt_id)
        self.began_at = monotonic()
