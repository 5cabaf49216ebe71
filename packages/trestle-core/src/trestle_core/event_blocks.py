"""Cuts a stream of server-sent events into blocks of lines.

A block ends with an empty line. A line ends with LF, CR LF or CR, and a stream
may mix them, as the standard of event streams (WHATWG HTML, 9.2) allows.

A block that ends with CR is complete at once. If it was the first half of a CR LF,
the LF begins the next block as one more empty line, which means nothing.
"""

import re
from typing import Final

# Far more than an event of a few tokens takes.
MAX_BLOCK_BYTES: Final = 1_048_576
_END: Final = re.compile(rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)')
# All but the last byte of the longest end of a block.
_END_OVERLAP_BYTES: Final = 3


class BlockCutter:
    """Buffers bytes until a block is complete."""

    def __init__(self) -> None:
        """Start at the first byte of a block."""
        self.incomplete = b''

    def feed(self, received: bytes) -> list[bytes]:
        """Return the blocks that are complete now, with their ends."""
        searched = max(0, len(self.incomplete) - _END_OVERLAP_BYTES)
        buffered = self.incomplete + received
        blocks = []
        start = 0
        for match in _END.finditer(buffered, searched):
            blocks.append(buffered[start : match.end()])
            start = match.end()
        self.incomplete = buffered[start:]
        return blocks
