"""The engine as it was seen last, and the detection of its crashes.

Load reports lag: one whose sequence goes back, or that comes from an earlier
incarnation, is ignored and counted. The state page does not lag; it alone
tells the present incarnation.

An engine crashed when it refuses the connection or shows a new incarnation
while contents ran on it. Each crash is reported once, with the contents that
ran at its first sign: content that began later ran on the next incarnation.
A state page that does not answer in time is no crash; requests that broke
off count as running until the engine gives one.
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
from trestle_endpoint.http_exchange import ConnectFailedError

_log = part_logger('engine')


class RunningContent(NamedTuple):
    """A request on the engine; `began` is on this process's clock."""

    request_id: str
    content: str
    began_at: float


class EngineCrash(NamedTuple):
    """What ran when an engine stopped."""

    crash_id: str
    running: list[RunningContent]


CrashHook = Callable[[EngineCrash], None]


class EngineMonitor:
    """Load, state and running contents of one engine."""

    def __init__(
        self,
        host: str,
        engine: EngineAdapter,
        on_crash: CrashHook,
        metrics: Metrics,
    ) -> None:
        """Know nothing of the engine yet."""
        self.host = host
        self.engine = engine
        self.on_crash = on_crash
        self.metrics = metrics
        self.load: EngineLoad | None = None
        self.state: EngineState | None = None
        self.is_up = False
        self.running: dict[str, RunningContent] = {}
        # Requests that ended before it was known whether the engine crashed.
        self.uncertain: set[str] = set()
        # Incarnations whose end was seen; what began later is not its loss.
        self.ended_incarnations: set[str] = set()
        self.check_lock = RLock()

    def begin_request(
        self, engine_id: str, request_id: str, content: str
    ) -> None:
        """Note that a request is about to reach the engine."""
        self.running[engine_id] = RunningContent(
            request_id, content, monotonic()
        )

    def end_request(self, engine_id: str) -> None:
        """Note that a request has left the engine."""
        self.running.pop(engine_id, None)

    def mark_uncertain(self, engine_id: str) -> None:
        """Note that a request broke off or was cancelled.

        A crash that the engine's next answer shows still names its content.
        """
        if engine_id in self.running:
            self.uncertain.add(engine_id)

    def poll(self) -> None:
        """Read state and load once."""
        self.check()
        if not self.is_up:
            return
        try:
            self._update_load(self.engine.read_load())
        except OSError as error:
            self.metrics.count('engine_load_failures', type(error).__name__)

    def check(self, failed_at: float | None = None) -> None:
        """Read the state page and report a crash that it shows.

        `failed_at` is the time at which a stream broke.
        """
        with self.check_lock:
            detected_at = monotonic() if failed_at is None else failed_at
            # What becomes unsure from now on may be later than the answer.
            answered = frozenset(self.uncertain)
            try:
                state = self.engine.read_state()
            except ConnectFailedError as error:
                self._mark_down(str(error), detected_at)
                self._clear_uncertain(answered)
            except OSError as error:
                self.metrics.count('engine_state_failures', 'no-answer')
                if self.is_up:
                    _log.warning('The engine shows no state: {}.', error)
                self.is_up = False
            else:
                self._update_state(state, detected_at)
                self._clear_uncertain(answered)

    def _clear_uncertain(self, answered: frozenset[str]) -> None:
        """Forget requests that the answer of the engine has decided on."""
        self.uncertain -= answered
        for engine_id in answered:
            self.end_request(engine_id)

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
            _log.error('The engine refuses connections: {}.', reason)
        self.is_up = False
        self.metrics.count('engine_state_failures', 'refused')
        if self.state:
            self._report_crash(self.state.incarnation, detected_at)

    def _report_crash(self, incarnation: str, detected_at: float) -> None:
        if incarnation in self.ended_incarnations:
            return
        self.ended_incarnations.add(incarnation)
        lost = {
            engine_id: running
            for engine_id, running in self.running.items()
            if running.began_at <= detected_at
        }
        for engine_id in lost:
            self.running.pop(engine_id)
        if not lost:
            return
        self.metrics.count('engine_crashes')
        _log.error('The engine crashed while {} requests ran.', len(lost))
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
