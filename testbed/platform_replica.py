"""Stand-in for back ends of the users' platform, with faults of its own.

A raw HTTP server, since most faults are bytes that no HTTP library sends. A
request's path picks the fault for its answer; everything that ran is listed.
"""

from typing import Final, NamedTuple

from gevent import sleep
from gevent.server import StreamServer
from gevent.socket import SO_LINGER, SOL_SOCKET, socket
from msgspec.json import encode

from testbed.platform_cache import StandInCache

EVENTS: Final = 6
SEAL: Final = 'standin.seal'
# Work of so many ms, in the place of a fault.
WORK: Final = 'work-'
_MS_PER_SECOND: Final = 1000
_PREFIX: Final = 'Kingcuptrestle-'
_READ_BYTES: Final = 65_536
_SLOW_SECONDS: Final = 30.0
# Pauses before the events of slow streams.
_PAUSES_SECONDS: Final = {'slow': 0.3, 'crawl': 2.0}
# Time for bytes to arrive before a reset drops them.
_FLUSH_SECONDS: Final = 0.1
# Time of a prefill.
_SECONDS_PER_TOKEN: Final = 0.00002
_RESET: Final = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Received(NamedTuple):
    """A request that a back end took."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def fault(self) -> str:
        """The fault that the path names."""
        return self.target.rpartition('/')[2]

    def named(self, name: str) -> str:
        """Return one of the platform's headers."""
        return self.headers.get((_PREFIX + name).lower(), '')


class PlatformReplica:
    """One back end: an engine of a stage, or a service without one."""

    def __init__(
        self, instance: str, stage: str, listen: str, software: str = 'v1'
    ) -> None:
        """Bind to `ip:port`."""
        self.instance = instance
        self.stage = stage
        self.software = software
        self.ran: list[Received] = []
        self.declined: list[Received] = []
        self.handles: set[str] = set()
        self.freed: list[str] = []
        self.orders: list[bytes] = []
        self.cut_streams = 0
        # Added to the work of each whole answer.
        self.slow_seconds = 0.0
        # The fault of all its requests, in the place of the path's.
        self.fault = ''
        # Headers that all of its answers have.
        self.said: dict[str, str] = {}
        # With a text it turns requests away, which is the time to come back.
        self.retry_after = ''
        # Answers to write once more before the next one of a connection.
        self.repeated: dict[socket, bytes] = {}
        self.cache = StandInCache(instance)
        ip, _, port = listen.rpartition(':')
        self.server = StreamServer((ip, int(port)), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it serves."""
        return f'{self.server.server_host}:{self.server.server_port}'

    def _serve(self, sock: socket, _address: object) -> None:
        try:
            while received := _read_request(sock):
                sock.sendall(self.repeated.pop(sock, b''))
                if not self._answer(sock, received):
                    return
        except OSError:
            # The peer went away; what ran is counted already.
            self.cut_streams += 1

    def _answer(self, sock: socket, received: Received) -> bool:
        """Answer a request; return whether the connection goes on."""
        if received.method == 'DELETE':
            handle = received.target.rpartition('/')[2]
            self.handles.discard(handle)
            self.freed.append(handle)
            return _send(sock, 200, self.said, b'{}')
        page = self._own_page(received)
        if page is not None:
            return _send(sock, 200, self.said, page)
        if received.target == '/order':
            self.orders.append(received.body)
            return _send(sock, 202, self.said, b'{}')
        target = received.named('Target-Instance')
        if target and target != self.instance:
            return self._decline(sock, received, 421)
        if self.retry_after:
            return self._decline(sock, received, 503)
        if received.named('Serving-Stage') == 'prefill':
            return self._read_prompt(sock, received)
        return self._run(sock, received)

    def _own_page(self, received: Received) -> bytes | None:
        """Return what it says of itself, None for another request."""
        if received.target == '/report':
            return encode({'seq': len(self.orders)})
        if received.target == '/kv-list':
            return self.cache.listing()
        if received.target.startswith('/kv-events'):
            return self.cache.page(received.target)
        return None

    def _decline(self, sock: socket, received: Received, status: int) -> bool:
        self.declined.append(received)
        headers = {
            **self.said,
            f'{_PREFIX}Not-Executed': '1',
            f'{_PREFIX}Request-Id': received.named('Request-Id'),
        }
        if self.retry_after:
            headers['Retry-After'] = self.retry_after
        if received.fault == 'decline-twice':
            self.repeated[sock] = _whole(status, headers, b'')
        return _send(sock, status, headers, b'')

    def _read_prompt(self, sock: socket, received: Received) -> bool:
        if self.stage != 'prefill':
            return self._decline(sock, received, 421)
        handle = f'h{len(self.handles) + len(self.freed)}{self.instance}'
        self.handles.add(handle)
        prefix = received.named('Prefix-Hash')
        sleep(self.cache.missing_tokens(prefix) * _SECONDS_PER_TOKEN)
        self.cache.note_read(prefix)
        request_id = received.named('Request-Id')
        headers = {**self.said, f'{_PREFIX}Request-Id': request_id}
        return _send(sock, 200, headers, encode({'kvHandle': handle}))

    def _run(self, sock: socket, received: Received) -> bool:
        if self.stage == 'prefill':
            return self._decline(sock, received, 421)
        if (self.fault or received.fault) in {'decline', 'decline-twice'}:
            return self._decline(sock, received, 503)
        self.ran.append(received)
        if self.stage:
            return self._stream(sock, received)
        return self._whole(sock, received)

    def _sealed(self, received: Received) -> dict[str, str]:
        seal = {f'{_PREFIX}Server-Seal': SEAL}
        request_id = received.named('Request-Id')
        if received.fault == 'other-id':
            request_id = 'somebody-else'
        headers = {**self.said, f'{_PREFIX}Request-Id': request_id}
        return headers if received.fault == 'no-seal' else {**headers, **seal}

    def _whole(self, sock: socket, received: Received) -> bool:
        fault = self.fault or received.fault
        headers = self._sealed(received)
        body = encode({'ran': received.target})
        sleep(_work_seconds(fault) + self.slow_seconds)
        if fault == 'reset':
            sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
            sock.close()
            return False
        if fault == 'mute':
            sleep(_SLOW_SECONDS)
            return False
        if fault == 'cut':
            _send(sock, 200, headers, body, told=len(body) + 5)
            return False
        if fault == 'fails':
            return _send(sock, 500, headers, body)
        if fault in {'bare', 'bare-reset'}:
            # Neither a length nor chunks: the answer ends with its connection.
            sock.sendall(_head(200, headers) + body)
            if fault == 'bare-reset':
                sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
                sleep(_FLUSH_SECONDS)
            sock.close()
            return False
        if fault == 'garbage':
            sock.sendall(b'\x00\x01 no answer at all\r\n\r\n')
            return False
        _send(sock, 200, headers, body)
        extra = _whole(200, headers, b'{"belongs":"nobody"}')
        if fault == 'extra':
            sock.sendall(extra)
        if fault == 'late-extra':
            self.repeated[sock] = extra
        return True

    def _stream(self, sock: socket, received: Received) -> bool:
        headers = {
            **self._sealed(received),
            'Content-Type': 'text/event-stream',
        }
        is_bare = received.fault.startswith('bare')
        if not is_bare:
            headers['Transfer-Encoding'] = 'chunked'
        source = received.named('Kv-Source').rpartition('/')[2]
        self.handles.discard(source)
        sock.sendall(_head(200, headers))
        first = int(received.headers.get('last-event-id') or -1) + 1
        for number in range(first, EVENTS):
            resumed = first > 0
            if (
                received.fault.endswith('breaks')
                and number == 3
                and not resumed
            ):
                _send_piece(sock, b'id: 3\ndata: tok', is_bare)
                sock.close()
                return False
            sleep(_PAUSES_SECONDS.get(received.fault, 0))
            event = f'id: {number}\ndata: token\n\n'.encode()
            _send_piece(sock, event, is_bare)
        if is_bare:
            sock.close()
            return False
        sock.sendall(b'0\r\n\r\n')
        return True


def _work_seconds(fault: str) -> float:
    if not fault.startswith(WORK):
        return 0.0
    return int(fault.removeprefix(WORK)) / _MS_PER_SECOND


def _read_request(sock: socket) -> Received | None:
    received = b''
    while b'\r\n\r\n' not in received:
        more = sock.recv(_READ_BYTES)
        if not more:
            return None
        received += more
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = read_headers(lines[1:])
    length = int(headers.get('content-length', 0))
    while len(body) < length:
        body += sock.recv(_READ_BYTES)
    return Received(method, target, headers, body)


def read_headers(lines: list[str]) -> dict[str, str]:
    """Return headers by their names in lower case."""
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    return headers


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def _send(
    sock: socket,
    status: int,
    headers: dict[str, str],
    body: bytes,
    told: int | None = None,
) -> bool:
    sock.sendall(_whole(status, headers, body, told))
    return True


def _whole(
    status: int,
    headers: dict[str, str],
    body: bytes,
    told: int | None = None,
) -> bytes:
    """Return an answer whose head tells a length, by default the true one."""
    length = len(body) if told is None else told
    return _head(status, {**headers, 'Content-Length': str(length)}) + body


def _send_piece(sock: socket, content: bytes, is_bare: bool) -> None:
    if is_bare:
        sock.sendall(content)
        return
    sock.sendall(f'{len(content):x}\r\n'.encode() + content + b'\r\n')
