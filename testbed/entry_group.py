"""Direct entries and their leader, without a network and in a time of theirs."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import ModuleType
from typing import Any, Final
from unittest.mock import Mock, patch

from testbed.direct_runs import make_context
from testbed.load_streams import EntryStream
from trestle_control import load_table
from trestle_entry.direct import (
    crash_guard,
    decline_rates,
    entry_reports,
    fleet_view,
    load_stream,
    rate_limits,
    request_run,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_links import leaving_backends, resting_backends

_START_SECONDS: Final = 1000.0
_TIMED_MODULES: Final[tuple[ModuleType, ...]] = (
    crash_guard,
    decline_rates,
    entry_reports,
    fleet_view,
    leaving_backends,
    load_table,
    rate_limits,
    resting_backends,
)


class EntryGroup:
    """Entries that know the same back ends, and the leader of their loads."""

    def __init__(self, entries: int, roles: dict[str, str]) -> None:
        """Start with nothing known; `seconds` is the time of all."""
        self.seconds = _START_SECONDS
        self.roles = roles
        self.entries = [self.make_entry(number) for number in range(entries)]
        self.streams: list[EntryStream] = []
        self.has_leader = True
        self.lead_anew()

    def make_entry(self, number: int) -> DirectContext:
        """Return an entry that has just started."""
        return make_context(self.roles, resends=100, host=f'entry-{number}')

    def restart_entry(self, number: int) -> None:
        """Restart an entry, which forgets everything."""
        self.entries[number] = self.make_entry(number)
        self.open_streams()

    def lead_anew(self) -> None:
        """Let a host lead that has just started."""
        replica: Any = Mock(is_leader=True, term=1)
        self.table = load_table.LoadTable(replica)
        self.open_streams()

    def open_streams(self) -> None:
        """Open the streams of all entries to the leader."""
        with self.clock():
            self.streams = [
                EntryStream(self.table, entry.loads) for entry in self.entries
            ]
            for entry, stream in zip(self.entries, self.streams, strict=True):
                entry.crash_guard.report_all()
                entry.report_leaving()
                for delta in stream.first:
                    entry.note_told_leaving(delta.leaving)
                    entry.crash_guard.take(delta.crashes, delta.served)

    def exchange(self) -> None:
        """Let all entries report, and tell all of them."""
        if not self.has_leader:
            return
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
