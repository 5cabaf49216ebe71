"""Accepts engine orders and blocks permits while one interrupts the engine.

Orders come only from the control state: as a delta of the state stream, or
in the reply to the admission, which is a committed command and therefore
returns the current assignment of this endpoint. A control host that lags may
repeat an old order.

Invariants: an order is accepted once, and only if its fencing number is above
every number accepted earlier or received at the admission; an order that was
outstanding at the admission may have been sent by an earlier incarnation and
is never sent by this one.
"""

from typing import Final

from gevent.event import Event

from trestle_core.errorcodes import STALE_ORDER
from trestle_core.metrics import Metrics
from trestle_endpoint.admission_state import AdmissionState
from trestle_links.fleet_messages import AdmitReply, Order, OrderState

# The engine continues to serve while it loads an adapter.
_NON_INTERRUPTING_KINDS: Final = frozenset(('load-adapter',))


class OrderGate:
    """The open order and the highest fencing number received."""

    def __init__(
        self, host: str, state: AdmissionState, metrics: Metrics
    ) -> None:
        """Start with no order; the admission has not been received yet."""
        self.host = host
        self.state = state
        self.metrics = metrics
        self.highest_fencing = 0
        self.inherited_order: Order | None = None
        self.pending_order: Order | None = None
        # True from the arrival of an order until its end is committed.
        self.has_open_order = False
        self.arrived = Event()
        self.admitted = Event()

    def receive_order(self, order: Order) -> None:
        """Accept an order of the state stream if it is new."""
        if order.endpoint != self.host or order.state is not OrderState.ISSUED:
            return
        if order.fencing <= self.highest_fencing:
            repeated = order.fencing == self.highest_fencing
            reason = 'seen-before' if repeated else STALE_ORDER.code
            self.metrics.count('orders_refused', reason)
            return
        self.highest_fencing = order.fencing
        self.pending_order = order
        self.has_open_order = True
        self.block_permits_for(order)
        self.arrived.set()

    def apply_admission(self, reply: AdmitReply) -> None:
        """Apply the assignment in the reply to the admission."""
        if self.pending_order and self.pending_order.fencing <= reply.fencing:
            self.pending_order = None
            self.has_open_order = False
        self.highest_fencing = max(self.highest_fencing, reply.fencing)
        self.inherited_order = reply.order
        if reply.order:
            self.block_permits_for(reply.order)
        self.admitted.set()

    def next_order(self) -> Order:
        """Wait for the next order and return it."""
        while self.pending_order is None:
            self.arrived.clear()
            self.arrived.wait()
        order = self.pending_order
        self.pending_order = None
        return order

    def finish_order(self) -> None:
        """Record that the end of the running order is committed."""
        self.has_open_order = self.pending_order is not None

    def block_permits_for(self, order: Order) -> None:
        """Block new permits if the order interrupts the engine."""
        if interrupts_engine(order):
            self.state.is_blocked_by_order = True

    def unblock_permits(self) -> None:
        """Allow new permits unless another interrupting order is pending."""
        if self.pending_order is None or not interrupts_engine(
            self.pending_order
        ):
            self.state.is_blocked_by_order = False


def interrupts_engine(order: Order) -> bool:
    """Return whether the engine cannot serve requests during an order."""
    return order.kind not in _NON_INTERRUPTING_KINDS
