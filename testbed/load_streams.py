"""Streams of loads between entries and a leader's table, without a network."""

from types import SimpleNamespace
from typing import Any, Final

from gevent import Greenlet, sleep, spawn
from gevent.queue import SimpleQueue

from trestle_control.load_table import LoadTable
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_links.load_messages import FollowLoads, LoadDelta, LoadPush

_SWITCHES: Final = 3


class StandInChannel:
    """The leader's end of a stream."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.connection = SimpleNamespace(waiting_bytes=0)
        self.to_leader: SimpleQueue[Any] = SimpleQueue()
        self.pushes: list[LoadPush] = []
        self.is_closed = False

    def send(self, push: LoadPush) -> None:
        """Keep a push for the entry."""
        self.pushes.append(push)

    def receive(self, _timeout_seconds: float) -> Any:
        """Return the entry's next message, None at its end.

        An error in its place is raised.
        """
        body = self.to_leader.get()
        if isinstance(body, Exception):
            raise body
        return body

    def close(self) -> None:
        """End the stream."""
        self.is_closed = True


class EntryStream:
    """An entry whose stream to a table is open."""

    def __init__(self, table: LoadTable, loads: EngineLoads) -> None:
        """Open the stream and apply what the leader pushes first."""
        self.table = table
        self.loads = loads
        self.channel = StandInChannel()
        self.number = 0
        self.is_first = True
        opening = loads.open_stream()
        self.handler: Greenlet[..., Any] = spawn(
            table.follow,
            FollowLoads(loads.host, opening, loads.usage.incarnation),
            self.channel,
        )
        run_others()
        self.first = self.take_pushes()

    def report(self) -> None:
        """Send what has changed at the entry."""
        self.number += 1
        self.channel.to_leader.put(self.loads.take_change(self.number))
        run_others()

    def take_pushes(self) -> list[LoadDelta]:
        """Apply what was pushed since the last call."""
        pushes = self.channel.pushes
        self.channel.pushes = []
        deltas = []
        for push in pushes:
            deltas.append(self.loads.apply_push(push, is_first=self.is_first))
            self.is_first = False
        return deltas

    def exchange(self) -> list[LoadDelta]:
        """Report, and apply the leader's next push."""
        self.report()
        self.table.push()
        return self.take_pushes()

    def end(self) -> None:
        """End the stream as an entry that stops does."""
        self.channel.to_leader.put(None)
        run_others()


def run_others() -> None:
    """Let the handlers of the leader run."""
    for _ in range(_SWITCHES):
        sleep(0)
