"""Entries that share back ends with rate limits, without a network."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import count, cycle
from types import ModuleType
from typing import Any, Final
from unittest.mock import patch

from testbed.direct_runs import DEMAND, make_context, make_match, make_request
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import plain_dispatch
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import AnswerHead

_SECONDS_PER_EXCHANGE: Final = 0.05
_TIMED_MODULES: Final[tuple[ModuleType, ...]] = ()


class LimitedEntries:
    """Entries, and back ends that count what they get."""

    def __init__(self, entries: int, backends: int) -> None:
        """Start without limits; `seconds` is the time of all."""
        names = [f'backend-{number}' for number in range(1, backends + 1)]
        roles = dict.fromkeys(names, '')
        self.entries = [
            make_context(roles, resends=100, host=f'entry-{number}')
            for number in range(entries)
        ]
        self.entries_in_turn = cycle(self.entries)
        self.rates: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = {name: [] for name in names}
        self.refusals: list[TrestleError] = []
        self.seconds = 1000.0
        self.exchanged_at = 0.0
        self.numbers = count(1)

    def send(self, requests: int, seconds: float) -> None:
        """Send requests evenly over some seconds, to the entries in turn."""
        for _ in range(requests):
            self.seconds += seconds / requests
            if self.seconds > self.exchanged_at + _SECONDS_PER_EXCHANGE:
                self.exchange()
            with self.clock():
                self.send_one(next(self.entries_in_turn))

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
        head = AnswerHead(200, 'r', True, False, False, False, 0, [], rate)
        entry.rate_limits.note_named(backend.instance, rate)
        nothing: Any = None
        return OpenAnswer(nothing, nothing, head, backend)

    def drop_arrivals_before(self, oldest: float) -> None:
        """Forget what the back ends got before a time."""
        for name, times in self.arrivals.items():
            self.arrivals[name] = [at for at in times if at >= oldest]

    def most_arrivals(self, backend: str, seconds: float) -> int:
        """Return the most requests that a back end got in such a window."""
        times = self.arrivals[backend]
        return max(
            sum(1 for at in times if start <= at < start + seconds)
            for start in times
        )

    def exchange(self) -> None:
        """Let the entries tell each other what they know."""
        self.exchanged_at = self.seconds

    def now(self) -> float:
        """Return the time of the group, s."""
        return self.seconds

    @contextmanager
    def clock(self) -> Iterator[None]:
        """Let the time of the group pass for what is done meanwhile."""
        with ExitStack() as stack:
            for module in _TIMED_MODULES:
                stack.enter_context(patch.object(module, 'monotonic', self.now))
            yield


def read_whole(_entry: DirectContext, opened: OpenAnswer) -> CompleteAnswer:
    """Return the whole answer."""
    return CompleteAnswer(opened.head, b'')
