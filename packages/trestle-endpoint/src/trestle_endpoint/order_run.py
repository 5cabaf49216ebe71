"""One order on the engine: sent at most once, and followed to its end.

The engine's state page is the only witness. An order whose answer was lost
is looked for there and is never sent again; one that left no trace within
the order timeout has failed, unless the engine shows its effect. A later
order from the log then repairs what is left.
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
from trestle_endpoint.http_exchange import ConnectFailedError
from trestle_links.fleet_messages import Order, OrderState

_POLL_SECONDS: Final = 0.1
_RUNNING: Final = 'running'


class OrderEnd(NamedTuple):
    """How an order ended, as it is reported."""

    state: OrderState
    detail: str


class OrderRun:
    """One order on one engine."""

    def __init__(
        self, engine: EngineAdapter, order: Order, timeout_seconds: float
    ) -> None:
        """Send nothing yet; the timeout counts from the sending."""
        self.engine = engine
        self.order = order
        self.timeout_seconds = timeout_seconds
        self.incarnation = ''

    def is_in_effect(self) -> bool:
        """Tell whether the engine is idle of orders and as this one wants."""
        state = read_state(self.engine)
        return (
            state is not None
            and not _is_busy(state)
            and has_effect(state, self.order)
        )

    def prepare(self) -> OrderEnd | None:
        """Wait until the engine runs no order; an end means not to send."""
        before = read_quiet_state(self.engine, self.timeout_seconds)
        if before is None:
            return failed_order('the engine shows no state without an order')
        if has_effect(before, self.order):
            return OrderEnd(OrderState.DONE, 'it was in effect already')
        self.incarnation = before.incarnation
        return None

    def send(self, may_send: Callable[[], bool]) -> OrderEnd:
        """Send the order and follow it to its end.

        `may_send` is asked once the engine is connected, right before the
        first byte.
        """
        order = self.order
        try:
            refusal = self.engine.send_order(
                EngineOrder(order.fencing, order.kind, order.argument), may_send
            )
        except ConnectFailedError as error:
            return failed_order(f'it was not sent: {error}')
        except OSError:
            # The engine may have taken it: its state page will tell.
            return self.follow()
        if refusal:
            return failed_order(f'the engine refused it: {refusal}')
        return self.follow()

    def follow(self) -> OrderEnd:
        """Read the engine's state until the order has ended."""
        limit = monotonic() + self.timeout_seconds
        seen: EngineState | None = None
        while monotonic() < limit:
            state = read_state(self.engine)
            if state:
                seen = state
                end = self._end_shown(state)
                if end:
                    return end
                if self.incarnation not in {'', state.incarnation}:
                    return self._end_by_effect(state, 'the engine restarted')
            sleep(_POLL_SECONDS)
        return self._end_by_effect(seen, 'no end within the order timeout')

    def _end_shown(self, state: EngineState) -> OrderEnd | None:
        shown = state.order
        if shown is None or shown.fencing < self.order.fencing:
            return None
        if shown.fencing > self.order.fencing:
            return failed_order(f'the engine shows order {shown.fencing}')
        if shown.state == _RUNNING:
            return None
        return OrderEnd(OrderState(shown.state), shown.detail)

    def _end_by_effect(
        self, state: EngineState | None, reason: str
    ) -> OrderEnd:
        if state and not _is_busy(state) and has_effect(state, self.order):
            return OrderEnd(OrderState.DONE, f'{reason}; it is in effect')
        return failed_order(reason)


def has_effect(state: EngineState, order: Order) -> bool:
    """Tell whether the engine is as the order wants it."""
    if order.kind == 'set-role':
        return state.role == order.argument
    if order.kind == 'load-model':
        return f'{state.model}/{state.version}' == order.argument
    return order.argument in state.adapters


def read_state(engine: EngineAdapter) -> EngineState | None:
    """Return the engine's state, None when it does not answer."""
    try:
        return engine.read_state()
    except OSError:
        return None


def read_quiet_state(
    engine: EngineAdapter, timeout_seconds: float
) -> EngineState | None:
    """Wait for a state without a running order; None at the timeout."""
    limit = monotonic() + timeout_seconds
    while monotonic() < limit:
        state = read_state(engine)
        if state and not _is_busy(state):
            return state
        sleep(_POLL_SECONDS)
    return None


def _is_busy(state: EngineState) -> bool:
    return state.order is not None and state.order.state == _RUNNING


def failed_order(detail: str) -> OrderEnd:
    """Return the end of an order that is not in effect."""
    return OrderEnd(OrderState.FAILED, detail)
