"""The parser of one answer, and whether an answer without a length is whole.

What an answer may take in memory is bounded, also where it frames a body. Interim answers, with a status below 200, may come before the answer itself. A
status that HTTP does not have (RFC 9110, 15) is no answer at all.

An answer with neither a length nor chunks ends with its connection, and so does
one whose back end fails. The kernel tells them apart: it knows whether the peer
had taken the whole request, and whether it reset the connection.
"""

from fcntl import ioctl
from struct import calcsize, unpack
from termios import TIOCOUTQ
from typing import Any, Final

from gevent import sleep
from gevent.socket import IPPROTO_TCP, TCP_INFO
from geventhttpclient.response import HTTPParseError, HTTPResponse

_FIRST_STATUS: Final = 100
# Nobody asks for another protocol.
_SWITCHING_PROTOCOLS: Final = 101
_FIRST_FINAL_STATUS: Final = 200
_FIRST_FAILED_STATUS: Final = 300
_LAST_STATUS: Final = 599
# Far more than sound servers send; each request may take so much memory.
_MAX_HEAD_BYTES: Final = 131_072
MAX_BODY_BYTES: Final = 16_777_216
# Bytes of framing (sizes and extensions of chunks, trailers) that an answer may
# have, and those for each byte of its body.
_MAX_FRAMING_BYTES: Final = 16_384
_FRAMING_PER_BODY_BYTE: Final = 2
# The kernel's state of a connection whose peer has ended its side, and no more.
_CLOSE_WAIT: Final = 8
# A reset that follows the end of an answer arrives within this time.
_RESET_SECONDS: Final = 0.005


class HttpAnswer(HTTPResponse):
    """The parsed answer."""

    def __init__(
        self, method: str, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        """Expect one answer to a request with the given method.

        More than `max_body_bytes` that wait to be taken are none.
        """
        super().__init__(method)
        self.status = 0
        self.max_body_bytes = max_body_bytes
        # Received until the head of the answer itself was complete, and behind
        # it; the part of the latter that is body.
        self.head_bytes = 0
        self.framed_bytes = 0
        self.body_bytes = 0

    @property
    def has_final_head(self) -> bool:
        """Whether the head of the answer itself has been read."""
        return self.headers_complete and self.status >= _FIRST_FINAL_STATUS

    @property
    def is_whole(self) -> bool:
        """Whether the answer itself is complete, not only an interim one."""
        return self.has_final_head and self.message_complete

    @property
    def is_empty_success(self) -> bool:
        """Whether it is a success without a body.

        One that ends with its connection looks the same as one whose server
        stopped behind the head.
        """
        return self.status < _FIRST_FAILED_STATUS and not self.body_bytes

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes.

        Raises `HTTPException` on bytes that are no answer, also on a status that
        HTTP does not have, and on an answer that does not seem to end.
        """
        if self.has_final_head:
            self.framed_bytes += len(data)
        else:
            self.head_bytes += len(data)
        super().feed(data)
        self._check_bounds()

    def _check_bounds(self) -> None:
        if not self.has_final_head and self.head_bytes > _MAX_HEAD_BYTES:
            raise HTTPParseError('the head of the answer does not end')
        if len(self._body_buffer) > self.max_body_bytes:
            raise HTTPParseError('the body of the answer does not end')
        framing_bytes = self.framed_bytes - self.body_bytes
        allowed = self.body_bytes * _FRAMING_PER_BODY_BYTE
        if framing_bytes > _MAX_FRAMING_BYTES + allowed:
            raise HTTPParseError('the framing of the answer does not end')

    def _on_body(self, buf: bytearray) -> None:
        self.body_bytes += len(buf)
        super()._on_body(buf)

    def _on_headers_complete(self) -> int | bool | None:
        skips_body = super()._on_headers_complete()
        self.status = self.get_code()
        is_known = _FIRST_STATUS <= self.status <= _LAST_STATUS
        if not is_known or self.status == _SWITCHING_PROTOCOLS:
            raise HTTPParseError(f'{self.status} is no status')
        return skips_body


def ended_plainly(sock: Any, *, has_body: bool) -> bool:
    """Return whether a peer that ended its side had taken the whole request.

    Asked once the end has been read. A reset behind it is told by the state of
    the connection, as its error is reported only once, also to a send. It may
    still be on its way if there is a body that the peer did not want.
    """
    if has_body:
        sleep(_RESET_SECONDS)
    state = sock.getsockopt(IPPROTO_TCP, TCP_INFO, 1)[0]
    return state == _CLOSE_WAIT and not _undelivered_bytes(sock)


def _undelivered_bytes(sock: Any) -> int:
    """Return how many bytes are not sent, or not acknowledged."""
    size = calcsize('i')
    filled: bytes = ioctl(sock.fileno(), TIOCOUTQ, bytes(size))
    return int(unpack('i', filled)[0])
