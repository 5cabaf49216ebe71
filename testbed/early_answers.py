"""An entry, and back ends that answer before they have read a whole request.

Their connections end in the ways in which the kernel ends those of a process
that fails: with an end of its sending side, a reset, or one behind the other.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from gevent import sleep
from gevent.server import StreamServer
from gevent.socket import (
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    create_connection,
    socket,
)

from testbed.cut_answers import (
    EVENTS,
    HANDLE,
    LOOKUP,
    CallerAnswer,
    CutEntry,
    read_answer,
)
from testbed.platform_replica import read_headers
from trestle_links.direct_messages import Backend

BOOKING: Final = '/book/1'
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_STREAMS: Final = '/check/'
_PART: Final = b'{"lots":[1,'
_HEAD_BYTES: Final = 1024
_READ_BYTES: Final = 262_144
# `SO_LINGER` on, with no time: closing resets the connection.
_RESET: Final = b'\x01\x00\x00\x00\x00\x00\x00\x00'
_LATE_SECONDS: Final = 0.2
# Longer than unacknowledged bytes may wait.
_READS_ON_SECONDS: Final = 1.5
_SEAL: Final = 'Kingcuptrestle-Server-Seal: standin.seal\r\n'
_LIMIT_SECONDS: Final = 10


def _reset(sock: socket) -> None:
    sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
    sock.close()


def _end_and_reset(sock: socket) -> None:
    sock.shutdown(SHUT_WR)
    _reset(sock)


def _end_and_reset_late(sock: socket) -> None:
    sock.shutdown(SHUT_WR)
    sleep(_LATE_SECONDS)
    _reset(sock)


# How a connection ends on which a request is left unread.
ENDS: Final[dict[str, Callable[[socket], None]]] = {
    'closes': lambda sock: sock.close(),
    'resets': _reset,
    'ends its side and resets': _end_and_reset,
    'ends its side and resets late': _end_and_reset_late,
}


class EarlyAnswers:
    """The entry and its back ends."""

    def __init__(self) -> None:
        """Start the entry."""
        self.entry = CutEntry()
        self.entry.limit_bodies(_MAX_BODY_BYTES)
        self.servers: list[Any] = []

    def list_backends(self, *serve: Callable[[socket, str], None]) -> None:
        """Start back ends for all routes, the first one preferred."""
        listed = []
        for number, answer in enumerate(serve):
            server = StreamServer(('127.0.0.1', 0), _handler(answer))
            server.start()
            self.servers.append(server)
            address = f'127.0.0.1:{server.server_port}'
            zone = f'z{number + 1}'
            listed += [
                Backend(
                    f'{service}-{number}',
                    service,
                    address,
                    zone,
                    False,
                    'decode' if service == 'llm' else '',
                    64,
                    'v1',
                )
                for service in ('desk', 'llm')
            ]
        self.entry.context.fleet.replace_list(listed)

    def split_roles(self) -> None:
        """Let the back ends read prompts, the last one as an engine that streams."""
        fleet = self.entry.context.fleet
        engines = list(fleet.by_service['llm'])
        readers = [
            engine._replace(instance=f'reader-{number}', role='prefill')
            for number, engine in enumerate(engines)
        ]
        fleet.replace_list([*readers, engines[-1]])

    def call(self, path: str, body_bytes: int) -> CallerAnswer:
        """Make a caller's call with a body of so many bytes."""
        headers = self.entry.next_headers(LOOKUP if path == BOOKING else path)
        lines = [
            f'POST {path} HTTP/1.1',
            'Host: firm.example',
            *[f'{name}: {text}' for name, text in headers.items()],
            f'Content-Length: {body_bytes}',
            'Connection: close',
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        sock = create_connection(
            self.entry.server.bound(), timeout=_LIMIT_SECONDS
        )
        try:
            sock.sendall(head.encode() + b'x' * body_bytes)
            return read_answer(sock)
        finally:
            sock.close()

    def stop(self) -> None:
        """Stop all servers."""
        self.entry.stop()
        for server in self.servers:
            server.stop()


def part_then(end: str) -> Callable[[socket, str], None]:
    """Return a back end that sends part of an answer and ends so, at once."""

    def answer(sock: socket, head: str) -> None:
        sock.sendall(_head_of('200 OK', head) + b'\r\n' + _body_of(head))
        ENDS[end](sock)

    return answer


def whole_after_request(sock: socket, head: str) -> None:
    """Read the whole request; answer without a length, and close."""
    _read_rest(sock, head)
    sock.sendall(_head_of('200 OK', head) + b'\r\n' + _body_of(head))
    sock.close()


def whole_before_request(sock: socket, head: str) -> None:
    """Answer with a length at once, and read on later on the connection."""
    body = _body_of(head)
    length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
    sock.sendall(_head_of('200 OK', head) + length + body)
    if _left_bytes(head):
        sleep(_READS_ON_SECONDS)
        _read_rest(sock, head)


def refuse(sock: socket, head: str) -> None:
    """Turn a request away before its body has been read, and close."""
    declined = b'Kingcuptrestle-Not-Executed: 1\r\nConnection: close\r\n'
    length = b'Content-Length: 0\r\n\r\n'
    sock.sendall(_head_of('503 Busy', head) + declined + length)
    sock.close()


def with_status(status: str, framing: str) -> Callable[[socket, str], None]:
    """Return a back end whose answers have a status, on kept connections."""

    def answer(sock: socket, head: str) -> None:
        body = _body_of(head)
        length = f'Content-Length: {len(body)}\r\n' if framing else ''
        begin = _head_of(f'{status} Status', head) + length.encode()
        sock.sendall(begin + b'\r\n' + body)
        if not framing:
            sock.close()

    return answer


def _handler(answer: Callable[[socket, str], None]) -> Any:
    def serve(sock: socket, _address: object) -> None:
        # The entry may give an answer up while it is sent.
        with suppress(OSError):
            while received := sock.recv(_HEAD_BYTES):
                answer(sock, received.decode('latin-1'))

    return serve


def _read_rest(sock: socket, head: str) -> None:
    """Read what is left of a request behind the bytes of its head."""
    left = _left_bytes(head)
    while left > 0 and (received := sock.recv(_READ_BYTES)):
        left -= len(received)


def _left_bytes(head: str) -> int:
    """Return how much of the body has not come with the head."""
    length = int(_headers_of(head)['content-length'])
    return length - len(head.partition('\r\n\r\n')[2])


def _headers_of(head: str) -> dict[str, str]:
    return read_headers(head.partition('\r\n\r\n')[0].split('\r\n'))


def _head_of(status: str, head: str) -> bytes:
    request_id = _headers_of(head).get('kingcuptrestle-request-id', '')
    return (
        f'HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{_SEAL}'
        f'Kingcuptrestle-Request-Id: {request_id}\r\n'
    ).encode()


def _body_of(head: str) -> bytes:
    if 'kingcuptrestle-serving-stage' in _headers_of(head):
        return HANDLE
    return EVENTS if _STREAMS in head.partition('\r\n')[0] else _PART
