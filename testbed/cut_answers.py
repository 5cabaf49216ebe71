"""An entry in this process, and back ends that stop within their answers.

They end the connection there, or fall silent until the entry gives up. Callers and back ends talk over loopback, so that the whole way of an answer is
passed: its parser, the retries, the relay of streams and the callers' server.
"""

import re
from contextlib import suppress
from math import inf
from typing import Any, Final, NamedTuple

from gevent import sleep
from gevent.server import StreamServer
from gevent.socket import SO_LINGER, SOL_SOCKET, create_connection, socket
from msgspec.json import encode

from testbed.direct_fixtures import make_direct_settings
from testbed.platform_fleet import document
from testbed.platform_replica import read_headers
from trestle_core.metrics import Metrics
from trestle_entry.direct.caller_server import CallerServer
from trestle_entry.direct.direct_context import DirectContext
from trestle_links.direct_messages import Backend
from trestle_platform.caller_http import caller_wire
from trestle_platform.manifest import read_table
from trestle_platform.replica_http import backend_wire

REQUEST_ID: Final = 'Kingcuptrestle-Request-Id'
COMMENT: Final = b': still here\n\n'
EVENTS: Final = b''.join(b'id: %d\ndata: token\n\n' % n for n in range(1, 4))
RESULT: Final = b'{"lots":[1,2]}'
# Paths of routes: one that may be repeated, and one of streams.
LOOKUP: Final = '/look/1'
STREAM: Final = '/check/1'
# The same, with comments before its events.
COMMENTED_STREAM: Final = '/check/comments'
# The same, with a prompt that another engine reads first.
LONG_STREAM: Final = '/check/long'
# A stream of a service without engines, and a lookup at one with engines.
PLAIN_STREAM: Final = '/rate/1'
ENGINE_LOOKUP: Final = '/find/1'
_OTHER_ROUTES: Final = (
    {'pathPrefix': '/rate/', 'kind': 'stream', 'service': 'desk'},
    {'pathPrefix': '/find/', 'kind': 'safe', 'service': 'llm'},
)
HANDLE: Final = b'{"kvHandle":"h1"}'
# Back ends that stop within answers; the other ones are sound.
STOPPING: Final = 'stopping'
_READ_BYTES: Final = 65_536
# `SO_LINGER` on, with no time: closing resets the connection.
_RESET: Final = b'\x01\x00\x00\x00\x00\x00\x00\x00'
# Time for bytes to arrive, as a reset drops what was not read yet.
_FLUSH_SECONDS: Final = 0.002
_CHUNK_BYTES: Final = 11
_LIMIT_MS: Final = 5000


# Service and roles of the back ends of a route; tokens of its requests.
SERVED: Final = {
    LOOKUP: ('desk', ('', '')),
    STREAM: ('llm', ('decode', 'decode')),
    COMMENTED_STREAM: ('llm', ('decode', 'decode')),
    LONG_STREAM: ('llm', ('prefill', 'decode')),
    PLAIN_STREAM: ('desk', ('', '')),
    ENGINE_LOOKUP: ('llm', ('decode', 'decode')),
}
PROMPTS: Final = {
    LOOKUP: '100,3',
    STREAM: '100,3',
    COMMENTED_STREAM: '100,3',
    LONG_STREAM: '17000,3',
    PLAIN_STREAM: '100,3',
    ENGINE_LOOKUP: '100,3',
}


class Cut(NamedTuple):
    """How a back end stops: after so many bytes, by a close or a reset.

    One that holds the connection says nothing more on it.
    """

    framing: str
    place: int
    resets: bool = False
    holds: bool = False


class CallerAnswer(NamedTuple):
    """What a caller got; `whole` is what its framing says."""

    status: int
    body: bytes
    whole: bool


class CutEntry:
    """The entry, its back ends, and the cut that is played now."""

    def __init__(self) -> None:
        """Start the entry without back ends."""
        settings = make_direct_settings(retry_share=1, retry_extra=1_000_000)
        self.context = DirectContext(
            settings, caller_wire(), backend_wire(), Metrics()
        )
        # Longer ago than a window of the retry limits.
        self.context.started_at = -inf
        self.context.loads.entry_counts.note(1)
        self.limit_calls(_LIMIT_MS)
        self.server = CallerServer(self.context)
        self.server.start()
        self.backends: list[StreamServer] = []
        self.cut = Cut('a length', 0)
        # Those of single requests, by their ids.
        self.cuts: dict[str, Cut] = {}
        # Names of the back ends that the latest caller's request reached, and
        # whether they decoded from the KV cache of another one.
        self.received: list[tuple[str, bool]] = []
        self.calls = 0
        # Bodies of sound answers that differ from the usual ones, by path.
        self.bodies: dict[str, bytes] = {}
        # What callers want of their connections.
        self.connection = 'close'

    def limit_calls(self, limit_ms: int) -> None:
        """Set the time limit of all routes, as a new document does."""
        known = document(1)['routes']
        others = [
            {**known[0], **other, 'name': f'other-{number}'}
            for number, other in enumerate(_OTHER_ROUTES)
        ]
        self.routes = [
            {**route, 'timeoutMs': limit_ms} for route in (*known, *others)
        ]
        self._publish()

    def limit_idle(self, limit_ms: int) -> None:
        """Set the idle time of connections, as a new document does."""
        limits = {**document(1)['limits'], 'idleTimeoutMs': limit_ms}
        self._publish(limits=limits)

    def limit_bodies(self, limit_bytes: int) -> None:
        """Set the largest body of a request, as a new document does."""
        limits = {**document(1)['limits'], 'maxBodyBytes': limit_bytes}
        self._publish(limits=limits)

    def _publish(self, **changes: Any) -> None:
        changed = document(1, routes=self.routes, **changes)
        self.context.table = read_table(encode(changed))

    def list_backends(self, path: str, *names: str) -> None:
        """Start back ends for the route of a path, the first one preferred."""
        service, roles = SERVED[path]
        listed = []
        for name, role in zip(names, roles, strict=False):
            server = StreamServer(('127.0.0.1', 0), self._backend(name))
            server.start()
            self.backends.append(server)
            address = f'127.0.0.1:{server.server_port}'
            # Another zone costs more.
            zone = 'z1' if name == STOPPING else 'z2'
            listed.append(
                Backend(name, service, address, zone, False, role, 64, 'v1')
            )
        self.context.fleet.replace_list(listed)

    def call(self, path: str, version: str = '1.1') -> CallerAnswer:
        """Make a caller's call on a connection of its own."""
        sock = self.send(path, version)
        try:
            return read_answer(sock)
        finally:
            sock.close()

    def send(self, path: str, version: str = '1.1') -> socket:
        """Send a caller's request; return its connection."""
        headers = self.next_headers(path)
        lines = [
            f'POST {path} HTTP/{version}',
            'Host: firm.example',
            *[f'{name}: {text}' for name, text in headers.items()],
            'Content-Length: 2',
            f'Connection: {self.connection}',
        ]
        sock = create_connection(self.server.bound(), timeout=5)
        sock.sendall(('\r\n'.join(lines) + '\r\n\r\n{}').encode())
        return sock

    def next_headers(self, path: str) -> dict[str, str]:
        """Return the platform's headers of the next call."""
        self.calls += 1
        self.received.clear()
        self._forget_failures()
        return {
            REQUEST_ID: f'r{self.calls:06}',
            'Kingcuptrestle-Token-Counts': PROMPTS[path],
        }

    def whole_answer(self, path: str, framing: str) -> bytes:
        """Return the bytes of a sound answer."""
        body = HANDLE if path == LONG_STREAM else body_of(path)
        return frame(framing, body, f'r{self.calls:06}')

    def stop(self) -> None:
        """Stop all servers."""
        self.server.stop()
        for backend in self.backends:
            backend.stop()

    def _backend(self, name: str) -> Any:
        def serve(sock: socket, _address: object) -> None:
            # The entry may give an answer up while it is sent.
            with suppress(ConnectionResetError, BrokenPipeError):
                self._serve(sock, name)

        return serve

    def _serve(self, sock: socket, name: str) -> None:
        while received := sock.recv(_READ_BYTES):
            head = received.decode('latin-1')
            self.received.append((name, 'Kv-Source: ' in head))
            if not self._answer(sock, name, head):
                return

    def _answer(self, sock: socket, name: str, head: str) -> bool:
        """Answer a request; return whether the connection goes on."""
        headers = read_headers(head.split('\r\n'))
        request_id = headers.get('kingcuptrestle-request-id', '')
        path = head.split(' ')[1]
        body = self.bodies.get(path, body_of(path))
        if 'kingcuptrestle-serving-stage' in headers:
            body = HANDLE
        cut = self.cuts.get(request_id, self.cut)
        if name != STOPPING or cut.place < 0:
            sock.sendall(frame('a length', body, request_id))
            return True
        whole = frame(cut.framing, body, request_id)
        sock.sendall(whole[: cut.place])
        if cut.holds:
            sock.recv(_READ_BYTES)
        if cut.resets:
            sleep(_FLUSH_SECONDS)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
        sock.close()
        return False

    def _forget_failures(self) -> None:
        """Let no back end be avoided for the calls before."""
        self.context.fleet.health_by_instance.clear()
        self.context.crash_guard.interruptions.clear()


def body_of(path: str) -> bytes:
    """Return the body of the whole answer at a path."""
    if path == COMMENTED_STREAM:
        return COMMENT * 2 + EVENTS
    return RESULT if path in {LOOKUP, ENGINE_LOOKUP} else EVENTS


def frame(framing: str, body: bytes, request_id: str) -> bytes:
    """Return an answer of a back end."""
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
        f'Kingcuptrestle-Request-Id: {request_id}\r\n'
        'Kingcuptrestle-Server-Seal: standin.seal\r\n'
    ).encode()
    length = b'Content-Length: %d\r\n' % len(body)
    chunks = _chunk(body) if framing.startswith('chunks') else b''
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks
    framed = {
        'a length': head + length + b'\r\n' + body,
        'a length that closes': (
            head + b'Connection: close\r\n' + length + b'\r\n' + body
        ),
        'chunks': chunked + b'0\r\n\r\n',
        'chunks and trailers': chunked + b'0\r\nA: b\r\n\r\n',
        'an interim answer': (
            b'HTTP/1.1 103 Early\r\nA: b\r\n\r\n'
            + head
            + length
            + b'\r\n'
            + body
        ),
        'neither': head + b'\r\n' + body,
    }
    return framed[framing]


def _chunk(body: bytes) -> bytes:
    pieces = [
        body[start : start + _CHUNK_BYTES]
        for start in range(0, len(body), _CHUNK_BYTES)
    ]
    return b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in pieces)


def read_answer(sock: Any) -> CallerAnswer:
    """Read an answer to its end, or to that of the connection."""
    received = b''
    is_closed = True
    try:
        while not _ends_by_length(received) and (
            more := sock.recv(_READ_BYTES)
        ):
            received += more
    except (ConnectionResetError, TimeoutError):
        is_closed = False
    head, _, body = received.partition(b'\r\n\r\n')
    if not head:
        return CallerAnswer(0, b'', whole=False)
    status = int(head.split(b' ')[1])
    length = re.search(rb'(?i)content-length: (\d+)', head)
    if b'chunked' in head.lower():
        return CallerAnswer(status, *_unchunk(body))
    if length:
        return CallerAnswer(status, body, len(body) == int(length[1]))
    return CallerAnswer(status, body, is_closed)


def _ends_by_length(received: bytes) -> bool:
    head, _, body = received.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: (\d+)', head)
    return length is not None and len(body) >= int(length[1])


def _unchunk(body: bytes) -> tuple[bytes, bool]:
    content = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return content, rest == b'\r\n'
        content += rest[:length]
        body = rest[length + 2 :]
    return content, False
