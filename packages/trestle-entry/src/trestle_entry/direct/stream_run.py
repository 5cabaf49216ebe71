"""State of one request for a stream: its position, and who began it."""

from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.event_stream import EventSplitter
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.wire_types import CallerRequest
from trestle_links.direct_messages import Backend
from trestle_links.stream_messages import StreamOrigin


class StreamRun(RequestRun):
    """The position in a stream, and the software version that writes it."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        route_match: RouteMatch,
        trace: RequestTrace,
    ) -> None:
        """Start with no send."""
        super().__init__(context, request, route_match, trace)
        if request.resume_from or request.resumed_request:
            trace.fields['resumes'] = request.resumed_request
            trace.fields['resume_from'] = request.resume_from
        self.events = EventSplitter()
        self.events.last_id = request.resume_from
        # Whether it was decided that the request can be served in time.
        self.is_admitted = False
        # The instance in whose load this request is counted, empty for none.
        self.counted_at = ''
        # The software version that began the stream, empty if that is not
        # certain, None before an event was received here or by the caller.
        self.software = route_match.software

    @property
    def kv_tokens(self) -> int:
        """The most tokens that the request takes in an engine's KV cache."""
        return 0

    def usable(self) -> list[Backend]:
        """Return the back ends that this request has not tried in vain.

        A stream that has begun goes on only at the software version that began
        it, as far as the list is current enough to tell.
        """
        if self.software is not None and not self.context.knows_software:
            return []
        return self.candidates(self.unusable(), self.software)

    def untried_again(self) -> list[Backend]:
        """Return the back ends that may be tried once more.

        None for a stream that has begun: one that broke it off may have started
        again with other software.
        """
        if self.software is not None:
            return []
        return super().untried_again()

    def count_at(self, instance: str) -> None:
        """Move the request to the load of a back end, or to none."""
        own = self.context.loads.own
        if self.counted_at:
            own.add_running(self.counted_at, -1, -self.kv_tokens)
        self.counted_at = instance
        if instance:
            own.add_running(instance, 1, self.kv_tokens)

    def note_first_event(self, backend: Backend) -> None:
        """Record which software version began the stream."""
        self.note_begun(self.context.loads.usage.clock.unix_ms())
        if self.software is None:
            self.software = self._software_of(backend)
            self._note_origin()

    def _software_of(self, backend: Backend) -> str:
        """Return what a back end runs, nothing if that is not certain."""
        fleet = self.context.fleet
        listed = fleet.backends.get(backend.instance, backend)
        is_same = listed.software == backend.software
        return (
            backend.software if is_same and self.context.knows_software else ''
        )

    def _note_origin(self) -> None:
        if self.software and self.route.resumable:
            self.context.loads.streams.note(
                self.request.request_id,
                StreamOrigin(self.service.name, self.software),
                self.request.waits_until,
            )
