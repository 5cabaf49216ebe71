"""State of one model request while it is dispatched."""

from time import monotonic
from typing import Final, NamedTuple

from trestle_entry.direct.crash_guard import request_digest
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.event_stream import EventSplitter
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.wire_types import CallerRequest, ModelDemand

_DEFAULT_DEMAND: Final = ModelDemand('', 1, 1, ())
_MS_PER_SECOND: Final = 1000


class KvTransfer(NamedTuple):
    """Memory that an engine was asked to take over; times in ms.

    `wait_ms` is what the engine had to read before.
    """

    instance: str
    expected_ms: float
    wait_ms: float
    sent_at: float


class ModelRun(RequestRun):
    """What a request needs, and the place in its stream."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        route_match: RouteMatch,
        trace: RequestTrace,
    ) -> None:
        """Start with no send."""
        super().__init__(context, request, route_match, trace)
        self.demand = request.demand or _DEFAULT_DEMAND
        self.prefills = 0
        self.events = EventSplitter()
        self.events.last_id = request.resume_from
        # Instance whose load this request counts in, while one runs it.
        self.counted_at = ''
        self.transfer: KvTransfer | None = None

    @property
    def digest(self) -> str:
        """The digest under which crashes of this request are counted."""
        request = self.request
        return request_digest(request.method, request.target, request.body)

    @property
    def is_blocked(self) -> bool:
        """Tell whether this request has ended too many engines."""
        crash_guard = self.context.crash_guard
        # Bodies are long: nothing is hashed while no engine has ended.
        return bool(crash_guard.crashes) and crash_guard.is_blocked(self.digest)

    def count_at(self, instance: str) -> None:
        """Count the request in a back end's load, or in none."""
        running = self.context.loads.running
        if self.counted_at:
            running[self.counted_at] -= 1
            if not running[self.counted_at]:
                running.pop(self.counted_at)
        self.counted_at = instance
        if instance:
            running[instance] += 1

    def note_first_event(self) -> None:
        """Learn how fast an engine took over the memory of the prompt."""
        transfer = self.transfer
        if transfer is None:
            return
        self.transfer = None
        took_ms = (monotonic() - transfer.sent_at) * _MS_PER_SECOND
        self.context.loads.note_transfer_time(
            transfer.instance, transfer.expected_ms, took_ms - transfer.wait_ms
        )

    def note_interrupted(self, instance: str, reason: str) -> None:
        """Note it for the count of requests that end engines too."""
        super().note_interrupted(instance, reason)
        notice = self.context.crash_guard.record(self.digest, instance)
        self.context.loads.crash_notices.append(notice)
