"""Decides whether this process may accept new work.

New work is accepted only while the process is not draining, its cached view
of the control state is fresh and shows this incarnation as admitted and
serving, no engine order blocks it, and the target responds. A change here
never affects work that was accepted earlier.
"""

from collections.abc import Callable
from typing import NamedTuple

from gevent.event import Event

from trestle_core.errorcodes import (
    DRAINING,
    NO_ENDPOINT,
    STALE_NODE,
    WITHDRAWN,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.texts import DRAINING as DRAINING_TEXT
from trestle_core.texts import STALE_NODE as STALE_TEXT
from trestle_core.texts import WITHDRAWN as WITHDRAWN_TEXT
from trestle_links.watch_messages import EndpointInfo


class ControlQueries(NamedTuple):
    """Queries on the cached control state, evaluated at each decision."""

    is_fresh: Callable[[], bool]
    freshness_seconds: Callable[[], float]
    own_endpoint: Callable[[], EndpointInfo | None]


class AdmissionState:
    """The conditions that decide whether new work is accepted."""

    def __init__(self, incarnation: str, queries: ControlQueries) -> None:
        """Start without an admission and with the target down."""
        self.incarnation = incarnation
        self.queries = queries
        self.admitted = Event()
        self.draining = False
        self.is_target_up = False
        # True from the arrival of an order that interrupts the engine until
        # its end is reported and the engine is idle again.
        self.is_blocked_by_order = False

    def check(self) -> None:
        """Raise `TrestleError` with the first reason to refuse new work."""
        if self.draining:
            raise TrestleError(DRAINING, DRAINING_TEXT)
        if not self.queries.is_fresh():
            age = self.queries.freshness_seconds()
            raise TrestleError(STALE_NODE, STALE_TEXT.format(age=age))
        if not self.admitted.is_set():
            raise TrestleError(STALE_NODE, 'The endpoint is not admitted yet.')
        self._check_own_endpoint()
        if self.is_blocked_by_order:
            raise TrestleError(NO_ENDPOINT, 'An engine order is in progress.')
        if not self.is_target_up:
            raise TrestleError(NO_ENDPOINT, 'The target does not respond.')

    def refusal_code(self) -> ErrorCode | None:
        """Return the code with which new work is refused, or None."""
        try:
            self.check()
        except TrestleError as error:
            return error.code
        return None

    def _check_own_endpoint(self) -> None:
        endpoint = self.queries.own_endpoint()
        if endpoint is None or endpoint.incarnation != self.incarnation:
            raise TrestleError(
                STALE_NODE,
                'The control state does not show this incarnation.',
            )
        if not endpoint.serving:
            raise TrestleError(WITHDRAWN, WITHDRAWN_TEXT)
