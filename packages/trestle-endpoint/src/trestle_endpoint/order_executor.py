"""Executes the orders of the control state, one after another.

For an order that interrupts the engine, the process stops granting permits
and waits until admitted work has ended. It then confirms its assignment with
the control state, sends the order, reports the result until the report is
committed, and grants permits again once the engine runs no order.

The assignment is confirmed by repeating the admission command, which is
committed: an incarnation that has been replaced, or whose order is already
reported, sends nothing. The confirmation is valid for a short time by this
process's own clock, so a process that was paused after it sends nothing
either. If the pause falls between the last check of the clock and the first
byte, only an engine that checks fencing numbers can refuse the order.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from gevent import sleep

from trestle_core.errorcodes import DRAINING, INTERNAL, STALE_ORDER
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_endpoint.admission_state import AdmissionState
from trestle_endpoint.engine_interface import EngineAdapter
from trestle_endpoint.order_gate import OrderGate, interrupts_engine
from trestle_endpoint.order_run import (
    OrderResult,
    OrderRun,
    failed_result,
    wait_for_idle_state,
)
from trestle_endpoint.suspect_contents import Submit, submit_with_retries
from trestle_links.fleet_messages import (
    AdmitReply,
    CommandReply,
    Order,
    OrderState,
    ReportOrder,
)

_IDLE_POLL_SECONDS: Final = 0.01
_CONFIRM_RETRY_SECONDS: Final = 0.3
_CONFIRMATION_VALID_SECONDS: Final = 1.0

ConfirmAssignment = Callable[[], AdmitReply]

_log = part_logger('orders')


class OrderParts(NamedTuple):
    """The components that the executor uses."""

    engine: EngineAdapter
    state: AdmissionState
    submit: Submit
    confirm: ConfirmAssignment
    # Returns whether no admitted request can reach the engine or runs on it.
    is_engine_idle: Callable[[], bool]
    # Polls the engine, so that new permits use its current state.
    refresh: Callable[[], None]
    timeout_seconds: float
    metrics: Metrics


class OrderExecutor:
    """Executes the orders of one engine serially."""

    def __init__(self, parts: OrderParts, gate: OrderGate) -> None:
        """Create the executor; `run` starts it."""
        self.parts = parts
        self.gate = gate

    def run(self) -> None:
        """Execute orders as they arrive, without end."""
        self.gate.admitted.wait()
        if self.gate.inherited_order:
            self._follow_inherited(self.gate.inherited_order)
        while True:
            order = self.gate.next_order()
            _log.info('Order {} was received: {}.', order.fencing, order.kind)
            self._report(order, self._execute(order))
            self.gate.finish_order()
            self._resume_permits()

    def _follow_inherited(self, order: Order) -> None:
        # An earlier incarnation may have sent the order, and the engine may
        # still accept it; nothing else is sent before the order timeout.
        _log.warning(
            'Order {} was outstanding at the admission.', order.fencing
        )
        self.parts.metrics.count('orders', 'inherited')
        run = OrderRun(self.parts.engine, order, self.parts.timeout_seconds)
        self._report(order, run.follow())
        self._resume_permits()

    def _execute(self, order: Order) -> OrderResult:
        try:
            return self._send(order)
        except Exception:
            _log.exception('Order {} failed unexpectedly.', order.fencing)
            return failed_result(INTERNAL.summary)

    def _send(self, order: Order) -> OrderResult:
        run = OrderRun(self.parts.engine, order, self.parts.timeout_seconds)
        if run.is_in_effect():
            # A rollout also orders engines whose loaded model is not recorded.
            # Running work is not interrupted for an order without effect.
            return OrderResult(OrderState.DONE, 'it was already in effect')
        if interrupts_engine(order):
            self._wait_until_engine_idle()
        result = run.prepare()
        if result:
            return result
        refusal = self._refusal_reason(order)
        if refusal:
            self.parts.metrics.count('orders_refused', refusal)
            return failed_result(f'it was not sent: {refusal}')
        confirmed_until = monotonic() + _CONFIRMATION_VALID_SECONDS
        return run.send(lambda: monotonic() < confirmed_until)

    def _wait_until_engine_idle(self) -> None:
        while not self.parts.is_engine_idle():
            sleep(_IDLE_POLL_SECONDS)

    def _refusal_reason(self, order: Order) -> str:
        """Return why the order may not be sent, empty if it may."""
        while not self.parts.state.draining:
            try:
                reply = self.parts.confirm()
            except (TrestleError, OSError, ValueError) as error:
                _log.warning('The order is not confirmed yet: {}.', error)
                sleep(_CONFIRM_RETRY_SECONDS)
                continue
            if not reply.admitted:
                return reply.code
            is_current = reply.order and reply.order.fencing == order.fencing
            return '' if is_current else STALE_ORDER.code
        return DRAINING.code

    def _report(self, order: Order, result: OrderResult) -> None:
        _log.info(
            'Order {} {}: {}.', order.fencing, result.state.value, result.detail
        )
        self.parts.metrics.count('orders', result.state.value)
        report = ReportOrder(
            order.endpoint,
            self.parts.state.incarnation,
            order.fencing,
            result.state,
            result.detail,
        )
        reply = submit_with_retries(self.parts.submit, report, CommandReply)
        if not reply.accepted:
            self.parts.metrics.count('order_reports_refused', reply.code)

    def _resume_permits(self) -> None:
        """Grant permits again once the engine runs no order."""
        engine = self.parts.engine
        while wait_for_idle_state(engine, self.parts.timeout_seconds) is None:
            _log.warning(
                'The engine reported no state without a running order.'
            )
        self.parts.refresh()
        self.gate.unblock_permits()
