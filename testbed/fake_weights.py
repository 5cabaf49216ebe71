"""Fake weight store with a limited rate."""

from gevent import monkey

monkey.patch_all()

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from time import monotonic
from typing import Annotated

from cappa import Arg, parse

from testbed.serving import (
    Call,
    Reply,
    ServerOptions,
    accept,
    make_application,
    refuse,
    serve,
)


@dataclass(kw_only=True)
class Options(ServerOptions):
    """Fake weight store."""

    rate: Annotated[int, Arg(long=True, help='Reads per window.')] = 2
    window: Annotated[float, Arg(long=True, help='Seconds.')] = 1
    size: Annotated[int, Arg(long=True, help='Bytes told per version.')] = (
        1000000
    )


class WeightStore:
    """Answers at most a number of reads in each window of seconds."""

    def __init__(self, rate: int, window_seconds: float, size: int) -> None:
        self.window_seconds = window_seconds
        self.size = size
        self.reads: deque[float] = deque(maxlen=rate)

    def read(self, call: Call) -> Reply:
        """Answer for the weights that the path names, or 429."""
        now = monotonic()
        full = len(self.reads) == self.reads.maxlen
        if full and now - self.reads[0] < self.window_seconds:
            return refuse(HTTPStatus.TOO_MANY_REQUESTS, 'rate-limited')
        self.reads.append(now)
        return accept(bytes=self.size)


def main() -> None:
    """Run the weight store until SIGTERM."""
    options = parse(Options)
    store = WeightStore(options.rate, options.window, options.size)
    serve(make_application({'GET /weights/': store.read}), options)


if __name__ == '__main__':
    main()
