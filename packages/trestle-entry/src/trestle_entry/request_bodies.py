"""Reads the body of one request from its connection.

Invariant: no byte behind the body is read, and a body whose end was not found
leaves `is_at_end` false, so that its connection serves no other request.
"""

from re import compile as compile_pattern
from typing import BinaryIO, Final

from gevent import Timeout
from gevent.socket import socket

from trestle_core.turns import Turn
from trestle_entry.request_heads import (
    MAX_LENGTH,
    BodyFraming,
    MalformedRequestError,
    read_fields,
)

_DISCARD_SECONDS: Final = 10.0
_DISCARD_BYTES: Final = 65_536
_MAX_CHUNK_LINE_BYTES: Final = 8192
# Chunks of a body in one turn, and the processor time of each.
_TURN_CHUNKS: Final = 256
_CHUNK_SECONDS: Final = 0.000_003
_LINE_END: Final = b'\r\n'
_CHUNK_LINE: Final = compile_pattern(
    rb'([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n'
)
_HEX_BASE: Final = 16
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Trailers that would change how the request had to be read.
_FORBIDDEN_TRAILERS: Final = frozenset(
    ('content-length', 'transfer-encoding', 'host', 'connection')
)


class BodyReader:
    """The body of one request, as the input of a WSGI application."""

    def __init__(
        self, rfile: BinaryIO, framing: BodyFraming, waiting: socket | None
    ) -> None:
        """Start before the body.

        `waiting` is the socket of a caller that waits for 100 Continue.
        """
        self.rfile = rfile
        self.is_chunked = framing.is_chunked
        # Bytes that are left of the body, or of the current chunk.
        self.left_bytes = framing.length
        self.is_at_end = not framing.is_chunked and not framing.length
        self.is_broken = False
        self.waiting = waiting
        self.turn = Turn()
        self.turn_chunks = 0

    @property
    def ends_connection(self) -> bool:
        """Whether the place of the next request cannot be known."""
        is_held_back = self.waiting is not None and not self.is_at_end
        return self.is_broken or is_held_back

    def read(self, size: int) -> bytes:
        """Return so many bytes, fewer at the end.

        Raises `MalformedRequestError` or `OSError`.
        """
        pieces = []
        try:
            while size > 0 and not self.is_at_end:
                self._send_continue()
                piece = self._read_piece(size)
                size -= len(piece)
                pieces.append(piece)
        except BaseException:
            self.is_broken = True
            raise
        return b''.join(pieces)

    def _discard(self) -> None:
        """Read on to the end, as the server asks after each answer."""
        if self.ends_connection:
            return
        try:
            with Timeout(_DISCARD_SECONDS):
                while not self.is_at_end:
                    self.read(_DISCARD_BYTES)
        except (OSError, MalformedRequestError, Timeout):
            # The answer is out; the connection ends as the body is broken.
            return

    def _send_continue(self) -> None:
        if self.waiting is not None:
            self.waiting.sendall(_CONTINUE)
            self.waiting = None

    def _read_piece(self, size: int) -> bytes:
        if self.is_chunked and not self.left_bytes:
            self._begin_chunk()
            return b''
        wanted = min(size, self.left_bytes)
        piece = self.rfile.read(wanted)
        if len(piece) < wanted:
            raise MalformedRequestError('the body is incomplete')
        self.left_bytes -= wanted
        if not self.left_bytes:
            self._end_piece()
        return piece

    def _begin_chunk(self) -> None:
        self._take_turn()
        line = self.rfile.readline(_MAX_CHUNK_LINE_BYTES)
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            raise MalformedRequestError('the size of a chunk is malformed')
        self.left_bytes = int(found.group(1), _HEX_BASE)
        if self.left_bytes > MAX_LENGTH:
            raise MalformedRequestError('the size of a chunk is too large')
        if not self.left_bytes:
            self._end_chunks()

    def _take_turn(self) -> None:
        """Let others run between many chunks that have all arrived."""
        self.turn_chunks += 1
        if self.turn_chunks == _TURN_CHUNKS:
            self.turn_chunks = 0
            self.turn.charge(_TURN_CHUNKS * _CHUNK_SECONDS)
            self.turn.begin()

    def _end_piece(self) -> None:
        if not self.is_chunked:
            self.is_at_end = True
        elif self.rfile.read(len(_LINE_END)) != _LINE_END:
            raise MalformedRequestError('a chunk has another size')

    def _end_chunks(self) -> None:
        # Trailers may be dropped, and are: nothing here needs any.
        names = {name.lower() for name, _ in read_fields(self.rfile)}
        if names & _FORBIDDEN_TRAILERS:
            raise MalformedRequestError('a trailer belongs into the head')
        self.is_at_end = True
