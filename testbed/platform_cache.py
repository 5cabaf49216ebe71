"""The prompt cache of a stand-in engine, as the platform's wire tells it."""

from collections.abc import Iterator
from typing import Any, Final

from msgspec.json import encode

_MODEL: Final = 'm'


class StandInCache:
    """Parts that were read, and what came and went."""

    def __init__(self, epoch: str) -> None:
        """Hold nothing; `epoch` names this start of the engine."""
        self.epoch = epoch
        self.held: dict[str, int] = {}
        self.events: list[list[Any]] = []

    def note_read(self, prefix: str) -> None:
        """Keep the parts `ID:TOKENS,...` of a prompt."""
        for part, tokens in _missing(prefix, self.held):
            self.held[part] = tokens
            self._add('+', part, tokens)

    def missing_tokens(self, prefix: str) -> int:
        """Return the tokens of a prompt's parts that are not held."""
        return sum(tokens for _, tokens in _missing(prefix, self.held))

    def drop(self, part: str) -> None:
        """Let a part yield."""
        self.held.pop(part)
        self._add('-', part, 0)

    def listing(self) -> bytes:
        """Return the body of a list call."""
        held = [
            ['', part, tokens, _MODEL] for part, tokens in self.held.items()
        ]
        page = {'epoch': self.epoch, 'next': len(self.events), 'held': held}
        return encode(page)

    def page(self, target: str) -> bytes:
        """Return the body of a call for events from a number on."""
        since = int(target.rpartition('=')[2])
        page = {
            'epoch': self.epoch,
            'next': len(self.events),
            'lost': False,
            'events': [*self.events[since:], 'no event at all'],
        }
        return encode(page)

    def _add(self, sign: str, part: str, kept: int) -> None:
        number = len(self.events)
        self.events.append([number, sign, '', part, kept, _MODEL])


def _missing(prefix: str, held: dict[str, int]) -> Iterator[tuple[str, int]]:
    """Return the parts of a prompt that are not held, with their tokens."""
    for entry in prefix.split(','):
        part, _, tokens = entry.strip().partition(':')
        if part and part not in held:
            yield part, int(tokens)
