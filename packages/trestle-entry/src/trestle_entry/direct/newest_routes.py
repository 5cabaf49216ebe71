"""Lets a request wait until the routes are confirmed to be as new as it is.

What an entry does not know, a path or a key, may be newer than its routes. So
it is denied only when the routes are confirmed to have been the newest ones
after the request arrived. The confirmations come anyway, one for all that wait,
so made-up paths and keys cost no message; how many wait is bounded.
"""

from time import monotonic
from typing import Final

from trestle_core.errorcodes import STALE_NODE
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.wire_types import CallerRequest

# What routes may not know.
PATH: Final = 'path'
KEY: Final = 'key'
# Twice the time between two confirmations of an entry in step.
_CONFIRM_SECONDS: Final = 1.0
_MAX_WAITING: Final = 256
_RETRY_SECONDS: Final = 0.5


class UnconfirmedError(Exception):
    """The routes do not know `what`, and may not be the newest ones."""

    def __init__(self, what: str) -> None:
        """Name what is not known: a path or a key."""
        super().__init__(what)
        self.what = what


def check_confirmed(
    context: DirectContext, request: CallerRequest, what: str
) -> None:
    """Raise `UnconfirmedError` if newer routes may know what these do not."""
    if not _is_confirmed_since(context, request.arrived_at):
        raise UnconfirmedError(what)


def wait_for_newest_routes(
    context: DirectContext, request: CallerRequest, what: str
) -> None:
    """Wait until the routes are as new as a request.

    Raises `RefusedError` if that takes too long.
    """
    until = min(monotonic() + _CONFIRM_SECONDS, request.deadline)
    if context.waiting_for_routes >= _MAX_WAITING:
        raise _unconfirmed(context, what, 'too many wait')
    context.waiting_for_routes += 1
    try:
        while not _is_confirmed_since(context, request.arrived_at):
            if monotonic() >= until:
                raise _unconfirmed(context, what, 'no confirmation in time')
            context.routes_confirmed.wait(until - monotonic())
    finally:
        context.waiting_for_routes -= 1


def _is_confirmed_since(context: DirectContext, since: float) -> bool:
    return monotonic() - context.list_age_seconds() >= since


def _unconfirmed(
    context: DirectContext, what: str, reason: str
) -> RefusedError:
    if what == PATH:
        context.metrics.count('denied_paths', 'unconfirmed')
    else:
        context.metrics.count('denied_keys', 'unconfirmed')
    return RefusedError(
        STALE_NODE,
        f'the {what} may be newer than the routes of this entry: {reason}',
        _RETRY_SECONDS,
    )
