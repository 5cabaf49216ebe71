"""Connections to back ends that are kept between requests.

A connection is reused only while its back end is certain to keep it open, and
only if nothing has arrived on it: a late or duplicate answer, or a close that
crosses the next request, must not be taken for an answer to that request.
"""

from time import monotonic
from typing import Final

from gevent.socket import MSG_PEEK, socket

from trestle_core.addresses import resolve_address
from trestle_core.metrics import Metrics
from trestle_entry.direct.backend_exchange import (
    BackendConnection,
    NotSentError,
)

# Longest idle time if the back end does not announce one.
DEFAULT_IDLE_SECONDS: Final = 2.0
# Share of the announced idle time after which a connection is not reused: the
# back end may already have closed it near the end of that time.
_IDLE_SHARE: Final = 0.6
# Share for requests that may run only once and are lost if a close crosses.
_AT_MOST_ONCE_IDLE_SHARE: Final = 0.4
_MAX_IDLE_PER_BACKEND: Final = 24


class ConnectionPool:
    """Idle connections, by instance."""

    def __init__(self, metrics: Metrics) -> None:
        """Start empty."""
        self.metrics = metrics
        self.idle_connections: dict[str, list[BackendConnection]] = {}

    def acquire(
        self,
        address: str,
        instance: str,
        timeout_seconds: float,
        *,
        at_most_once: bool,
        request_id: str = '',
    ) -> BackendConnection:
        """Return a kept connection, or connect within `timeout_seconds`.

        A connection on which the request was answered before is not used for
        it again: the earlier answer may come once more, with the same id.
        Raises `NotSentError`.
        """
        idle = self.idle_connections.get(instance, [])
        while idle:
            connection = idle.pop()
            is_new = not request_id or request_id not in connection.answered_ids
            if is_new and is_usable(connection, at_most_once=at_most_once):
                return connection
            connection.close()
        self.metrics.count('backend_connects')
        return connect(address, instance, timeout_seconds)

    def release(
        self, connection: BackendConnection, idle_seconds: float
    ) -> None:
        """Keep a connection whose answer was complete."""
        idle = self.idle_connections.setdefault(connection.instance, [])
        if len(idle) >= _MAX_IDLE_PER_BACKEND:
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_seconds = idle_seconds or DEFAULT_IDLE_SECONDS
        idle.append(connection)

    def keep_only(self, instances: set[str]) -> None:
        """Close the connections to all other instances."""
        for instance in set(self.idle_connections) - instances:
            for connection in self.idle_connections.pop(instance):
                connection.close()

    def close_expired(self) -> None:
        """Close connections that can no longer be reused."""
        for idle in self.idle_connections.values():
            expired = [
                connection
                for connection in idle
                if not is_usable(connection, at_most_once=False)
            ]
            for connection in expired:
                idle.remove(connection)
                connection.close()


def connect(
    address: str, instance: str, timeout_seconds: float
) -> BackendConnection:
    """Connect to a listed address; raises `NotSentError`."""
    try:
        target = resolve_address(address)
    except (OSError, ValueError) as error:
        # A list that an earlier version stored may have such a one.
        raise NotSentError(str(error)) from error
    return BackendConnection.open(target, instance, timeout_seconds)


def is_usable(connection: BackendConnection, *, at_most_once: bool) -> bool:
    """Return whether a kept connection may carry one more request."""
    share = _AT_MOST_ONCE_IDLE_SHARE if at_most_once else _IDLE_SHARE
    idle_seconds = monotonic() - connection.idle_since
    if idle_seconds > connection.idle_seconds * share:
        return False
    return is_socket_idle(connection.sock)


def is_socket_idle(sock: socket) -> bool:
    """Return whether neither bytes nor a close have arrived."""
    # gevent blocks in spite of MSG_DONTWAIT unless the timeout is 0.
    sock.settimeout(0)
    try:
        sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        # The back end has reset the connection.
        return False
    finally:
        sock.settimeout(None)
    # Either a close or bytes that belong to no request.
    return False
