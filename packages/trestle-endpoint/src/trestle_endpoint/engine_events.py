"""Reads the tokens of an engine's stream of server-sent events.

One receive takes all events that are available, and each event is decoded once
into its type. Blocks without data, such as comments, are passed over.
"""

from collections.abc import Callable, Iterator
from time import monotonic
from typing import Final

from msgspec import Struct
from msgspec.json import Decoder

from trestle_core.event_blocks import MAX_BLOCK_BYTES, BlockCutter
from trestle_core.turns import Turn
from trestle_endpoint.engine_interface import EngineToken
from trestle_links.http_exchange import ExchangeBrokenError

_DATA: Final = b'data:'
_STREAM_END: Final = b'[DONE]'


class _Choice(Struct):
    text: str
    finish_reason: str | None = None


class _Event(Struct):
    id: str
    index: int
    choices: list[_Choice]


_event_decoder: Final = Decoder(_Event)


def token_batches(
    read_some: Callable[[], bytes],
    turn: Turn,
) -> Iterator[list[EngineToken]]:
    """Yield the tokens of each receive until there is nothing more.

    `turn` is that of the task that receives.
    Raises msgspec's `DecodeError` for data that is no token, and
    `ExchangeBrokenError` for an event that does not end.
    """
    cutter = BlockCutter()
    while received := read_some():
        began_at = monotonic()
        texts = map(_data_of, cutter.feed(received))
        tokens = [_decode(text) for text in texts if _is_token(text)]
        turn.note(began_at)
        yield tokens
        if len(cutter.incomplete) > MAX_BLOCK_BYTES:
            raise ExchangeBrokenError('an event does not end')


def _data_of(block: bytes) -> bytes:
    """Return the data of an event, nothing for a block that is no event."""
    lines = block.splitlines()
    return b'\n'.join(
        line.removeprefix(_DATA) for line in lines if line.startswith(_DATA)
    )


def _is_token(text: bytes) -> bool:
    return bool(text) and text.strip() != _STREAM_END


def _decode(text: bytes) -> EngineToken:
    decoded = _event_decoder.decode(text)
    choice = decoded.choices[0]
    return EngineToken(
        decoded.id, decoded.index, choice.text, choice.finish_reason
    )
