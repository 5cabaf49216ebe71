"""HTTP serving shared by the testbed's programs."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from json import dumps, loads
from pathlib import Path
from signal import SIGTERM
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY
from time import time
from typing import Annotated, Any, Final, NamedTuple, TypeAlias, cast
from urllib.parse import parse_qsl

from cappa import Arg
from gevent import signal_handler
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

LOOPBACK: Final = '127.0.0.1'
STOP_SECONDS: Final = 1
SOCKET_KEY: Final = 'testbed.socket'

JsonObject: TypeAlias = dict[str, Any]
Application: TypeAlias = Callable[[JsonObject, Any], Iterable[bytes]]


class Call(NamedTuple):
    """One HTTP call: what follows its route's path, its query and body."""

    rest: str
    query: dict[str, str]
    body: JsonObject
    environ: JsonObject

    def header(self, name: str) -> str:
        """Return a header's value, empty if the call has none."""
        key = name.upper().replace('-', '_')
        return cast(str, self.environ.get(f'HTTP_{key}', ''))

    def drop_connection(self) -> None:
        """Close the caller's connection before any answer is written."""
        self.environ[SOCKET_KEY].shutdown(SHUT_RDWR)


class Reply(NamedTuple):
    """Status and JSON body of an answer."""

    status: HTTPStatus
    content: JsonObject


Handler: TypeAlias = Callable[[Call], Reply | Iterator[bytes]]


class SocketHandler(WSGIHandler):
    """Sends each token at once; shows the socket to faults that close it."""

    def handle(self) -> None:
        """Serve a connection without delaying small writes."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> JsonObject:
        """Return the WSGI environment with the socket added."""
        environ: JsonObject = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


@dataclass(kw_only=True)
class ServerOptions:
    """Options that every program of the testbed takes."""

    address_file: Annotated[
        Path, Arg(long=True, help='File that receives ip:port.')
    ]
    port: Annotated[int, Arg(long=True, help='0: any free port.')] = 0


class Recorder:
    """Appends JSON lines to a file, or drops them if there is none."""

    def __init__(self, path: Path | None) -> None:
        self.path = path

    def append(self, **fields: object) -> None:
        """Append one line with the wall-clock time in seconds."""
        if self.path:
            line = dumps({'time': time(), **fields})
            with self.path.open('a', encoding='utf-8') as stream:
                stream.write(f'{line}\n')

    def lines(self) -> list[JsonObject]:
        """Return the lines recorded so far, by earlier processes too."""
        if not self.path or not self.path.exists():
            return []
        text = self.path.read_text(encoding='utf-8')
        return [loads(line) for line in text.splitlines()]


def accept(**content: object) -> Reply:
    """Return an answer with status 200."""
    return Reply(HTTPStatus.OK, content)


def refuse(status: HTTPStatus, code: str) -> Reply:
    """Return an answer that carries an error code."""
    return Reply(status, {'code': code})


def make_application(routes: Mapping[str, Handler]) -> Application:
    """Return a WSGI application; a route that ends in / is a prefix."""

    def application(environ: JsonObject, start: Any) -> Iterable[bytes]:
        handler, rest = find_route(routes, environ)
        if handler is None:
            return write_reply(
                start, refuse(HTTPStatus.NOT_FOUND, 'unknown-path')
            )
        try:
            call = read_call(environ, rest)
        except ValueError:
            return write_reply(
                start, refuse(HTTPStatus.BAD_REQUEST, 'malformed-json')
            )
        answer = handler(call)
        if isinstance(answer, Reply):
            return write_reply(start, answer)
        start('200 OK', [('Content-Type', 'text/event-stream')])
        return answer

    return application


def find_route(
    routes: Mapping[str, Handler], environ: JsonObject
) -> tuple[Handler | None, str]:
    """Return the handler of a call and what follows its route's path."""
    target = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
    for route, handler in routes.items():
        if target == route:
            return handler, ''
        if route.endswith('/') and target.startswith(route):
            return handler, target.removeprefix(route)
    return None, ''


def read_call(environ: JsonObject, rest: str) -> Call:
    """Read a call's query and JSON body."""
    text = environ['wsgi.input'].read()
    body = loads(text) if text else {}
    if not isinstance(body, dict):
        raise ValueError('expected a JSON object')
    return Call(rest, dict(parse_qsl(environ['QUERY_STRING'])), body, environ)


def write_reply(start: Any, reply: Reply) -> Iterable[bytes]:
    """Start an answer and return its body."""
    body = dumps(reply.content).encode()
    start(
        f'{reply.status.value} {reply.status.phrase}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


def start_server(application: Application, port: int = 0) -> WSGIServer:
    """Serve an application on a loopback port; 0 takes any free one."""
    server = WSGIServer(
        (LOOPBACK, port),
        application,
        log=None,
        error_log=None,
        handler_class=SocketHandler,
    )
    server.start()
    return server


def write_address(path: Path, text: str) -> None:
    """Write an address file at once, so that no reader sees half of it."""
    draft = path.with_suffix('.draft')
    draft.write_text(text, encoding='utf-8')
    draft.replace(path)


def wait_for_stop(server: WSGIServer) -> None:
    """Serve until SIGTERM arrives."""
    stopped = Event()
    signal_handler(SIGTERM, stopped.set)
    stopped.wait()
    server.stop(timeout=STOP_SECONDS)


def serve(application: Application, options: ServerOptions) -> None:
    """Serve an application, tell its address and wait for SIGTERM."""
    server = start_server(application, options.port)
    write_address(options.address_file, f'{LOOPBACK}:{server.server_port}')
    wait_for_stop(server)
