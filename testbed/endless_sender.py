"""A back end whose streams do not end: `python -m testbed.endless_sender KIND`.

It prints its port. Each connection has a thread, which sends as fast as its peer
takes the bytes. Lookups get short sound answers.
"""

from collections.abc import Callable
from socket import create_server, socket
from sys import argv, stdout
from threading import Thread
from typing import Final

_READ_BYTES: Final = 65_536
_BACKLOG: Final = 200
_EVENTS_IN_PIECE: Final = 1000


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


def _events(number: int) -> bytes:
    numbers = range(number, number + _EVENTS_IN_PIECE)
    return b''.join(b'id: %d\ndata: token\n\n' % one for one in numbers)


# The next piece of a stream, framed, by the number of its next event.
PIECES: Final[dict[str, Callable[[int], bytes]]] = {
    'comments': lambda _number: _chunk(b':\n\n' * 10_000),
    'events': lambda number: _chunk(_events(number)),
    'chunks of one byte': lambda _number: _chunk(b':') * 5000,
    'blank lines': lambda _number: _chunk(b'\n' * 30_000),
}


def serve(sock: socket, kind: str) -> None:
    """Answer the requests of a connection until it is closed."""
    try:
        while request := sock.recv(_READ_BYTES):
            _answer(sock, request.decode('latin-1'), kind)
    except OSError:
        # The entry has closed the connection.
        sock.close()


def _answer(sock: socket, request: str, kind: str) -> None:
    lines = request.lower().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines if ': ' in line)
    request_id = headers['kingcuptrestle-request-id']
    head = (
        'HTTP/1.1 200 OK\r\nKingcuptrestle-Server-Seal: standin.seal\r\n'
        f'Kingcuptrestle-Request-Id: {request_id}\r\n'
    ).encode()
    if '/look/' in lines[0]:
        sock.sendall(head + b'Content-Length: 2\r\n\r\n{}')
        return
    sock.sendall(head + b'Transfer-Encoding: chunked\r\n\r\n')
    sock.sendall(_chunk(b'id: 1\ndata: token\n\n'))
    number = 2
    while True:
        sock.sendall(PIECES[kind](number))
        number += _EVENTS_IN_PIECE


def main() -> None:
    """Serve until the process is killed."""
    listener = create_server(('127.0.0.1', 0), backlog=_BACKLOG)
    stdout.write(f'{listener.getsockname()[1]}\n')
    stdout.flush()
    while True:
        sock, _ = listener.accept()
        Thread(target=serve, args=(sock, argv[1]), daemon=True).start()


if __name__ == '__main__':
    main()
