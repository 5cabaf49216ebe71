"""Whether this process may take new work, and why not.

New work needs all of: no drain, an admission of this very incarnation that
the control view shows as serving, a fresh view, and a target that answers.
Work that was admitted before is never touched by a change here.
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
    """What the control view tells, asked for at each decision."""

    is_fresh: Callable[[], bool]
    freshness_seconds: Callable[[], float]
    own_endpoint: Callable[[], EndpointInfo | None]


class AdmissionState:
    """The reasons against new work."""

    def __init__(self, incarnation: str, queries: ControlQueries) -> None:
        """Start neither admitted nor with a target that answers."""
        self.incarnation = incarnation
        self.queries = queries
        self.admitted = Event()
        self.draining = False
        self.is_target_up = False
        # True from the moment an order waits until it is reported.
        self.is_blocked_by_order = False

    def check(self) -> None:
        """Raise `TrestleError` with the first reason against new work."""
        if self.draining:
            raise TrestleError(DRAINING, DRAINING_TEXT)
        if not self.queries.is_fresh():
            age = self.queries.freshness_seconds()
            raise TrestleError(STALE_NODE, STALE_TEXT.format(age=age))
        if not self.admitted.is_set():
            raise TrestleError(STALE_NODE, 'The endpoint is not admitted yet.')
        self._check_own_endpoint()
        if self.is_blocked_by_order:
            raise TrestleError(NO_ENDPOINT, 'The engine is being changed.')
        if not self.is_target_up:
            raise TrestleError(NO_ENDPOINT, 'The target does not answer.')

    def refusal_code(self) -> ErrorCode | None:
        """Return the code of the first reason, None when there is none."""
        try:
            self.check()
        except TrestleError as error:
            return error.code
        return None

    def is_superseded(self) -> bool:
        """Tell whether the view shows another incarnation of this host."""
        endpoint = self.queries.own_endpoint()
        return endpoint is not None and endpoint.incarnation != self.incarnation

    def _check_own_endpoint(self) -> None:
        endpoint = self.queries.own_endpoint()
        if endpoint is None or endpoint.incarnation != self.incarnation:
            raise TrestleError(
                STALE_NODE, 'The state does not show this incarnation.'
            )
        if not endpoint.serving:
            raise TrestleError(WITHDRAWN, WITHDRAWN_TEXT)
