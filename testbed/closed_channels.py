"""Closes callers' channels while the event loop is behind.

A program of its own, since the loop ends a process that has it wait for a
closed channel.
"""

from time import sleep as block
from typing import Any, Final

from gevent import get_hub, sleep, spawn
from gevent.socket import socketpair

from trestle_entry.caller_watch import cancel_when_gone

_CHANNELS: Final = 20
# More than the loop handles before it looks for events again.
_CALLBACKS: Final = 200
_BEHIND_SECONDS: Final = 0.006


def main() -> None:
    """Let requests end whose channels are closed next."""
    for _ in range(_CHANNELS):
        spawn(_serve).join()


def _serve() -> None:
    channel, caller = socketpair()
    with cancel_when_gone(channel):
        sleep(0)
        _fall_behind()
    # As gevent's server closes it: at once.
    closed: Any = channel
    closed._sock.close()  # noqa: SLF001
    sleep(0)
    caller.close()


def _fall_behind() -> None:
    block(_BEHIND_SECONDS)
    for _ in range(_CALLBACKS):
        get_hub().loop.run_callback(_do_nothing)


def _do_nothing() -> None:
    """Stand for the work of other requests."""


if __name__ == '__main__':
    main()
