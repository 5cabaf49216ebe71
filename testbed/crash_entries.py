"""Entries whose requests crash engines, without a network and in own time."""

from itertools import count, cycle
from typing import Any, Final
from unittest.mock import patch

from testbed.direct_runs import make_match, make_request, open_at_engines
from testbed.entry_group import EntryGroup
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import (
    model_dispatch,
)
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun
from trestle_entry.direct.request_sends import note_broken
from trestle_entry.direct.wire_types import ModelDemand, PromptPart

_HEX_BASE: Final = 16
_PART_TOKENS: Final = 1000
# Longer than a back end takes to start again.
_SECONDS_BETWEEN_CRASHES: Final = 3.0
_CONFIRM_SECONDS: Final = 0.05


class CrashEntries(EntryGroup):
    """Entries and the engines that requests crash in turn."""

    def __init__(self, entries: int, engines: int) -> None:
        """Start with sound engines."""
        roles = {f'engine-{number}': 'decode' for number in range(engines)}
        super().__init__(entries, roles)
        self.engines_in_turn = cycle(roles)
        self.contents = count(1)

    def make_run(
        self, parts: str, entry: int = 0, content: str = ''
    ) -> ModelRun:
        """Return a request with these parts and one of its own.

        Requests with the same content are repetitions of one.
        """
        content = content or f'content {next(self.contents)}'
        ids = [int(part, _HEX_BASE) for part in parts.split()]
        ids.append(sum(content.encode()) << 64)
        prompt = tuple(PromptPart(part, _PART_TOKENS) for part in ids)
        demand = ModelDemand('m', len(ids) * _PART_TOKENS, 10, prompt)
        request = make_request(demand, content.encode())
        trace = RequestTrace('r', request.arrived_at)
        return ModelRun(self.entries[entry], request, make_match(), trace)

    def make_plain_run(self, content: str) -> RequestRun:
        """Return a request without a prompt."""
        run = self.make_run('1', content=content)
        return RequestRun(run.context, run.request, make_match(), run.trace)

    def crash(self, parts: str, entry: int = 0, content: str = '') -> None:
        """Crash the next engine by a request, some time after the last."""
        self.seconds += _SECONDS_BETWEEN_CRASHES
        engine = next(self.engines_in_turn)
        self.break_off(self.make_run(parts, entry, content), engine)
        self.find_down(engine, entry)

    def break_off(self, run: RequestRun, engine: str) -> None:
        """End a request in the middle of its answer."""
        with self.clock():
            note_broken(run, engine, BrokenAnswerError('it was cut off'))

    def find_down(self, engine: str, entry: int = 0) -> None:
        """Let an entry find that an engine refuses connections."""
        self.seconds += _CONFIRM_SECONDS
        error = NotSentError('refused')
        error.__cause__ = ConnectionRefusedError()
        with self.clock():
            self.make_run('1', entry).note_not_sent(engine, error)

    def serve(self, parts: str, entry: int = 0) -> None:
        """Serve a request to its end."""
        self.seconds += _CONFIRM_SECONDS
        with self.clock():
            self.make_run(parts, entry).note_served('engine-0')

    def is_refused(self, parts: str, entry: int = 0, content: str = '') -> bool:
        """Return whether a request is refused before anything is sent."""
        run = self.make_run(parts, entry, content)
        with self.clock(), patch.object(model_dispatch, 'plan_run', stop_there):
            try:
                open_at_engines(run)
            except TrestleError as error:
                assert error.verdict is Verdict.NOT_RUN, error.verdict
                assert error.code.code == 'crash-suspect', error.code
                return True
            except StopThereError:
                return False
        raise AssertionError('the request was neither refused nor planned')


class StopThereError(Exception):
    """A request was not refused as a suspect."""


def stop_there(*_call: Any, **_options: Any) -> Any:
    """End a request where it would be planned."""
    raise StopThereError
