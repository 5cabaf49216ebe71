"""Ends a request and closes its connection while the event loop is busy.

A program of its own, as the loop ends the whole process if it is told to wait
for a descriptor that was closed. It prints `alive` at its end.
"""

from sys import stdout
from time import sleep as block
from typing import Any, Final

from gevent import get_hub, sleep
from gevent.socket import socketpair

from trestle_entry.caller_watch import cancel_when_gone

# More than the loop runs before it looks at its descriptors again.
CALLBACKS: Final = 200
BLOCK_SECONDS: Final = 0.0005


def main() -> None:
    """End a request in the round of the loop in which its watch began."""
    ours: Any
    ours, theirs = socketpair()
    loop = get_hub().loop
    with cancel_when_gone(ours):
        # Whatever the watch has started runs once.
        sleep(0)
        for _ in range(CALLBACKS):
            loop.run_callback(block, BLOCK_SECONDS)
    # As the server closes a connection.
    ours._sock.close()  # noqa: SLF001
    sleep(0.05)
    theirs.close()
    stdout.write('alive\n')


if __name__ == '__main__':
    main()
