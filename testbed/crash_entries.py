"""Entries whose requests crash engines, without a network and in own time."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import count, cycle
from types import ModuleType
from typing import Any, Final
from unittest.mock import Mock, patch

from testbed.direct_runs import make_context, make_match, make_request
from testbed.load_streams import EntryStream
from trestle_control import load_table
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import (
    crash_guard,
    entry_reports,
    load_stream,
    model_dispatch,
    request_run,
)
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.request_run import RequestRun, note_broken
from trestle_entry.direct.wire_types import ModelDemand, PromptPart

_HEX_BASE: Final = 16
_PART_TOKENS: Final = 1000
# Longer than a back end takes to start again.
_SECONDS_BETWEEN_CRASHES: Final = 3.0
_CONFIRM_SECONDS: Final = 0.05
_TIMED_MODULES: Final[tuple[ModuleType, ...]] = (
    crash_guard,
    entry_reports,
    load_table,
)


class CrashEntries:
    """Entries, the engines that requests crash in turn, and their leader."""

    def __init__(self, entries: int, engines: int) -> None:
        """Start with sound engines; `seconds` is the time of all."""
        self.roles = {f'engine-{number}': 'decode' for number in range(engines)}
        self.entries = [self.make_entry(number) for number in range(entries)]
        self.engines_in_turn = cycle(self.roles)
        self.contents = count(1)
        self.seconds = 1000.0
        self.streams: list[EntryStream] = []
        self.lead_anew()

    def make_entry(self, number: int) -> DirectContext:
        """Return an entry that has just started."""
        return make_context(self.roles, host=f'entry-{number}')

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
                model_dispatch.open_stream(run)
            except TrestleError as error:
                assert error.verdict is Verdict.NOT_RUN, error.verdict
                assert error.code.code == 'crash-suspect', error.code
                return True
            except StopThereError:
                return False
        raise AssertionError('the request was neither refused nor planned')

    def lead_anew(self) -> None:
        """Let a host lead that has just started."""
        replica: Any = Mock(is_leader=True, term=1)
        self.table = load_table.LoadTable(replica)
        self.open_streams()

    def restart_entry(self, entry: int) -> None:
        """Restart an entry, which forgets everything."""
        self.entries[entry] = self.make_entry(entry)
        self.open_streams()

    def open_streams(self) -> None:
        """Open the streams of all entries to the leader."""
        with self.clock():
            self.streams = [
                EntryStream(self.table, entry.loads) for entry in self.entries
            ]
            for entry, stream in zip(self.entries, self.streams, strict=True):
                entry.crash_guard.report_all()
                for delta in stream.first:
                    entry.crash_guard.take(delta.crashes, delta.served)

    def exchange(self) -> None:
        """Let all entries report, and tell all of them."""
        with self.clock():
            for _ in range(2):
                for stream in self.streams:
                    stream.report()
                self.table.push()
                self.apply_pushes()

    def apply_pushes(self) -> None:
        """Let every entry take what the leader has pushed."""
        for entry, stream in zip(self.entries, self.streams, strict=True):
            for push in stream.channel.pushes:
                load_stream.apply_push(entry, push, is_first=False)
            stream.channel.pushes = []

    def now(self) -> float:
        """Return the time of the group, s."""
        return self.seconds

    @contextmanager
    def clock(self) -> Iterator[None]:
        """Let the time of the group pass for what is done meanwhile."""
        with ExitStack() as stack:
            for module in _TIMED_MODULES:
                stack.enter_context(patch.object(module, 'monotonic', self.now))
            stack.enter_context(
                patch.object(request_run, 'probe_after_break', Mock())
            )
            yield


class StopThereError(Exception):
    """A request was not refused as a suspect."""


def stop_there(*_call: Any, **_options: Any) -> Any:
    """End a request where it would be planned."""
    raise StopThereError
