"""Ends the waits of requests: at their time limits, and at a planned stop.

A process is gone at the end of its grace, and a request that is cut then gets no
answer. So what still runs shortly before is ended like at a time limit, which
leaves the time to answer.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

from gevent import Timeout, get_hub, getcurrent

_AT_ONCE_SECONDS: Final = 0.001


class StopLimits:
    """The limited blocks of all requests, and whether they have been ended."""

    def __init__(self) -> None:
        """Start without a stop."""
        self.is_over = False
        self.waiting: dict[Timeout, Any] = {}

    @contextmanager
    def bounded(self, seconds: float | None) -> Iterator[Timeout]:
        """Limit a block in time; the end of the stop ends it as well.

        Yields the `Timeout` that is raised in either case. Without `seconds`
        only the stop ends it.
        """
        if self.is_over:
            seconds = _AT_ONCE_SECONDS
        limit = Timeout(seconds)
        self.waiting[limit] = getcurrent()
        try:
            with limit:
                yield limit
        finally:
            self.waiting.pop(limit)

    def end_requests(self) -> None:
        """End all blocks that are limited, now and from now on."""
        self.is_over = True
        loop = get_hub().loop
        for limit in list(self.waiting):
            loop.run_callback(self._end, limit)

    def _end(self, limit: Timeout) -> None:
        """End one block, as a callback of the loop."""
        waiting = self.waiting.get(limit)
        if waiting is not None:
            waiting.throw(limit)
