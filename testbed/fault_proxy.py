"""TCP proxy that injects faults into named links, seeded."""

from gevent import monkey

monkey.patch_all()

from dataclasses import dataclass, field
from http import HTTPStatus
from json import dumps
from pathlib import Path
from random import Random
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
    create_connection,
    socket,
)
from struct import pack
from time import monotonic
from typing import Annotated, Final, NamedTuple

from cappa import Arg, parse
from gevent import sleep
from gevent.event import Event
from gevent.pool import Group
from gevent.queue import Queue
from gevent.server import StreamServer

from testbed.serving import (
    LOOPBACK,
    Call,
    JsonObject,
    Reply,
    ServerOptions,
    accept,
    make_application,
    refuse,
    start_server,
    wait_for_stop,
    write_address,
)

MODES: Final = ('pass', 'cut', 'drop', 'delay', 'hold', 'refuse', 'half-open')
CHUNK_BYTES: Final = 65536
CONNECT_TIMEOUT_SECONDS: Final = 5
# An active close with no lingering sends a reset instead of a clean end.
RESET_LINGER: Final = pack('ii', 1, 0)


@dataclass(kw_only=True)
class Options(ServerOptions):
    """Fault-injecting TCP proxy; the address file is JSON by link name."""

    link: Annotated[
        list[str],
        Arg(long=True, help='NAME=LISTENPORT:HOST:PORT or NAME=PORT:@FILE'),
    ] = field(default_factory=list)
    seed: Annotated[int, Arg(long=True)] = 1


class Fault(NamedTuple):
    """What a link does to its bytes; direction is both, up or down."""

    mode: str = 'pass'
    seconds: float = 0
    direction: str = 'both'


class Chunk(NamedTuple):
    """Bytes that are due at a monotonic time; empty bytes end them."""

    due: float
    content: bytes


def reset(connection: socket) -> None:
    """Close a connection with a reset."""
    try:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_LINGER)
    except OSError:
        # It is closed already.
        return
    connection.close()


def resolve(target: str) -> tuple[str, int]:
    """Return a target's address, read from a file if it is @FILE."""
    if target.startswith('@'):
        target = Path(target[1:]).read_text(encoding='utf-8').strip()
    host, _, port = target.rpartition(':')
    return host, int(port)


class Link:
    """One listening port, its target and its present fault."""

    def __init__(self, target: str, random: Random) -> None:
        self.target = target
        self.random = random
        self.fault = Fault()
        self.changed = Event()
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.read_bytes = 0

    def set_fault(self, fault: Fault) -> None:
        """Put a fault into effect for open and new connections."""
        self.fault = fault
        self.changed.set()
        self.changed = Event()
        for connection in list(self.connections):
            connection.meet(fault)

    def handle(self, caller: socket, address: object) -> None:
        """Serve one connection of a caller until both sides end."""
        self.accepted += 1
        if self.fault.mode in {'cut', 'refuse'}:
            reset(caller)
            return
        connection = Connection(self, caller)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
            connection.close()

    def report(self) -> JsonObject:
        """Return the fault and the counts of connections."""
        return {
            'mode': self.fault.mode,
            'open': len(self.connections),
            'accepted': self.accepted,
            'bytes': self.read_bytes,
        }

    def wait_for_change(self) -> None:
        """Wait until the fault changes."""
        self.changed.wait()


class Connection:
    """A caller's connection and the one to the target."""

    def __init__(self, link: Link, caller: socket) -> None:
        self.link = link
        self.caller = caller
        self.target: socket | None = None
        self.tasks = Group()
        self.open_directions = 2
        self.ended = Event()
        # Bytes were lost, so the stream can't go on once the link passes.
        self.lossy = False

    def meet(self, fault: Fault) -> None:
        """Apply a new fault to an open connection."""
        loses = fault.mode in {'drop', 'half-open'}
        if fault.mode == 'cut' or (self.lossy and not loses):
            self.reset()
        if fault.mode == 'half-open':
            self.lossy = True
            if self.target:
                reset(self.target)

    def reset(self) -> None:
        """Reset both sides."""
        for side in (self.caller, self.target):
            if side:
                reset(side)
        self.ended.set()

    def close(self) -> None:
        """Close both sides and end their tasks."""
        self.tasks.kill()
        for side in (self.caller, self.target):
            if side:
                side.close()

    def run(self) -> None:
        """Connect to the target and pass bytes until both sides end."""
        while self.link.fault.mode in {'drop', 'half-open'}:
            self.lossy = True
            self.link.wait_for_change()
        if self.ended.is_set() or not self.connect():
            reset(self.caller)
            return
        self.ended.wait()

    def connect(self) -> bool:
        """Connect to the target and start to pass bytes."""
        try:
            target = create_connection(
                resolve(self.link.target), CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, ValueError):
            return False
        target.settimeout(None)
        self.target = target
        self.tasks.spawn(self.pump, 'up', self.caller, target)
        self.tasks.spawn(self.pump, 'down', target, self.caller)
        return True

    def pump(self, direction: str, source: socket, sink: socket) -> None:
        """Read one side to its end; a second task writes to the other."""
        sink.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        chunks: Queue[Chunk] = Queue()
        self.tasks.spawn(self.write, direction, chunks, sink)
        content = read(source)
        while content:
            self.link.read_bytes += len(content)
            chunks.put(Chunk(monotonic() + self.delay(direction), content))
            content = read(source)
        chunks.put(Chunk(monotonic() + self.delay(direction), content))

    def write(
        self, direction: str, chunks: 'Queue[Chunk]', sink: socket
    ) -> None:
        """Write chunks when they are due and the link lets them through."""
        content = b'start'
        while content:
            due, content = chunks.get()
            sleep(max(due - monotonic(), 0))
            while self.affects(direction, 'hold'):
                self.link.wait_for_change()
            if self.affects(direction, 'drop') or self.half_open():
                self.lossy = True
                # The end vanishes too: the other side hears nothing.
                content = b'dropped'
            elif not forward(sink, content):
                self.reset()
                return
        self.open_directions -= 1
        if not self.open_directions:
            self.ended.set()

    def half_open(self) -> bool:
        """Tell whether the target is gone and its caller not told."""
        return self.link.fault.mode == 'half-open'

    def affects(self, direction: str, mode: str) -> bool:
        """Tell whether the fault is of a mode and meets a direction."""
        fault = self.link.fault
        return fault.mode == mode and fault.direction in {'both', direction}

    def delay(self, direction: str) -> float:
        """Return seconds to keep a chunk, half to one and a half times."""
        if not self.affects(direction, 'delay'):
            return 0
        return self.link.fault.seconds * (0.5 + self.link.random.random())


def read(source: socket) -> bytes:
    """Return a chunk of bytes, empty at the end or after a failure."""
    try:
        return source.recv(CHUNK_BYTES)
    except OSError:
        return b''


def forward(sink: socket, content: bytes) -> bool:
    """Write a chunk or its end; tell whether the socket took it."""
    try:
        if content:
            sink.sendall(content)
        else:
            sink.shutdown(SHUT_WR)
    except OSError:
        return False
    return True


class Proxy:
    """The links by name."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.addresses: dict[str, str] = {}

    @classmethod
    def from_config(cls, options: Options) -> 'Proxy':
        """Return a proxy that listens on all links of the options."""
        proxy = cls()
        random = Random(options.seed)
        for definition in options.link:
            name, _, rest = definition.partition('=')
            port, _, target = rest.partition(':')
            proxy.listen(name, int(port), Link(target, random))
        return proxy

    def listen(self, name: str, port: int, link: Link) -> None:
        """Accept a link's connections; port 0 takes any free one."""
        server = StreamServer((LOOPBACK, port), link.handle)
        server.start()
        self.links[name] = link
        self.addresses[name] = f'{LOOPBACK}:{server.server_port}'

    def set_fault(self, call: Call) -> Reply:
        """Put a fault on one link, or on all with the name *."""
        fault = Fault(
            call.body.get('mode', 'pass'),
            float(call.body.get('seconds', 0)),
            call.body.get('direction', 'both'),
        )
        name = call.body.get('link')
        names = [one for one in self.links if name in {one, '*'}]
        if fault.mode not in MODES or not names:
            return refuse(HTTPStatus.BAD_REQUEST, 'unknown-link-or-mode')
        for one in names:
            self.links[one].set_fault(fault)
        return accept(mode=fault.mode)

    def show_links(self, call: Call) -> Reply:
        """Answer with each link's fault and connections."""
        reports = {name: link.report() for name, link in self.links.items()}
        return accept(links=reports)


def main() -> None:
    """Run the proxy until SIGTERM."""
    options = parse(Options)
    proxy = Proxy.from_config(options)
    server = start_server(
        make_application(
            {
                'POST /faults': proxy.set_fault,
                'GET /links': proxy.show_links,
            }
        ),
        options.port,
    )
    addresses = {
        'control': f'{LOOPBACK}:{server.server_port}',
        **proxy.addresses,
    }
    write_address(options.address_file, dumps(addresses))
    wait_for_stop(server)


if __name__ == '__main__':
    main()
