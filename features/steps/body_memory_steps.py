"""Steps on the memory that bodies of callers' requests take."""

from time import monotonic
from typing import Any, Final

from behave import given, then, when
from behave.runner import Context
from gevent import joinall, sleep, spawn
from gevent.event import Event
from gevent.socket import create_connection, socket

from testbed.customer_entry import CustomerEntry
from trestle_entry.direct.body_memory import BodyMemory
from trestle_entry.direct.caller_server import CallerServer

MEGABYTE: Final = 1_000_000
CHUNK_BYTES: Final = 100_000
LIMIT_SECONDS: Final = 20.0
HEAD: Final = (
    'POST /look/plain HTTP/1.1\r\nHost: firm.example\r\n'
    'Kingcuptrestle-Request-Id: {name}\r\n'
    'Kingcuptrestle-Deadline-Ms: 20000\r\nConnection: close\r\n{framing}\r\n\r\n'
)


class Upload:
    """A caller that sends half of its body, and the rest when it is told."""

    def __init__(self, port: int, name: str, *, is_chunked: bool) -> None:
        """Connect."""
        self.sock: socket = create_connection(('127.0.0.1', port))
        self.name = name
        self.is_chunked = is_chunked
        self.may_go_on = Event()
        self.answer = b''

    def run(self) -> None:
        """Send the request and receive the answer."""
        framing = f'Content-Length: {MEGABYTE}'
        if self.is_chunked:
            framing = 'Transfer-Encoding: chunked'
        self.sock.sendall(HEAD.format(name=self.name, framing=framing).encode())
        reader = spawn(self._receive)
        try:
            self._send_body()
        except OSError:
            # Refused before the rest was sent.
            pass
        reader.join(LIMIT_SECONDS)
        self.sock.close()

    def _send_body(self) -> None:
        pieces = MEGABYTE // CHUNK_BYTES
        for number in range(pieces):
            if number == pieces - 1:
                self.may_go_on.wait(LIMIT_SECONDS)
            self.sock.sendall(self._framed(b'x' * CHUNK_BYTES))
        if self.is_chunked:
            self.sock.sendall(b'0\r\n\r\n')

    def _framed(self, piece: bytes) -> bytes:
        if not self.is_chunked:
            return piece
        return b'%x\r\n%b\r\n' % (len(piece), piece)

    def _receive(self) -> None:
        while received := self.sock.recv(CHUNK_BYTES):
            self.answer += received


@given('an entry with room for {bodies:d} bodies of 1 MB')
def step_entry(context: Context, bodies: int) -> None:
    """Start an entry with one back end."""
    entry = CustomerEntry()
    context.add_cleanup(entry.replica.server.stop)
    server = CallerServer(entry.context)
    context.memory = BodyMemory(bodies * MEGABYTE)
    server.body_memory = context.memory
    server.start()
    context.add_cleanup(server.stop, 0)
    context.port = server.bound().port


@when('{callers:d} callers begin bodies of 1 MB, {framing}')
def step_begin(context: Context, callers: int, framing: str) -> None:
    """Send all but the last tenth, one caller after the other."""
    context.uploads = [
        Upload(context.port, f'u{number}', is_chunked=framing == 'in chunks')
        for number in range(callers)
    ]
    context.tasks = []
    for upload in context.uploads:
        held_bytes = context.memory.held_bytes
        context.tasks.append(spawn(upload.run))
        until = monotonic() + LIMIT_SECONDS
        while not upload.answer and context.memory.held_bytes < (
            held_bytes + MEGABYTE - 2 * CHUNK_BYTES
        ):
            assert monotonic() < until, context.memory.held_bytes
            sleep(0.01)


@then('{count:d} of them are refused with a time to come back')
def step_refused(context: Context, count: int) -> None:
    """Check who was refused while the others had not ended."""
    answers = [upload.answer for upload in context.uploads]
    refused = [answer for answer in answers if b' 503 ' in answer[:20]]
    assert len(refused) == count, answers
    assert all(b'retry-after' in answer.lower() for answer in refused), refused


@when('the others send the rest')
def step_rest(context: Context) -> None:
    """Let all go on."""
    for upload in context.uploads:
        upload.may_go_on.set()
    joinall(context.tasks, timeout=LIMIT_SECONDS)


@then('these get their answers, and no room is taken any more')
def step_answers(context: Context) -> None:
    """Check the answers and the count."""
    answers = [upload.answer for upload in context.uploads]
    served = [answer for answer in answers if b' 200 ' in answer[:20]]
    assert len(served) == 3, answers
    assert not context.memory.held_bytes


@when('a caller announces a body of {megabytes:d} MB')
def step_announce(context: Context, megabytes: int) -> None:
    """Send a head and no body."""
    sock: Any = create_connection(('127.0.0.1', context.port), timeout=5)
    framing = f'Content-Length: {megabytes * MEGABYTE}'
    sock.sendall(HEAD.format(name='large', framing=framing).encode())
    context.received = sock.recv(CHUNK_BYTES)
    sock.close()


@then('it is answered 413 as too large')
def step_too_large(context: Context) -> None:
    """Check the status."""
    assert context.received.startswith(b'HTTP/1.1 413 '), context.received


@when('a caller sends {kilobytes:d} KB in chunks of a byte')
def step_tiny(context: Context, kilobytes: int) -> None:
    """Send all at once, beside a greenlet that wakes again and again."""
    context.longest = 0.0
    sock: Any = create_connection(('127.0.0.1', context.port))
    head = HEAD.format(name='tiny', framing='Transfer-Encoding: chunked')
    body = b'1\r\nx\r\n' * (kilobytes * 1000)
    sender = spawn(sock.sendall, head.encode() + body + b'0\r\n\r\n')
    received = spawn(sock.recv, CHUNK_BYTES)
    until = monotonic() + LIMIT_SECONDS
    while not received.ready() and monotonic() < until:
        slept_at = monotonic()
        sleep(0.01)
        context.longest = max(context.longest, monotonic() - slept_at)
    sender.kill()
    sock.close()
    assert received.value and b' 200 ' in received.value[:20], received.value


@then(
    'a greenlet that wakes each 10 ms never waits for over {seconds:f} seconds'
)
def step_woken(context: Context, seconds: float) -> None:
    """Check the longest wait."""
    assert context.longest < seconds, context.longest
