"""A caller that uses one connection until it ends, in pieces if it likes."""

from typing import Any, Final, NamedTuple

from gevent import sleep
from gevent.socket import create_connection

_LIMIT_SECONDS: Final = 30.0
_SIZE_BASE: Final = 16
BODY: Final = b'{"lot":1}'


class Heard(NamedTuple):
    """What came for a request; status 0 tells that nothing did."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


NOTHING: Final = Heard(0, {}, b'', is_whole=False)


class KeptChannel:
    """One connection; `is_open` until either side has ended it."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect; raises `OSError`."""
        self.sock = create_connection(address, _LIMIT_SECONDS)
        self.rfile = self.sock.makefile('rb')
        self.is_open = True

    def call(
        self, path: str, headers: dict[str, str], body_pause: float
    ) -> Heard:
        """Send a request, the end of its body after a pause."""
        lines = [f'POST {path} HTTP/1.1', 'Host: firm.example']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [f'Content-Length: {len(BODY)}', '', '']
        try:
            self.sock.sendall('\r\n'.join(lines).encode() + BODY[:1])
            sleep(body_pause)
            self.sock.sendall(BODY[1:])
        except OSError:
            # An answer may have come before the body was whole.
            self.is_open = False
        try:
            heard = _read_answer(self.rfile)
        except (OSError, ValueError):
            heard = NOTHING
        if not heard.is_whole or heard.headers.get('connection') == 'close':
            self.is_open = False
        return heard

    def close(self) -> None:
        """End the connection."""
        self.is_open = False
        self.rfile.close()
        self.sock.close()


def _read_answer(rfile: Any) -> Heard:
    """Read one answer; raises `OSError` or `ValueError`."""
    line = rfile.readline()
    if not line:
        return NOTHING
    status = int(line.split()[1])
    headers: dict[str, str] = {}
    while line := rfile.readline().strip():
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.lower()] = text.strip()
    if headers.get('transfer-encoding') == 'chunked':
        body, is_whole = _read_chunks(rfile)
        return Heard(status, headers, body, is_whole)
    length = int(headers.get('content-length', 0))
    body = rfile.read(length)
    return Heard(status, headers, body, len(body) == length)


def _read_chunks(rfile: Any) -> tuple[bytes, bool]:
    body = b''
    while line := rfile.readline():
        size = int(line, _SIZE_BASE)
        piece = rfile.read(size + 2)
        if len(piece) < size + 2:
            break
        if not size:
            return body, True
        body += piece[:size]
    return body, False
