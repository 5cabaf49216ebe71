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
_ONCE_SHARE: Final = 0.4
_KEPT_FOR_EACH: Final = 24


class ConnectionPool:
    """Idle connections by back end."""

    def __init__(self, metrics: Metrics) -> None:
        """Start with none."""
        self.metrics = metrics
        self.idle: dict[str, list[BackendConnection]] = {}

    def take(
        self, address: str, instance: str, seconds: float, *, once: bool
    ) -> BackendConnection:
        """Return a usable connection, made within `seconds` if none is kept.

        Raises `NotSentError`.
        """
        waiting = self.idle.get(instance, [])
        while waiting:
            connection = waiting.pop()
            if is_usable(connection, once=once):
                return connection
            connection.close()
        self.metrics.count('backend_connects')
        return BackendConnection.open(
            resolve_address(address), instance, seconds
        )

    def give_back(
        self, connection: BackendConnection, idle_seconds: float
    ) -> None:
        """Keep a connection whose answer was whole."""
        waiting = self.idle.setdefault(connection.instance, [])
        if len(waiting) >= _KEPT_FOR_EACH:
            connection.close()
            return
        connection.idle_since = monotonic()
        connection.idle_seconds = idle_seconds or DEFAULT_IDLE_SECONDS
        waiting.append(connection)

    def keep_only(self, instances: set[str]) -> None:
        """Close what leads to back ends that are no longer used."""
        for instance in set(self.idle) - instances:
            for connection in self.idle.pop(instance):
                connection.close()

    def close_aged(self) -> None:
        """Close what was idle for too long."""
        for waiting in self.idle.values():
            aged = [
                connection
                for connection in waiting
                if not is_usable(connection, once=False)
            ]
            for connection in aged:
                waiting.remove(connection)
                connection.close()


def is_usable(connection: BackendConnection, *, once: bool) -> bool:
    """Tell whether a kept connection may carry one more request."""
    share = _ONCE_SHARE if once else _IDLE_SHARE
    idle_seconds = monotonic() - connection.idle_since
    if idle_seconds > connection.idle_seconds * share:
        return False
    return is_quiet(connection.sock)


def is_quiet(sock: socket) -> bool:
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
