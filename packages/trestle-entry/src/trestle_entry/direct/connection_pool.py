"""Connections to back ends that are kept between requests.

A connection is used again only while its back end surely still keeps it, and
only if nothing arrived on it meanwhile: a late or doubled answer, or a close
that crosses the next request, belongs to nobody.
"""

from time import monotonic
from typing import Final

from gevent.socket import MSG_PEEK, socket

from trestle_core.addresses import resolve_address
from trestle_core.metrics import Metrics
from trestle_entry.direct.backend_exchange import BackendConnection

# Kept idle at most this long when the back end does not say how long.
DEFAULT_IDLE_SECONDS: Final = 2.0
# A close may be on its way already near the end of the announced time.
_IDLE_SHARE: Final = 0.6
# Share for requests that may run only once, where a crossing close is dear.
_AT_MOST_ONCE_IDLE_SHARE: Final = 0.4
_MAX_IDLE_PER_BACKEND: Final = 24


class ConnectionPool:
    """Idle connections by back end."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with none."""
        self.metrics = metrics
        self.idle_connections: dict[str, list[BackendConnection]] = {}

    def acquire(
        self, address: str, instance: str, seconds: float, *, at_most_once: bool
    ) -> BackendConnection:
        """Return a usable connection, made within `seconds` if none is kept.

        Raises `NotSentError`.
        """
        idle = self.idle_connections.get(instance, [])
        while idle:
            connection = idle.pop()
            if is_usable(connection, at_most_once=at_most_once):
                return connection
            connection.close()
        self.metrics.count('backend_connects')
        return BackendConnection.open(
            resolve_address(address), instance, seconds
        )

    def release(
        self, connection: BackendConnection, idle_seconds: float
    ) -> None:
        """Keep a connection whose answer was whole."""
        idle = self.idle_connections.setdefault(connection.instance, [])
        if len(idle) >= _MAX_IDLE_PER_BACKEND:
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_seconds = idle_seconds or DEFAULT_IDLE_SECONDS
        idle.append(connection)

    def keep_only(self, instances: set[str]) -> None:
        """Close what leads to back ends that are no longer used."""
        for instance in set(self.idle_connections) - instances:
            for connection in self.idle_connections.pop(instance):
                connection.close()

    def close_expired(self) -> None:
        """Close what was idle for too long."""
        for idle in self.idle_connections.values():
            expired = [
                connection
                for connection in idle
                if not is_usable(connection, at_most_once=False)
            ]
            for connection in expired:
                idle.remove(connection)
                connection.close()


def is_usable(connection: BackendConnection, *, at_most_once: bool) -> bool:
    """Tell whether a kept connection may carry one more request."""
    share = _AT_MOST_ONCE_IDLE_SHARE if at_most_once else _IDLE_SHARE
    idle_seconds = monotonic() - connection.idle_since
    if idle_seconds > connection.idle_seconds * share:
        return False
    return is_socket_idle(connection.sock)


def is_socket_idle(sock: socket) -> bool:
    """Tell whether neither bytes nor an end wait on a connection."""
    # gevent waits in spite of MSG_DONTWAIT unless the time limit is 0.
    sock.settimeout(0)
    try:
        sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        # A reset: the back end has closed it.
        return False
    finally:
        sock.settimeout(None)
    # Either its end or bytes that belong to no request.
    return False
