"""Route documents as they travel and are stored: packed.

A document goes whole to every entry and every control host with each change.
It repeats the same names hundreds of times, so packing saves nine tenths of
its bytes on links between zones. Unpacked it is byte for byte what was
published. Earlier versions stored and sent documents as they were; those are
taken too, so that a data folder outlives the upgrade.
"""

from typing import Final
from zlib import compress, decompressobj
from zlib import error as ZlibError

from trestle_links.codec import FRAME_LIMIT_BYTES, BadFrameError

# What a document in JSON begins with; a packed one never does.
_PLAIN_START: Final = b'{'


def pack_document(content: bytes) -> bytes:
    """Return the packed form of a document."""
    return compress(content)


def unpack_document(packed: bytes) -> bytes:
    """Return the document that was packed.

    Raises `BadFrameError` for foreign or cut bytes and for a document that
    would be larger than a frame may be.
    """
    if packed.startswith(_PLAIN_START):
        return packed
    unpacker = decompressobj()
    try:
        content = unpacker.decompress(packed, FRAME_LIMIT_BYTES)
    except ZlibError as error:
        raise BadFrameError(f'not a packed document: {error}') from error
    if not unpacker.eof or unpacker.unused_data:
        raise BadFrameError('a packed document is cut or too large')
    return content
