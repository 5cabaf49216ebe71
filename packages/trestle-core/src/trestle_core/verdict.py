"""The verdict on a request: whether it may have had an effect.

Every answer and every failure carries one. `NOT_RUN` is a promise and is
given only where it is proved; in doubt the verdict is `MAY_HAVE_RUN`.
"""

from enum import Enum


class Verdict(str, Enum):
    """Whether a request ran on an endpoint."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
