"""A time limit on connections whose peer takes nothing more.

The kernel closes a connection when bytes that were sent stay unacknowledged, or
when its peer's window stays shut, for so long. A wait on it then ends with an
error.
"""

from typing import Any, Final

from gevent.socket import IPPROTO_TCP

# Linux's number of the option, which gevent's socket module does not export.
_TCP_USER_TIMEOUT: Final = 18


def limit_unread(sock: Any, limit_ms: int) -> None:
    """Let a connection end whose peer takes nothing for `limit_ms`."""
    sock.setsockopt(IPPROTO_TCP, _TCP_USER_TIMEOUT, limit_ms)
