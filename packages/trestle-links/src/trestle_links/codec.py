"""Frames of the links: typed messages as msgpack arrays.

A frame is `[channel, code, fields]`. The code names a `NamedTuple` type of
the registry; the fields are checked against its annotations when a frame is
read. A frame that does not fit closes its connection and nothing else.

The same encoding without a channel stores commands in the log.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, TypeVar

from msgpack import Unpacker, packb, unpackb
from msgpack.exceptions import UnpackException
from msgspec import ValidationError, convert

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError

Message = tuple[Any, ...]
MessageType = TypeVar('MessageType', bound=type[Any])

FRAME_LIMIT_BYTES: Final = 64 * 1024 * 1024
END_CODE: Final = 0

_types: dict[int, type[Any]] = {}
_codes: dict[type[Any], int] = {}


class Frame(NamedTuple):
    """A message on one channel of a connection; `body` is None at its end."""

    channel: int
    body: Message | None


class BadFrameError(TrestleError):
    """Bytes that are not a frame of this protocol, or no message for one."""

    def __init__(self, reason: str) -> None:
        """Keep the reason for the log."""
        super().__init__(BAD_FRAME, reason)


def message(code: int) -> Callable[[MessageType], MessageType]:
    """Register a `NamedTuple` class under an integer code.

    Raises `ValueError` when the code is taken.
    """

    def register(message_type: MessageType) -> MessageType:
        if code in _types:
            raise ValueError(f'message code {code} is taken')
        _types[code] = message_type
        _codes[message_type] = code
        return message_type

    return register


def encode_frame(channel: int, body: Message | None) -> bytes:
    """Encode one frame; `None` ends the channel.

    Raises `BadFrameError` for a message with a value that has no encoding.
    """
    if body is None:
        return _pack((channel, END_CODE, ()))
    return _pack((channel, _codes[type(body)], body))


def encode_message(body: Message) -> bytes:
    """Encode a message for storage.

    Raises `BadFrameError` for a message with a value that has no encoding.
    """
    return _pack((_codes[type(body)], body))


def _pack(fields: Message) -> bytes:
    try:
        packed: bytes = packb(fields, use_bin_type=True)
    except (OverflowError, ValueError, TypeError) as error:
        # Such as an integer of more than 64 bits.
        raise BadFrameError(f'cannot be encoded: {error}') from error
    return packed


def decode_message(packed: bytes) -> Message:
    """Decode a stored message.

    Raises `BadFrameError`.
    """
    try:
        code, values = unpackb(packed, raw=False, strict_map_key=False)
    except (ValueError, TypeError, UnpackException) as error:
        raise BadFrameError(str(error)) from error
    return _typed(code, values)


class FrameReader:
    """Cuts a byte stream into frames."""

    def __init__(self) -> None:
        """Start at a frame's first byte."""
        self.unpacker = Unpacker(
            raw=False,
            strict_map_key=False,
            max_buffer_size=FRAME_LIMIT_BYTES,
        )

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Return the frames that the bytes complete.

        Raises `BadFrameError`; the connection is of no use after that.
        """
        try:
            self.unpacker.feed(received)
            yield from map(_frame_from, self.unpacker)
        except (ValueError, TypeError, UnpackException) as error:
            raise BadFrameError(str(error)) from error


def _frame_from(raw: Any) -> Frame:
    channel, code, values = raw
    if not isinstance(channel, int):
        raise BadFrameError('the channel is not an integer')
    if code == END_CODE:
        return Frame(channel, None)
    return Frame(channel, _typed(code, values))


def _typed(code: Any, values: Any) -> Message:
    message_type = _types.get(code) if isinstance(code, int) else None
    if message_type is None:
        raise BadFrameError(f'unknown message code {code!r}')
    try:
        typed: Message = convert(values, message_type)
    except ValidationError as error:
        raise BadFrameError(f'{message_type.__name__}: {error}') from error
    return typed
