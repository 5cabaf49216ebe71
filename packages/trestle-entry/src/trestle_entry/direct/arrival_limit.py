"""A time limit on a wait for bytes of a caller.

A process may stand still, and the limit pass meanwhile. What has arrived by then is
read first: its sender kept the limit.
"""

from typing import Any, Final

from gevent import Timeout, get_hub, getcurrent

from trestle_entry.caller_watch import has_arrived

# Far more than it takes to read what has arrived.
_READ_SECONDS: Final = 0.25


class ArrivalLimit:
    """Raises `passed` in the greenlet that made it, until it is closed."""

    def __init__(self, sock: Any, seconds: float) -> None:
        """Begin to count."""
        self.sock = sock
        self.passed = Timeout(None)
        self.reader = getcurrent()
        self._start(seconds, self._check)

    def close(self) -> None:
        """Raise nothing from now on."""
        self.timer.stop()
        self.timer.close()

    def _start(self, seconds: float, callback: Any) -> None:
        self.timer = get_hub().loop.timer(seconds)
        self.timer.start(callback, update=True)

    def _check(self) -> None:
        """Let bytes that are there be read, once."""
        if not has_arrived(self.sock):
            self._end()
            return
        self.close()
        self._start(_READ_SECONDS, self._end)

    def _end(self) -> None:
        self.reader.throw(self.passed)
