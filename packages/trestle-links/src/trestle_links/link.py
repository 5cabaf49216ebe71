"""The dialling side: calls and streams to one peer address.

A link connects on demand and again after a loss. Callers learn from
`LinkDownError.sent` whether a byte of their call may have left.
"""

from collections.abc import Callable
from itertools import count
from typing import Final, TypeVar

from gevent import Timeout
from gevent.lock import RLock
from gevent.socket import create_connection

from trestle_core.addresses import Address, resolve_address
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.codec import BadFrameError, Frame, Message
from trestle_links.connection import Channel, Connection, LinkDownError
from trestle_links.handshake import (
    HANDSHAKE_SECONDS,
    BadHandshakeError,
    prove_as_dialler,
)

CONNECT_SECONDS: Final = 2.0

Reply = TypeVar('Reply')
ResolveAddress = Callable[[], Address]

_log = part_logger('link')


class Identity:
    """What a process presents on its links: its name and the shared key."""

    def __init__(
        self,
        name: str,
        key: bytes,
        metrics: Metrics,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        """Keep the process-wide values that every link needs.

        The handshake may take as many times longer than a connect as its
        own limit says.
        """
        self.name = name
        self.key = key
        self.metrics = metrics
        self.connect_seconds = connect_seconds
        scale = connect_seconds / CONNECT_SECONDS
        self.handshake_seconds = HANDSHAKE_SECONDS * scale


class Link:
    """A connection to one peer, made on demand."""

    def __init__(self, resolve: ResolveAddress, me: Identity) -> None:
        """Dial nothing yet."""
        self.resolve = resolve
        self.me = me
        self.connection: Connection | None = None
        self.numbers = count(1)
        self.dialling = RLock()

    @classmethod
    def to_address(cls, address: str, me: Identity) -> 'Link':
        """Make a link to `ip:port` or `@file`, read at each connect."""
        return cls(lambda: resolve_address(address), me)

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection that is not known to be lost."""
        return self.connection is not None and not self.connection.lost.is_set()

    def open(self, body: Message) -> Channel:
        """Open a channel with its first message.

        Raises `LinkDownError` with `sent` false when nothing left.
        """
        connection = self._connected()
        # The listener takes channel numbers in rising order: nothing may
        # switch greenlets between numbering and queueing.
        connection.wait_for_room()
        channel = connection.open_channel(next(self.numbers))
        channel.send(body)
        return channel

    def call(
        self,
        body: Message,
        reply_type: type[Reply],
        timeout_seconds: float,
    ) -> Reply:
        """Send a message and return its one reply.

        Raises `LinkDownError`, `CallTimeoutError`, or the peer's error.
        """
        channel = self.open(body)
        try:
            reply = channel.receive(timeout_seconds)
        finally:
            channel.close()
        if not isinstance(reply, reply_type):
            raise LinkDownError('the peer sent no fitting reply', sent=True)
        return reply

    def close(self) -> None:
        """Drop the connection, if there is one."""
        if self.connection:
            self.connection.close()

    def _connected(self) -> Connection:
        with self.dialling:
            if self.connection is None or not self.is_connected:
                self.connection = self._dial()
            return self.connection

    def _dial(self) -> Connection:
        try:
            return self._dial_once()
        except (OSError, ValueError, Timeout) as error:
            self.me.metrics.count('link_connect_failures', 'unreachable')
            raise LinkDownError(
                f'cannot connect: {error}', sent=False
            ) from error
        except (BadHandshakeError, BadFrameError) as error:
            self.me.metrics.count('link_connect_failures', 'bad-handshake')
            _log.warning('Handshake failed: {}.', error)
            raise LinkDownError('the handshake failed', sent=False) from error

    def _dial_once(self) -> Connection:
        sock = create_connection(
            self.resolve(), timeout=self.me.connect_seconds
        )
        try:
            peer = prove_as_dialler(
                sock, self.me.key, self.me.name, self.me.handshake_seconds
            )
        except BaseException:
            sock.close()
            raise
        sock.settimeout(None)
        connection = Connection(sock, peer, _deliver, self._count_bad_frame)
        connection.start()
        return connection

    def _count_bad_frame(self, error: BadFrameError) -> None:
        self.me.metrics.count('link_bad_frames')
        _log.warning('Malformed frame; connection closed: {}.', error)


def _deliver(connection: Connection, frame: Frame) -> None:
    # Replies to a channel that was closed here are late and are dropped.
    channel = connection.channels.get(frame.channel)
    if channel:
        channel.deliver(frame.body)


class LinkPool:
    """Links by address, so that each pair of processes shares one."""

    def __init__(self, me: Identity) -> None:
        """Start with no links."""
        self.me = me
        self.links: dict[str, Link] = {}

    def link_to(self, address: str) -> Link:
        """Return the link to an address, made on first use."""
        link = self.links.get(address)
        if link is None:
            link = Link.to_address(address, self.me)
            self.links[address] = link
        return link

    def forget(self, address: str) -> None:
        """Close and drop the link to an address."""
        link = self.links.pop(address, None)
        if link:
            link.close()

    def close(self) -> None:
        """Close every link."""
        for address in list(self.links):
            self.forget(address)
