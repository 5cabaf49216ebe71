"""Reports each new engine incarnation to the control state.

A restarted engine may have lost the role, model or adapters that orders had
given it. The report is sent after the admission and after each restart, and
only between orders: the engine's state is read while no order is open here,
and the control state refuses the report if it has issued an order since. The
state is then read again.
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
_SUBMIT_TIMEOUT_SECONDS: Final = 3.0

_log = part_logger('engine')


class EngineReporter:
    """Reports engine incarnations and tracks the last accepted report."""

    def __init__(
        self,
        monitor: EngineMonitor,
        gate: OrderGate,
        submit: Submit,
        incarnation: str,
        metrics: Metrics,
    ) -> None:
        """Start with no reported incarnation."""
        self.monitor = monitor
        self.gate = gate
        self.submit = submit
        self.incarnation = incarnation
        self.metrics = metrics
        self.reported_incarnation = ''

    def run(self) -> None:
        """Report engine incarnations until one is refused as withdrawn."""
        self.gate.admitted.wait()
        refusal = ''
        while refusal != WITHDRAWN.code:
            refusal = self._report_once() if self._should_report() else ''
            sleep(_POLL_SECONDS)

    def _should_report(self) -> bool:
        state = self.monitor.state
        is_new = (
            state is not None and state.incarnation != self.reported_incarnation
        )
        return is_new and self.monitor.is_up and not self.gate.has_open_order

    def _report_once(self) -> str:
        """Return the code of a refusal, or an empty string."""
        fencing = self.gate.highest_fencing
        state = wait_for_idle_state(self.monitor.engine, _POLL_SECONDS)
        if state is None:
            return ''
        try:
            reply = self.submit(
                self._engine_report(state, fencing),
                CommandReply,
                _SUBMIT_TIMEOUT_SECONDS,
            )
        except TrestleError as error:
            _log.warning('The engine report failed, retrying: {}.', error)
            return ''
        if reply.accepted:
            self.reported_incarnation = state.incarnation
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
