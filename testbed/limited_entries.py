"""Entries that share back ends with rate limits, without a network."""

from itertools import count
from typing import Any, Final
from unittest.mock import patch

from testbed.direct_runs import DEMAND, make_match, make_request
from testbed.entry_group import EntryGroup
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import plain_dispatch
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import AnswerHead

_SECONDS_PER_EXCHANGE: Final = 0.05


class LimitedEntries(EntryGroup):
    """Entries, and back ends that name limits and count what they get."""

    def __init__(self, entries: int, backends: int) -> None:
        """Start without limits."""
        names = [f'backend-{number}' for number in range(1, backends + 1)]
        super().__init__(entries, dict.fromkeys(names, ''))
        self.rates: dict[str, float] = {}
        # Those that turn requests away at once and name no time.
        self.declining: set[str] = set()
        self.arrivals: dict[str, list[float]] = {name: [] for name in names}
        self.refusals: list[TrestleError] = []
        self.exchanged_at = 0.0
        self.numbers = count(1)

    def send(self, requests: int, seconds: float) -> None:
        """Send requests evenly over some seconds, to the entries in turn."""
        for number in range(requests):
            self.seconds += seconds / requests
            if self.seconds > self.exchanged_at + _SECONDS_PER_EXCHANGE:
                self.exchange()
                self.exchanged_at = self.seconds
            with self.clock():
                self.send_one(self.entries[number % len(self.entries)])

    def send_one(self, entry: DirectContext) -> None:
        """Send a request to an entry; keep the refusal if it is refused."""
        request = make_request(DEMAND, str(next(self.numbers)).encode())
        trace = RequestTrace('r', request.arrived_at)
        with (
            patch.object(plain_dispatch, 'open_answer', self.answer),
            patch.object(plain_dispatch, 'read_answer', read_whole),
        ):
            try:
                plain_dispatch.serve_plain(entry, request, make_match(), trace)
            except TrestleError as error:
                assert error.verdict is Verdict.NOT_RUN, error
                self.refusals.append(error)

    def answer(self, *call: Any, **_options: Any) -> OpenAnswer:
        """Answer as a back end does that names its limit."""
        entry, backend = call[0], call[2]
        self.arrivals[backend.instance].append(self.seconds)
        rate = self.rates.get(backend.instance, float('inf'))
        declines = backend.instance in self.declining
        status = 503 if declines else 200
        head = AnswerHead(
            status, 'r', not declines, declines, False, False, 0, [], rate
        )
        entry.loads.rate_limits.note_named(backend.instance, rate, self.seconds)
        nothing: Any = None
        return OpenAnswer(nothing, nothing, head, backend)

    def most_arrivals(self, number: int, window: float, last: float) -> int:
        """Return the most requests to a back end in a window of some seconds.

        Only the `last` seconds count.
        """
        times = [
            at
            for at in self.arrivals[f'backend-{number}']
            if at >= self.seconds - last
        ]
        windows = [
            sum(1 for at in times if start <= at < start + window)
            for start in times
        ]
        return max(windows, default=0)


def read_whole(_entry: DirectContext, opened: OpenAnswer) -> CompleteAnswer:
    """Return the whole answer."""
    return CompleteAnswer(opened.head, b'')
