"""State of one model request while it is dispatched."""

from time import monotonic
from typing import Final, NamedTuple

from trestle_entry.direct.crash_guard import part_trait
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.stream_run import StreamRun
from trestle_entry.direct.wire_types import CallerRequest, ModelDemand
from trestle_links.direct_messages import Backend

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


class ModelRun(StreamRun):
    """The demand of a request, and what was done with its prompt."""

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
        self.prefills = 0
        self.transfer: KvTransfer | None = None

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

    def note_first_event(self, backend: Backend) -> None:
        """Record who began the stream, and how long the KV transfer took."""
        super().note_first_event(backend)
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
