"""Sends one order to the engine, at most once, and follows it to its end.

The result is read only from the engine's state page. An order whose reply
was lost is looked up there and never sent again. If the page does not show
it within the order timeout, the order has failed unless the engine's state
already matches it. A later order from the log then corrects the state.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from gevent import sleep

from trestle_endpoint.engine_interface import (
    EngineAdapter,
    EngineOrder,
    EngineState,
)
from trestle_links.fleet_messages import Order, OrderState
from trestle_links.http_exchange import ConnectFailedError

_POLL_SECONDS: Final = 0.1
_RUNNING: Final = 'running'


class OrderResult(NamedTuple):
    """The result of an order, as it is reported to the control state."""

    state: OrderState
    detail: str


class OrderRun:
    """The execution of one order on one engine."""

    def __init__(
        self, engine: EngineAdapter, order: Order, timeout_seconds: float
    ) -> None:
        """Prepare an order; each wait for the engine has its own timeout."""
        self.engine = engine
        self.order = order
        self.timeout_seconds = timeout_seconds
        self.incarnation = ''

    def is_in_effect(self) -> bool:
        """Return whether no order runs and this one is already in effect."""
        state = read_state(self.engine)
        return (
            state is not None
            and not _runs_order(state)
            and has_effect(state, self.order)
        )

    def prepare(self) -> OrderResult | None:
        """Wait until the engine runs no order.

        Returns a result if the order need not or cannot be sent.
        """
        initial_state = wait_for_idle_state(self.engine, self.timeout_seconds)
        if initial_state is None:
            return failed_result(
                'the engine reported no state without a running order'
            )
        if has_effect(initial_state, self.order):
            return OrderResult(OrderState.DONE, 'it was already in effect')
        self.incarnation = initial_state.incarnation
        return None

    def send(self, may_send: Callable[[], bool]) -> OrderResult:
        """Send the order and follow it to its end.

        `may_send` is called after the connection to the engine is made,
        right before the first byte is sent.
        """
        order = self.order
        try:
            refusal = self.engine.send_order(
                EngineOrder(order.fencing, order.kind, order.argument), may_send
            )
        except ConnectFailedError as error:
            return failed_result(f'it was not sent: {error}')
        except OSError:
            # The engine may have accepted it; its state page shows whether.
            return self.follow()
        if refusal:
            return failed_result(f'the engine refused it: {refusal}')
        return self.follow()

    def follow(self) -> OrderResult:
        """Poll the engine's state until the order has ended."""
        deadline = monotonic() + self.timeout_seconds
        last_state: EngineState | None = None
        while monotonic() < deadline:
            state = read_state(self.engine)
            if state:
                last_state = state
                result = self._reported_result(state)
                if result:
                    return result
                if self.incarnation not in {'', state.incarnation}:
                    return self._result_from_effect(
                        state, 'the engine restarted'
                    )
            sleep(_POLL_SECONDS)
        return self._result_from_effect(
            last_state, 'it did not end within the order timeout'
        )

    def _reported_result(self, state: EngineState) -> OrderResult | None:
        engine_order = state.order
        if engine_order is None or engine_order.fencing < self.order.fencing:
            return None
        if engine_order.fencing > self.order.fencing:
            return failed_result(
                f'the engine shows order {engine_order.fencing}'
            )
        if engine_order.state == _RUNNING:
            return None
        return OrderResult(OrderState(engine_order.state), engine_order.detail)

    def _result_from_effect(
        self, state: EngineState | None, reason: str
    ) -> OrderResult:
        if state and not _runs_order(state) and has_effect(state, self.order):
            return OrderResult(OrderState.DONE, f'{reason}; it is in effect')
        return failed_result(reason)


def has_effect(state: EngineState, order: Order) -> bool:
    """Return whether the engine's state matches the order."""
    if order.kind == 'set-role':
        return state.role == order.argument
    if order.kind == 'load-model':
        return f'{state.model}/{state.version}' == order.argument
    return order.argument in state.adapters


def read_state(engine: EngineAdapter) -> EngineState | None:
    """Return the engine's state, or None when it cannot be read."""
    try:
        return engine.read_state()
    except OSError:
        return None


def wait_for_idle_state(
    engine: EngineAdapter, timeout_seconds: float
) -> EngineState | None:
    """Return the first state without a running order, or None on timeout."""
    deadline = monotonic() + timeout_seconds
    while monotonic() < deadline:
        state = read_state(engine)
        if state and not _runs_order(state):
            return state
        sleep(_POLL_SECONDS)
    return None


def _runs_order(state: EngineState) -> bool:
    return state.order is not None and state.order.state == _RUNNING


def failed_result(detail: str) -> OrderResult:
    """Return the result of an order that failed."""
    return OrderResult(OrderState.FAILED, detail)
