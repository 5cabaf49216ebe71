"""Entries whose requests crash engines, without a network and in own time."""

from itertools import count, cycle
from typing import Final
from unittest.mock import patch

from testbed.direct_runs import make_context, make_match, make_request
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import crash_guard, model_dispatch
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import note_broken
from trestle_entry.direct.wire_types import ModelDemand, PromptPart

_HEX_BASE: Final = 16
_PART_TOKENS: Final = 1000
_SECONDS_BETWEEN_CRASHES: Final = 1.0
_CONFIRM_SECONDS: Final = 0.05


class CrashEntries:
    """Entries and the engines that requests crash in turn."""

    def __init__(self, entries: int, engines: int) -> None:
        """Start with sound engines; `seconds` is the time of all entries."""
        roles = {f'engine-{number}': 'decode' for number in range(engines)}
        self.entries = [
            make_context(roles, host=f'entry-{number}')
            for number in range(entries)
        ]
        self.entries_in_turn = cycle(self.entries)
        self.engines_in_turn = cycle(roles)
        self.last_parts = count(0xABCD0000)
        self.seconds = 100.0

    def make_run(self, entry: DirectContext, parts: str) -> ModelRun:
        """Return a request with these parts and a last part of its own."""
        ids = [int(part, _HEX_BASE) for part in parts.split()]
        ids.append(next(self.last_parts))
        prompt = tuple(PromptPart(part, _PART_TOKENS) for part in ids)
        demand = ModelDemand('m', len(ids) * _PART_TOKENS, 10, prompt)
        body = str(ids[-1]).encode()
        request = make_request(demand, body)
        trace = RequestTrace('r', request.arrived_at)
        return ModelRun(entry, request, make_match(), trace)

    def crash(self, parts: str) -> None:
        """Crash the next engine by a request at the next entry."""
        entry = next(self.entries_in_turn)
        engine = next(self.engines_in_turn)
        run = self.make_run(entry, parts)
        with patch.object(crash_guard, 'monotonic', lambda: self.seconds):
            self.seconds += _SECONDS_BETWEEN_CRASHES
            note_broken(run, engine, BrokenAnswerError('it was cut off'))
            self.seconds += _CONFIRM_SECONDS
            self.make_run(entry, '1').note_not_sent(engine, refused())

    def check_refused(self, entry: DirectContext, parts: str) -> None:
        """Check that a request is refused before anything is sent."""
        run = self.make_run(entry, parts)
        with patch.object(crash_guard, 'monotonic', lambda: self.seconds):
            try:
                model_dispatch.open_stream(run)
            except TrestleError as error:
                assert error.verdict is Verdict.NOT_RUN, error.verdict
                assert 'crashed' in error.message, error.message
        assert not run.sends and not run.failed_connects, run.trace.steps


def refused() -> NotSentError:
    """Return the failure of a connection to an engine that is down."""
    error = NotSentError('refused')
    error.__cause__ = ConnectionRefusedError()
    return error
