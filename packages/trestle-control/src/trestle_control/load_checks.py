"""Checks of what entries tell a leader: figures that no entry can have.

All raise `TrestleError`, which ends the stream of that entry alone.
"""

from typing import Final

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_links.load_messages import (
    MAX_LOAD_FIGURE,
    BackendLoad,
    CallCounts,
)
from trestle_links.stream_messages import BegunStreams

# Longest time for which an entry may say that a stream can be taken up.
_MAX_STREAM_SECONDS: Final = 3600


def checked_streams(begun: BegunStreams) -> BegunStreams:
    """Return streams whose time to be taken up is possible."""
    if not 0 <= begun.seconds <= _MAX_STREAM_SECONDS:
        raise TrestleError(BAD_FRAME, 'a stream ends at no possible time')
    return begun


def check_calls(calls: list[CallCounts]) -> None:
    """Check counts of calls."""
    for counts in calls:
        if not all(0 <= count <= MAX_LOAD_FIGURE for count in counts[1:]):
            raise TrestleError(BAD_FRAME, 'a count is not possible')


def check_loads(loads: list[BackendLoad]) -> None:
    """Check the loads of back ends."""
    if not all(load.is_valid for load in loads):
        raise TrestleError(BAD_FRAME, 'a load is not a possible figure')
