"""Streams that callers may take up at another entry; codes 152 and 153.

Entries tell the leader which software version is about to begin a stream, and
ask it when a caller takes up a stream that another entry had.
"""

from hashlib import blake2b
from typing import Final, NamedTuple

from trestle_links.codec import message

_KEY_BYTES: Final = 8


class StreamOrigin(NamedTuple):
    """The service that began a stream, and the version of its software."""

    service: str
    software: str


class BegunStreams(NamedTuple):
    """Streams of one origin that may be taken up for so many seconds.

    `keys` are those of `stream_key`.
    """

    origin: StreamOrigin
    seconds: int
    keys: list[int]


@message(152)
class FindStream(NamedTuple):
    """Ask who began a stream; `key` is that of `stream_key`."""

    key: int


@message(153)
class FoundStream(NamedTuple):
    """Who began a stream, None if it is not known."""

    origin: StreamOrigin | None


def stream_key(request_id: str) -> int:
    """Return the 64-bit key of the request that brought the first event."""
    digest = blake2b(request_id.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest)
