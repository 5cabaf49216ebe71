"""State of one model request while it is dispatched."""

from time import monotonic
from typing import Final, NamedTuple

from trestle_entry.direct.crash_guard import part_trait
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.event_stream import EventSplitter
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.wire_types import CallerRequest, ModelDemand
from trestle_links.direct_messages import Backend
from trestle_links.stream_messages import StreamOrigin

_DEFAULT_DEMAND: Final = ModelDemand('', 1, 1, ())
_MS_PER_SECOND: Final = 1000


class KvTransfer(NamedTuple):
    """A KV transfer that an engine was requested to make; times in ms.

    `link_ms` is the time for which it keeps the link busy, `wait_ms` the
    prefill work that was ahead of it; `sent_at` is monotonic seconds.
    """

    instance: str
    link_ms: float
    wait_ms: float
    sent_at: float


class ModelRun(RequestRun):
    """The demand of a request, and the position in its stream."""

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
        trace.fields['parts'] = [list(part) for part in self.demand.parts]
        if request.resume_from or request.resumed_request:
            trace.fields['resumes'] = request.resumed_request
            trace.fields['resume_from'] = request.resume_from
        self.prefills = 0
        self.events = EventSplitter()
        self.events.last_id = request.resume_from
        # The instance in whose load this request is counted, empty for none.
        self.counted_at = ''
        self.transfer: KvTransfer | None = None
        # The software version that began the stream, empty if that is not
        # certain, None before an event was received here or by the caller.
        self.software = route_match.software

    @property
    def part_traits(self) -> list[str]:
        """The parts of the prompt; the last one belongs to this request."""
        return [
            part_trait(self.service.name, part.part_id)
            for part in self.demand.parts[:-1]
        ]

    @property
    def kv_tokens(self) -> int:
        """The most tokens that the request takes in an engine's KV cache."""
        return self.demand.prompt_tokens + self.demand.max_tokens

    def count_at(self, instance: str) -> None:
        """Move the request to the load of a back end, or to none."""
        own = self.context.loads.own
        if self.counted_at:
            own.add_running(self.counted_at, -1, -self.kv_tokens)
        self.counted_at = instance
        if instance:
            own.add_running(instance, 1, self.kv_tokens)

    def note_first_event(self, engine: Backend) -> None:
        """Record which software version began the stream.

        And how long the KV transfer of the prompt took.
        """
        self.note_begun(self.context.loads.usage.clock.unix_ms())
        if self.software is None:
            self.software = self._software_of(engine)
            self._note_origin()
        transfer = self.transfer
        if transfer is None:
            return
        self.transfer = None
        took_ms = (monotonic() - transfer.sent_at) * _MS_PER_SECOND
        self.context.loads.speeds.note_transfer(
            self.service.name,
            transfer.instance,
            transfer.link_ms,
            took_ms - transfer.wait_ms,
        )

    def _software_of(self, engine: Backend) -> str:
        """Return what an engine runs, nothing if that is not certain."""
        fleet = self.context.fleet
        listed = fleet.backends.get(engine.instance, engine)
        is_same = listed.software == engine.software
        return (
            engine.software if is_same and self.context.knows_software else ''
        )

    def _note_origin(self) -> None:
        if self.software and self.route.resumable:
            self.context.loads.streams.note(
                self.request.request_id,
                StreamOrigin(self.service.name, self.software),
                self.request.waits_until,
            )
