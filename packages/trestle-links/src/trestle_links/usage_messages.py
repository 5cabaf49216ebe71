"""Requests by customer that began to run; codes 154 and 155.

Time is cut into windows of one length, counted from the start of 1970 in true
time (`agreed_clock`). An entry tells how many requests of a customer it saw
begin in a window since its start: a later figure replaces an earlier one. The
leader commits the sum for a window once, and tells the platform what is
committed.
"""

from typing import NamedTuple

from trestle_links.codec import message


class CustomerUsage(NamedTuple):
    """Requests of a customer that began in a window so far, or were refused."""

    window: int
    customer: str
    requests: int
    refused: int = 0


class CustomerShare(NamedTuple):
    """A customer that asks for more than its fair share.

    `ratio` is what it gets, as a multiple of the share.
    """

    customer: str
    ratio: float


@message(154)
class RecordUsage(NamedTuple):
    """Fix the requests of each customer in a window.

    A window that is recorded, or is before one that is, stays as it is.
    """

    window: int
    counts: dict[str, int]


@message(155)
class ConfirmUsage(NamedTuple):
    """Note that the platform has accepted the record of a window."""

    window: int
