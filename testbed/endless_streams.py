"""An entry in this process, and back ends in others that never stop sending.

The back ends are processes of their own, so that what they send never waits for
the entry's loop.
"""

import sys
from contextlib import suppress
from time import process_time
from typing import Any, Final

from gevent import sleep, spawn
from gevent.subprocess import PIPE, Popen

from testbed.cut_answers import LOOKUP, STREAM, CutEntry
from trestle_links.direct_messages import Backend

_READ_BYTES: Final = 65_536
_SLOTS: Final = 64
# Far longer than a test reads a stream.
_LIMIT_MS: Final = 60_000
# A call that is refused is not made again at once.
_PAUSE_SECONDS: Final = 0.01
_SENDER: Final = (sys.executable, '-m', 'testbed.endless_sender')


class EndlessStreams:
    """The entry, its back ends, and callers of streams without end."""

    def __init__(self, kind: str) -> None:
        """Start the entry, a sound back end and two that send on and on."""
        self.entry = CutEntry()
        self.entry.limit_calls(_LIMIT_MS)
        self.processes: list[Any] = []
        self.callers: list[Any] = []
        # Of the streams' answers.
        self.received_bytes = 0
        listed = [self._start('desk', '', kind)]
        listed += [self._start('llm', 'decode', kind) for _ in range(2)]
        self.entry.context.fleet.replace_list(listed)

    def open_streams(self, count: int) -> None:
        """Let so many callers read streams, one after another each."""
        self.callers = [spawn(self._read_streams) for _ in range(count)]

    def time_lookups(self, count: int) -> list[float]:
        """Call so many lookups in turn; return how long each took.

        In seconds of this process: what others on the machine take is not the
        entry's to give.
        """
        times = []
        for _ in range(count):
            began_at = process_time()
            answer = self.entry.call(LOOKUP)
            assert answer.status == 200, answer
            times.append(process_time() - began_at)
        return times

    def stop(self) -> None:
        """Stop callers, entry and back ends."""
        for caller in self.callers:
            caller.kill()
        self.entry.stop()
        for process in self.processes:
            process.kill()
            process.wait()

    def _start(self, service: str, role: str, kind: str) -> Backend:
        process: Any = Popen([*_SENDER, kind], stdout=PIPE)
        self.processes.append(process)
        port = int(process.stdout.readline())
        name = f'i-{len(self.processes)}'
        address = f'127.0.0.1:{port}'
        return Backend(name, service, address, 'z1', False, role, _SLOTS, 'v1')

    def _read_streams(self) -> None:
        while True:
            with suppress(OSError):
                self._read_stream()
            sleep(_PAUSE_SECONDS)

    def _read_stream(self) -> None:
        sock = self.entry.send(STREAM)
        try:
            while received := sock.recv(_READ_BYTES):
                self.received_bytes += len(received)
        finally:
            sock.close()
