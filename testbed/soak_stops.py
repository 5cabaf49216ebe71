"""Entries that are stopped as planned, by turns and together, from one seed.

Callers use their connections until the entry ends them, some with bodies that
come slowly, while entries get SIGTERM and start again, SIGHUP comes and
documents change time limits. There is no other trouble, so every request that
a back end has run must get its whole answer, nothing runs twice that may run
once only, and every entry is gone by itself within its grace. The exit status
is 1 if something was violated.
"""

from gevent import monkey

monkey.patch_all()

from collections import Counter
from itertools import count
from pathlib import Path
from random import Random
from signal import SIGHUP, SIGTERM
from sys import exit as sys_exit
from time import monotonic
from typing import Final, NamedTuple

from cappa import parse
from gevent import Greenlet, joinall, killall, sleep, spawn

from testbed.kept_channels import Heard, KeptChannel
from testbed.platform_fleet import PlatformFleet, document
from testbed.processes import Processes, poll_until
from testbed.soak_runs import SoakOptions, SoakReport, run_seeds

CORES: Final = tuple(f'core-{number}' for number in range(1, 6))
ENTRIES: Final = ('front-1', 'front-2', 'front-3')
CALLERS: Final = 24
GRACE_SECONDS: Final = 8.0
LIMIT_SECONDS: Final = 30.0
READY_SECONDS: Final = 0.3
_START_POLL_SECONDS: Final = 0.02
# Longest work of a back end, of a slow body and time limit of a route.
_WORK_MS: Final = 2400
_BODY_SECONDS: Final = 2.0
_SLOW_BODIES: Final = 0.15
_TIMEOUTS_MS: Final = (3000, 4000, 5000)
# The platform's bound for a document to be in force.
_APPLY_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000
_HEX_BASE: Final = 16
_STREAMED: Final = 200
_TIMED_OUT: Final = 504
_PROMISES: Final = frozenset((408, 421, 429, 503))
_PATHS: Final = ('/book/work-', '/look/work-', '/check/plain', '/grade/slow')


class Asked(NamedTuple):
    """A request, its entry, and what came some seconds after its body.

    `limit_ms` is the shortest time limit that may have held for it.
    """

    request_id: str
    entry: str
    path: str
    heard: Heard
    seconds: float
    limit_ms: int


class StopSoak:
    """One run on a fleet of its own."""

    def __init__(self, processes: Processes, seed: int) -> None:
        """Start the fleet."""
        self.random = Random(seed)
        self.processes = processes
        self.fleet = PlatformFleet(processes)
        self.report = SoakReport()
        self.numbers = count(1)
        self.version = 3
        self.ready: list[str] = []
        self.starting: set[str] = set()
        self.requests: list[Asked] = []
        # When each time limit was sent, the oldest first.
        self.limits_sent: list[tuple[float, int]] = []
        self.fleet.add_usual_replicas()
        for name in (*CORES, *ENTRIES):
            self.fleet.start(name, bootstrap=True)

    def run(self, seconds: float) -> SoakReport:
        """Run callers and stops for a time, then judge."""
        poll_until(self._publish, LIMIT_SECONDS, 'a document')
        poll_until(
            lambda: all(map(self.fleet.is_ready, ENTRIES)),
            LIMIT_SECONDS,
            'ready entries',
        )
        until = monotonic() + seconds
        watcher = spawn(self._watch_ready)
        callers = [spawn(self._call_until, until) for _ in range(CALLERS)]
        self._play(until)
        joinall(callers, timeout=LIMIT_SECONDS, raise_error=True)
        killall([watcher])
        self._judge()
        self.fleet.stop()
        return self.report

    def _publish(self) -> bool:
        timeout_ms = self.random.choice(_TIMEOUTS_MS)
        self.limits_sent.append((monotonic(), timeout_ms))
        routes = [
            {**route, 'timeoutMs': timeout_ms}
            for route in document(self.version)['routes']
        ]
        wanted = document(self.version, routes=routes)
        try:
            status = self.fleet.publish(CORES[0], wanted).status
        except OSError:
            return False
        return status == 200

    def _watch_ready(self) -> None:
        while True:
            self.ready = [name for name in ENTRIES if self.fleet.is_ready(name)]
            sleep(READY_SECONDS)

    def _play(self, until: float) -> None:
        """Stop, start, reload and publish until the time is over."""
        stopping: dict[str, Greenlet[..., None]] = {}
        while monotonic() < until:
            sleep(self.random.uniform(0.2, 1.5))
            stopping = {
                name: task
                for name, task in stopping.items()
                if not task.ready()
            }
            running = [name for name in ENTRIES if name not in stopping]
            event = self.random.choice(('stop', 'stop', 'hang-up', 'document'))
            if event == 'stop' and len(running) > 1:
                name = self.random.choice(running)
                stopping[name] = spawn(self._stop_and_start, name)
            elif event == 'hang-up':
                # One that is stopped may get it, too, but none in its first
                # moments: no program can hear a signal before it runs.
                name = self.random.choice(
                    [one for one in ENTRIES if one not in self.starting]
                )
                self.processes.started[name].popen.send_signal(SIGHUP)
            elif event == 'document':
                self.version += 1
                self._publish()
            else:
                continue
            self.report.events[event] += 1
        joinall(list(stopping.values()), timeout=LIMIT_SECONDS)

    def _stop_and_start(self, name: str) -> None:
        process = self.processes.started[name]
        began = monotonic()
        process.popen.send_signal(SIGTERM)
        while process.running() and monotonic() < began + GRACE_SECONDS:
            sleep(0.05)
        if process.running():
            process.kill()
            self.report.violations.append(f'{name} had to be killed')
        elif process.wait():
            self.report.violations.append(f'{name} ended with {process.wait()}')
        self.starting.add(name)
        self.fleet.start(name, bootstrap=False)
        until = monotonic() + LIMIT_SECONDS
        while not self.fleet.is_ready(name):
            if name in self.starting and self._bears_hang_up(name):
                self.starting.remove(name)
            if monotonic() > until:
                self.report.violations.append(
                    f'{name} is not ready again after {LIMIT_SECONDS:.0f} s, '
                    f'status {self.processes.started[name].popen.poll()}: '
                    f'{process_log(self.processes, name)}'
                )
                return
            sleep(_START_POLL_SECONDS)
        self.starting.discard(name)

    def _bears_hang_up(self, name: str) -> bool:
        """Return whether a hang-up no longer ends a process by default."""
        pid = self.processes.started[name].popen.pid
        status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
        masks = [
            int(line.split()[1], _HEX_BASE)
            for line in status.splitlines()
            if line.startswith(('SigIgn:', 'SigCgt:'))
        ]
        return any(mask >> (SIGHUP - 1) & 1 for mask in masks)

    def _call_until(self, until: float) -> None:
        while monotonic() < until:
            if not self.ready:
                sleep(READY_SECONDS)
                continue
            name = self.random.choice(self.ready)
            try:
                channel = KeptChannel(
                    (self.fleet.ip(name), self.fleet.port + 7)
                )
            except OSError:
                self.report.outcomes['no connection'] += 1
                sleep(READY_SECONDS)
                continue
            while channel.is_open and monotonic() < until:
                self._call(name, channel)
                sleep(self.random.choice((0, 0, 0.05, 0.5)))
            channel.close()

    def _call(self, name: str, channel: KeptChannel) -> None:
        path = self.random.choice(_PATHS)
        if path.endswith('-'):
            path += str(self.random.choice((0, 20, 200, _WORK_MS)))
        request_id = f's{next(self.numbers)}'
        headers = {
            'Kingcuptrestle-Request-Id': request_id,
            'Kingcuptrestle-Deadline-Ms': '5000',
        }
        if not path.startswith(('/book/', '/look/')):
            headers['Kingcuptrestle-Model'] = 'm'
            headers['Kingcuptrestle-Token-Counts'] = '400,6'
        is_slow = self.random.random() < _SLOW_BODIES
        pause = self.random.uniform(0, _BODY_SECONDS) if is_slow else 0.0
        began = monotonic()
        heard = channel.call(path, headers, pause)
        seconds = monotonic() - began - pause
        limit_ms = self._shortest_limit(began)
        self.requests.append(
            Asked(request_id, name, path, heard, seconds, limit_ms)
        )
        whole = 'whole' if heard.is_whole else 'cut'
        self.report.outcomes[f'{heard.status} {whole}'] += 1

    def _shortest_limit(self, began: float) -> int:
        """Return the shortest limit in force since a request began, ms."""
        settled = [
            limit
            for limit in self.limits_sent
            if limit[0] < began - _APPLY_SECONDS
        ]
        held = [*settled[-1:], *self.limits_sent[len(settled) :]]
        return min(limit_ms for _, limit_ms in held)

    def _judge(self) -> None:
        runs = Counter(
            received.named('Request-Id')
            for replica in self.fleet.replicas
            for received in replica.ran
        )
        for asked in self.requests:
            fault = _fault_of(asked, runs[asked.request_id])
            if fault:
                self.report.violations.append(
                    f'{fault}; ran {runs[asked.request_id]} times: {asked}'
                )


def process_log(processes: Processes, name: str) -> str:
    """Return the last lines of the log of a process."""
    return processes.started[name].log_tail()


def _fault_of(asked: Asked, runs: int) -> str:
    """Return what is wrong with an answer, or nothing.

    One whose time limit was reached may get 504, or a stream that is cut.
    """
    heard = asked.heard
    is_over_time = asked.seconds * _MS_PER_SECOND >= asked.limit_ms
    is_cut_stream = heard.status == _STREAMED and not heard.is_whole
    if asked.path.startswith('/book/') and runs > 1:
        return 'it may run once only'
    if is_over_time and (is_cut_stream or heard.status == _TIMED_OUT):
        return ''
    if not heard.is_whole:
        return 'cut without an answer' if runs or heard.status else ''
    if heard.status == 200:
        return '' if runs else 'it never ran'
    if heard.status not in _PROMISES:
        return 'a failure without any trouble'
    return 'it was promised not to have run' if runs else ''


def run_soak(processes: Processes, seed: int, seconds: float) -> SoakReport:
    """Run the soak of a seed."""
    return StopSoak(processes, seed).run(seconds)


def main() -> None:
    """Run the seeds; exit with 1 if one was violated."""
    sys_exit(not run_seeds(parse(SoakOptions), run_soak))


if __name__ == '__main__':
    main()
