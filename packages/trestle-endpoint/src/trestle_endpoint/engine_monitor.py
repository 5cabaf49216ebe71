"""Monitors the state and load of one engine and detects its crashes.

Load reports lag: a report with a sequence number below the last one, or from
an earlier incarnation, is ignored and counted. The state page does not lag
and is the only source of the current incarnation.

An engine has crashed when it refuses a connection or shows a new incarnation
while contents ran on it. Each crash is reported once, with the contents that
ran when it was first detected: content that began later ran on the next
incarnation. A state page that does not respond in time is not a crash;
requests that were interrupted count as running until the engine responds or
refuses a connection.
"""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from gevent.lock import RLock

from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_endpoint.engine_interface import (
    EngineAdapter,
    EngineLoad,
    EngineState,
)
from trestle_links.http_exchange import ConnectFailedError

_log = part_logger('engine')


class RunningContent(NamedTuple):
    """A request on the engine; `began_at` is a time of `monotonic`."""

    request_id: str
    content: str
    began_at: float


class EngineCrash(NamedTuple):
    """The requests that ran on an engine when it crashed."""

    crash_id: str
    running: list[RunningContent]


CrashHook = Callable[[EngineCrash], None]


class EngineMonitor:
    """The load, state and running contents of one engine."""

    def __init__(
        self,
        host: str,
        engine: EngineAdapter,
        on_crash: CrashHook,
        metrics: Metrics,
    ) -> None:
        """Start without any state of the engine."""
        self.host = host
        self.engine = engine
        self.on_crash = on_crash
        self.metrics = metrics
        self.load: EngineLoad | None = None
        self.state: EngineState | None = None
        self.is_up = False
        self.running: dict[str, RunningContent] = {}
        # Requests that were interrupted or cancelled before the next state
        # page could show whether the engine had crashed.
        self.uncertain: set[str] = set()
        # Incarnations whose end was detected. Requests that began later are
        # not attributed to that crash.
        self.ended_incarnations: set[str] = set()
        self.check_lock = RLock()

    def begin_request(
        self, engine_request_id: str, request_id: str, content: str
    ) -> None:
        """Record that a request is about to be sent to the engine."""
        self.running[engine_request_id] = RunningContent(
            request_id, content, monotonic()
        )

    def end_request(self, engine_request_id: str) -> None:
        """Record that a request no longer runs on the engine."""
        self.running.pop(engine_request_id, None)

    def mark_uncertain(self, engine_request_id: str) -> None:
        """Record that a request was interrupted or cancelled.

        If the next state page shows a crash, the crash includes its content.
        """
        if engine_request_id in self.running:
            self.uncertain.add(engine_request_id)

    def poll(self) -> None:
        """Read the state and the load of the engine once."""
        self.check()
        if not self.is_up:
            return
        try:
            self._update_load(self.engine.read_load())
        except OSError as error:
            self.metrics.count('engine_load_failures', type(error).__name__)

    def check(self, failed_at: float | None = None) -> None:
        """Read the state page and report a crash that it shows.

        `failed_at` is the time at which a stream broke, if one did.
        """
        with self.check_lock:
            detected_at = monotonic() if failed_at is None else failed_at
            # Requests that become uncertain from now on may be later than
            # the state page, which then says nothing about them.
            answered = frozenset(self.uncertain)
            try:
                state = self.engine.read_state()
            except ConnectFailedError as error:
                self._mark_down(str(error), detected_at)
                self._clear_uncertain(answered)
            except OSError as error:
                self.metrics.count('engine_state_failures', 'no-answer')
                if self.is_up:
                    _log.warning('The engine state cannot be read: {}.', error)
                self.is_up = False
            else:
                self._update_state(state, detected_at)
                self._clear_uncertain(answered)

    def _clear_uncertain(self, answered: frozenset[str]) -> None:
        """Remove requests that were interrupted before the last check."""
        self.uncertain -= answered
        for engine_request_id in answered:
            self.end_request(engine_request_id)

    def _update_state(self, state: EngineState, detected_at: float) -> None:
        previous = self.state
        if previous and previous.incarnation != state.incarnation:
            self.load = None
            self._report_crash(previous.incarnation, detected_at)
        self.ended_incarnations.discard(state.incarnation)
        self.state = state
        self.is_up = True

    def _mark_down(self, reason: str, detected_at: float) -> None:
        if self.is_up:
            _log.error('The engine refused a connection: {}.', reason)
        self.is_up = False
        self.metrics.count('engine_state_failures', 'refused')
        if self.state:
            self._report_crash(self.state.incarnation, detected_at)

    def _report_crash(self, incarnation: str, detected_at: float) -> None:
        if incarnation in self.ended_incarnations:
            return
        self.ended_incarnations.add(incarnation)
        lost = {
            engine_request_id: running
            for engine_request_id, running in self.running.items()
            if running.began_at <= detected_at
        }
        for engine_request_id in lost:
            self.running.pop(engine_request_id)
        if not lost:
            return
        self.metrics.count('engine_crashes')
        _log.error('The engine crashed with {} running requests.', len(lost))
        crash_id = f'{self.host}/{incarnation}'
        self.on_crash(EngineCrash(crash_id, list(lost.values())))

    def _update_load(self, load: EngineLoad) -> None:
        if self.state is None or load.incarnation != self.state.incarnation:
            self.metrics.count('engine_loads_ignored', 'other-incarnation')
            return
        if self.load and load.sequence < self.load.sequence:
            self.metrics.count('engine_loads_ignored', 'sequence-went-back')
            return
        self.load = load
