"""State of one request while it is dispatched, and the failures it implies.

The verdict depends on the runs: a back end that received the request and did
not decline it may have run it. Refusals are created by `make_failure`, so that
none reports `not-run` after a run.
"""

from time import monotonic
from typing import Final

from trestle_core.errorcodes import (
    ANSWER_INCOMPLETE,
    NO_ENDPOINT,
    ErrorCode,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.arrivals import Arrivals
from trestle_entry.direct.backend_exchange import NotSentError, WithheldError
from trestle_entry.direct.crash_guard import content_trait
from trestle_entry.direct.crash_probe import probe_after_break
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.replies import (
    DEFAULT_RETRY_AFTER_SECONDS,
    RefusedError,
)
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import CallerRequest
from trestle_links.direct_messages import Backend

# Sends of one request, including those that back ends declined.
MAX_SENDS: Final = 4
# Back ends that one request may fail to connect to. No byte reaches them, so
# these are not sends.
_MAX_FAILED_CONNECTS: Final = 8
_MS_PER_SECOND: Final = 1000


class RequestRun:
    """Sends and runs of one request, and the back ends that it avoids."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        route_match: RouteMatch,
        trace: RequestTrace,
    ) -> None:
        """Start with no send."""
        self.context = context
        self.request = request
        self.route = route_match.route
        self.service = route_match.service
        self.trace = trace
        self.sends = 0
        self.arrivals = Arrivals()
        self.failed_connects = 0
        self.runs = 0
        self.avoided: set[str] = set()
        # The back end at which a place is held for this request, or empty.
        self.held_at = ''
        # Whether the request is counted as one that began to run.
        self.is_counted = False

    @property
    def verdict(self) -> Verdict:
        """The verdict if the request failed now."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN

    @property
    def priority(self) -> int:
        """The urgency; that of the customer goes before the route's."""
        customer = self.request.customer
        if customer is None or customer.priority is None:
            return self.route.priority
        return customer.priority

    @property
    def room_part(self) -> float:
        """The part of the room that the request's customer may fill."""
        return self.context.loads.shares.room_of(self.request.customer)

    @property
    def remaining_ms(self) -> float:
        """The time until the deadline, ms; negative after it."""
        return (self.request.deadline - monotonic()) * _MS_PER_SECOND

    @property
    def may_run_again(self) -> bool:
        """Whether one more run is allowed after an interrupted one."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts

    @property
    def may_try_another(self) -> bool:
        """Whether the request may go to another back end after a failure.

        If not, the caller gets the failed answer.
        """
        return (
            self.may_run_again
            and self.sends < MAX_SENDS
            and self.context.allows_resend(self.service.name)
        )

    @property
    def part_traits(self) -> list[str]:
        """What the request shares with others, the least specific first."""
        return []

    def content_trait(self) -> str:
        """Return what the request shares with its repetitions."""
        request = self.request
        return content_trait(
            self.service.name, request.method, request.target, request.body
        )

    def traits(self) -> list[str]:
        """Return all under which crashes of back ends are counted."""
        return [*self.part_traits, self.content_trait()]

    def unusable(self) -> frozenset[str]:
        """Return the back ends that the request must not be sent to now."""
        full = self.context.loads.rate_limits.full() - {self.held_at}
        return frozenset(self.avoided | full)

    def candidates(
        self, excluded: frozenset[str], software: str | None = None
    ) -> list[Backend]:
        """Return the back ends that may get the request."""
        fleet = self.context.fleet
        refusing = fleet.refusing(self.service.name)
        if refusing:
            self.trace.fields['refusing'] = refusing
            self.context.metrics.count('plans_beside_refusing')
        return fleet.usable(self.service.name, excluded, software)

    def usable(self) -> list[Backend]:
        """Return the back ends that this request has not tried in vain."""
        return self.candidates(self.unusable())

    def untried_again(self) -> list[Backend]:
        """Return the back ends that may be tried once more."""
        full = self.context.loads.rate_limits.full()
        return self.candidates(frozenset(full))

    def hold_place(self, instance: str) -> None:
        """Count the request at a back end with a rate limit in advance.

        A place that it holds elsewhere is given back; an empty name holds none.
        """
        if instance == self.held_at:
            return
        rate_limits = self.context.loads.rate_limits
        if self.held_at:
            rate_limits.give_back(self.held_at)
        if instance:
            rate_limits.take(instance)
        self.held_at = instance

    def note_begun(self, unix_ms: int) -> None:
        """Count the request of a customer that began to run, once."""
        customer = self.request.customer
        if customer is None or self.is_counted:
            return
        self.is_counted = True
        self.context.metrics.count('customer_requests', customer.name)
        self.context.loads.usage.note_begun(customer.name, unix_ms)

    def note_interrupted(self, instance: str, reason: str) -> None:
        """Record that a back end broke off its answer to this request."""
        context = self.context
        context.fleet.note_failed(instance, reason)
        context.crash_guard.note_interrupted(
            instance, self.content_trait(), self.part_traits
        )
        probe_after_break(context, instance)

    def note_served(self, instance: str) -> None:
        """Record a complete answer."""
        context = self.context
        context.fleet.note_served(instance)
        context.crash_guard.note_served(self.part_traits, self.content_trait)

    def note_not_sent(self, instance: str, error: NotSentError) -> None:
        """Record a back end that could not be reached, or wants no requests.

        Raises `TrestleError` when too many could not.
        """
        if isinstance(error, WithheldError):
            self.trace.add('withheld', f'{instance}: {error}')
            self.avoided.add(instance)
            return
        self.trace.add('unreachable', f'{instance}: {error}')
        self.avoided.add(instance)
        self.context.note_unreachable(
            instance, str(error), is_refused=error.is_refused
        )
        self.context.crash_guard.note_down(instance)
        self.failed_connects += 1
        if self.failed_connects > _MAX_FAILED_CONNECTS:
            raise make_failure(
                self, NO_ENDPOINT, 'too many back ends cannot be reached'
            )


def make_failure(
    run: RequestRun,
    code: ErrorCode,
    text: str,
    retry_after: float = DEFAULT_RETRY_AFTER_SECONDS,
) -> TrestleError:
    """Return a refusal if nothing ran, else a failure of unknown outcome."""
    if run.runs:
        return TrestleError(ANSWER_INCOMPLETE, text, Verdict.MAY_HAVE_RUN)
    return RefusedError(code, text, retry_after)
