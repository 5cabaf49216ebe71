"""The listening side: one handler greenlet for each channel.

A handler gets the first message of a channel. What it returns is the last
message of the channel; a handler that streams sends on the channel itself
and returns None. Errors with a code reach the peer as `ErrorReply`.
"""

from collections.abc import Callable, Mapping
from typing import Any

from gevent import Timeout, spawn
from gevent.server import StreamServer
from gevent.socket import socket

from trestle_core.addresses import Address, resolve_address
from trestle_core.errorcodes import INTERNAL
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.verdict import Verdict
from trestle_links.codec import BadFrameError, Frame, Message
from trestle_links.connection import Channel, Connection, LinkDownError
from trestle_links.handshake import BadHandshakeError, prove_as_listener
from trestle_links.link import Identity
from trestle_links.link_messages import ErrorReply

Handler = Callable[[Any, Channel], Message | None]
Handlers = Mapping[type[Any], Handler]

_log = part_logger('link')


class LinkServer:
    """Accepts connections and runs handlers."""

    def __init__(self, listen: str, me: Identity, handlers: Handlers) -> None:
        """Prepare the listener; `handlers` maps message types."""
        self.me = me
        self.handlers = handlers
        self.connections: set[Connection] = set()
        address = resolve_address(listen)
        self.server = StreamServer((address.ip, address.port), self._serve)

    @property
    def address(self) -> Address:
        """The address that was bound."""
        ip, port = self.server.socket.getsockname()[:2]
        return Address(ip, port)

    def start(self) -> None:
        """Bind and accept."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting and close every connection."""
        self.server.stop()
        for connection in list(self.connections):
            connection.flush(1)
            connection.close()

    def _serve(self, sock: socket, _address: Any) -> None:
        try:
            peer = prove_as_listener(sock, self.me.key, self.me.name)
        except (BadHandshakeError, BadFrameError) as error:
            self.me.metrics.count('link_refusals', 'bad-handshake')
            _log.warning('Connection refused: {}.', error)
            return
        except (OSError, Timeout):
            self.me.metrics.count('link_refusals', 'no-handshake')
            return
        connection = Connection(
            sock, peer, self._take_frame, self._count_bad_frame
        )
        self.connections.add(connection)
        connection.start()
        connection.lost.wait()
        self.connections.discard(connection)

    def _take_frame(self, connection: Connection, frame: Frame) -> None:
        channel = connection.channels.get(frame.channel)
        if channel:
            channel.deliver(frame.body)
            return
        # A frame for a channel that has ended is late, not a new call.
        if frame.channel <= connection.highest_channel:
            return
        if frame.body is None:
            return
        handler = self.handlers.get(type(frame.body))
        if handler is None:
            raise BadFrameError(f'{type(frame.body).__name__} has no handler')
        channel = connection.open_channel(frame.channel)
        spawn(_run_handler, handler, frame.body, channel)

    def _count_bad_frame(self, error: BadFrameError) -> None:
        self.me.metrics.count('link_bad_frames')
        _log.warning('Malformed frame; connection closed: {}.', error)


def _run_handler(handler: Handler, body: Message, channel: Channel) -> None:
    try:
        reply = _reply_of(handler, body, channel)
    except LinkDownError:
        return
    _finish(channel, reply)


def _reply_of(
    handler: Handler, body: Message, channel: Channel
) -> Message | None:
    try:
        return handler(body, channel)
    except LinkDownError as error:
        if channel.connection.lost.is_set():
            raise
        return ErrorReply(error.code.code, error.message, error.verdict)
    except TrestleError as error:
        return ErrorReply(error.code.code, error.message, error.verdict)
    except Exception:
        _log.exception('Handler of {} failed.', type(body).__name__)
        return ErrorReply(INTERNAL.code, INTERNAL.summary, Verdict.MAY_HAVE_RUN)


def _finish(channel: Channel, reply: Message | None) -> None:
    try:
        if reply is not None:
            _send_reply(channel, reply)
        channel.close()
    except LinkDownError:
        return


def _send_reply(channel: Channel, reply: Message) -> None:
    try:
        channel.send(reply)
    except BadFrameError as error:
        _log.error('{} not sent: {}.', type(reply).__name__, error)
        channel.send(
            ErrorReply(INTERNAL.code, error.message, Verdict.MAY_HAVE_RUN)
        )
