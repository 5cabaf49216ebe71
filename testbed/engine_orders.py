"""Orders that the fake engine takes, and the record of their conflicts."""

from collections.abc import Callable
from http import HTTPStatus
from os import _exit
from typing import Final, NamedTuple

from gevent import sleep, spawn

from testbed.serving import JsonObject, Recorder, Reply, refuse

ROLES: Final = ('prefill', 'decode', 'mixed')
KINDS: Final = ('set-role', 'load-model', 'load-adapter')
CRASH_STATUS: Final = 3


class Order(NamedTuple):
    """One order; a load-model argument is NAME/VERSION."""

    fencing: int
    kind: str
    argument: str


def read_order(body: JsonObject) -> Order | None:
    """Return the order of a call's body, None if it is malformed."""
    order = Order(
        int(body.get('fencing', 0)),
        str(body.get('kind')),
        str(body.get('argument')),
    )
    if order.kind not in KINDS:
        return None
    if order.kind == 'set-role' and order.argument not in ROLES:
        return None
    if order.kind == 'load-model' and order.argument.count('/') != 1:
        return None
    return order


class Orders:
    """Takes orders; without fencing it begins each one, conflict or not."""

    def __init__(
        self,
        fencing: bool,
        seconds: float,
        record: Recorder,
        begin: Callable[[Order], int],
        finish: Callable[[Order, bool], None],
    ) -> None:
        self.fencing = fencing
        self.seconds = seconds
        self.record = record
        self.begin = begin
        self.finish = finish
        self.current: Order | None = None
        self.state = 'done'
        self.detail = ''
        self.crash_in_order = False
        self.fail_orders = False
        # The record outlives the process, and with it the highest number.
        self.highest = max(
            (
                line['fencing']
                for line in record.lines()
                if line['event'] == 'order'
            ),
            default=0,
        )

    def running(self) -> bool:
        """Tell whether an order runs."""
        return self.current is not None and self.state == 'running'

    def conflict(self, order: Order) -> str | None:
        """Name what an order clashes with."""
        if self.running():
            return 'order-running'
        if order.fencing < self.highest:
            return 'stale-order'
        if order.fencing == self.highest:
            return 'repeated-order'
        return None

    def take(self, order: Order) -> Reply:
        """Begin an order or refuse it, and record which."""
        conflict = self.conflict(order)
        if self.fencing and conflict:
            self.write(order, conflict, 'refused', 0)
            code = 'order-running' if self.running() else 'stale-order'
            return refuse(HTTPStatus.CONFLICT, code)
        self.highest = max(self.highest, order.fencing)
        self.current = order
        self.state = 'running'
        self.detail = ''
        cut = self.begin(order)
        self.write(order, conflict, 'begun', cut)
        spawn(self.execute, order)
        return Reply(HTTPStatus.ACCEPTED, {'fencing': order.fencing})

    def write(
        self, order: Order, conflict: str | None, outcome: str, cut: int
    ) -> None:
        """Record an order, its conflict and how many requests it cut."""
        self.record.append(
            event='order',
            conflict=conflict,
            outcome=outcome,
            cut=cut,
            **order._asdict(),
        )

    def execute(self, order: Order) -> None:
        """Let an order's seconds pass and put it into effect."""
        sleep(self.seconds / 2)
        if self.crash_in_order:
            self.record.append(event='crash', fencing=order.fencing)
            _exit(CRASH_STATUS)
        sleep(self.seconds / 2)
        failed = self.fail_orders
        self.finish(order, not failed)
        if self.current == order:
            self.state = 'failed' if failed else 'done'
            self.detail = 'fault' if failed else ''

    def status(self) -> JsonObject | None:
        """Return the last order and its state."""
        if self.current is None:
            return None
        return {
            'fencing': self.current.fencing,
            'kind': self.current.kind,
            'state': self.state,
            'detail': self.detail,
        }
