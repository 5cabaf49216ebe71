"""State of one model request while it is dispatched."""

from time import monotonic
from typing import Final

from trestle_core.verdict import Verdict
from trestle_entry.direct.crash_guard import request_digest
from trestle_entry.direct.direct_context import DirectContext, Matched
from trestle_entry.direct.event_stream import EventCutter
from trestle_entry.direct.request_log import RequestStory
from trestle_entry.direct.wire_types import CallerRequest, ModelNeed

_NO_NEED: Final = ModelNeed('', 1, 1, ())
_MS_PER_SECOND: Final = 1000


class ModelRun:
    """Sends, runs and the place in the stream of one request."""

    def __init__(
        self,
        context: DirectContext,
        request: CallerRequest,
        matched: Matched,
        story: RequestStory,
    ) -> None:
        """Start with no send."""
        self.context = context
        self.request = request
        self.route = matched.route
        self.service = matched.service
        self.story = story
        self.need = request.need or _NO_NEED
        self.reads = 0
        self.sends = 0
        self.runs = 0
        self.avoided: set[str] = set()
        self.events = EventCutter()
        self.events.last_id = request.resume_from
        self.delivered = False
        # Instance whose load this request counts in, while one runs it.
        self.counted_at = ''

    @property
    def verdict(self) -> Verdict:
        """Whether any send may have run."""
        return Verdict.MAY_HAVE_RUN if self.runs else Verdict.NOT_RUN

    @property
    def left_ms(self) -> float:
        """Time until the deadline, ms."""
        return (self.request.deadline - monotonic()) * _MS_PER_SECOND

    @property
    def waited_ms(self) -> float:
        """Time since the request arrived, ms."""
        return (monotonic() - self.request.arrived) * _MS_PER_SECOND

    @property
    def may_run_again(self) -> bool:
        """Tell whether one more run is allowed after one that broke off."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts

    @property
    def digest(self) -> str:
        """The digest under which crashes of this request are counted."""
        request = self.request
        return request_digest(request.method, request.target, request.body)

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

    def note_end(self, instance: str, reason: str) -> None:
        """Note that a back end broke off under this request."""
        self.context.fleet.note_failed(instance, reason)
        notice = self.context.guard.note(self.digest, instance)
        self.context.loads.suspects.append(notice)
