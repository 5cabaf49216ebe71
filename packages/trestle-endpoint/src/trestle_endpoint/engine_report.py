"""Reports each new engine incarnation to the control state.

An engine that restarted may have lost what orders gave it. The report is
made after the admission and after each restart, and only between orders: the
engine is read when no order is open here, and the control state refuses the
report if it issued one meanwhile. Then the engine is read again.
"""

from typing import Final

from gevent import sleep

from trestle_core.errorcodes import WITHDRAWN
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_endpoint.engine_interface import EngineState
from trestle_endpoint.engine_monitor import EngineMonitor
from trestle_endpoint.order_gate import OrderGate
from trestle_endpoint.order_run import wait_for_idle_state
from trestle_endpoint.suspect_contents import Submit
from trestle_links.engine_messages import ReportEngine
from trestle_links.fleet_messages import CommandReply

_POLL_SECONDS: Final = 0.25
_SUBMIT_SECONDS: Final = 3.0

_log = part_logger('engine')


class EngineReporter:
    """The engine incarnation that the control state knows."""

    def __init__(
        self,
        monitor: EngineMonitor,
        gate: OrderGate,
        submit: Submit,
        incarnation: str,
        metrics: Metrics,
    ) -> None:
        """Have nothing reported yet."""
        self.monitor = monitor
        self.gate = gate
        self.submit = submit
        self.incarnation = incarnation
        self.metrics = metrics
        self.reported = ''

    def run(self) -> None:
        """Report for as long as this incarnation is the admitted one."""
        self.gate.admitted.wait()
        refusal = ''
        while refusal != WITHDRAWN.code:
            refusal = self._report_once() if self._should_report() else ''
            sleep(_POLL_SECONDS)

    def _should_report(self) -> bool:
        state = self.monitor.state
        is_new = state is not None and state.incarnation != self.reported
        return is_new and self.monitor.is_up and not self.gate.has_open_order

    def _report_once(self) -> str:
        """Return the code of a refusal, empty if there was none."""
        fencing = self.gate.highest_fencing
        state = wait_for_idle_state(self.monitor.engine, _POLL_SECONDS)
        if state is None:
            return ''
        try:
            reply = self.submit(
                self._engine_report(state, fencing),
                CommandReply,
                _SUBMIT_SECONDS,
            )
        except TrestleError as error:
            _log.warning('The engine is not reported yet: {}.', error)
            return ''
        if reply.accepted:
            self.reported = state.incarnation
            self.metrics.count('engine_reports', 'accepted')
        else:
            self.metrics.count('engine_reports', reply.code)
        return reply.code

    def _engine_report(self, state: EngineState, fencing: int) -> ReportEngine:
        loaded = [f'load-model {state.model}/{state.version}']
        loaded += [f'load-adapter {name}' for name in state.adapters]
        return ReportEngine(
            host=self.gate.host,
            incarnation=self.incarnation,
            engine_incarnation=state.incarnation,
            role=state.role,
            loaded=loaded,
            fencing=fencing,
        )
