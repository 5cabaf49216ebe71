"""Streams this entry's loads to the leader and receives the sums, in one task.

A change is sent as soon as it happens, except that changes within a few
milliseconds travel together. A stream that breaks is opened again, to the
leader that the followed control host then names. Meanwhile the last sums stay
in use (`shared_loads`).
"""

from time import monotonic
from typing import Final

from gevent import sleep, spawn

from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_entry.direct.direct_context import DirectContext
from trestle_links.codec import BadFrameError
from trestle_links.connection import Channel, LinkDownError
from trestle_links.control_client import ControlClient
from trestle_links.link import LinkPool
from trestle_links.load_messages import FollowLoads, LoadPush

# Least time between two messages of this entry.
_BATCH_SECONDS: Final = 0.01
# Longest time between two messages; the leader drops a silent entry.
_REPORT_SECONDS: Final = 0.5
# A leader that pushes nothing for this long is taken for lost.
_SILENT_SECONDS: Final = 1.0
_RETRY_SECONDS: Final = 0.1

_log = part_logger('loads')


class LeaderMonitor:
    """Logs when the leader becomes unreachable and when it is back."""

    def __init__(self) -> None:
        """Assume that the leader is reachable."""
        self.unreachable_since: float | None = None

    def note_lost(self, leader: str, reason: str) -> None:
        """Log the first failure since the leader was reached."""
        if self.unreachable_since is None:
            self.unreachable_since = monotonic()
            name = leader or 'unknown'
            _log.warning('Lost the loads of leader {}: {}.', name, reason)

    def note_reached(self) -> None:
        """Log that the leader is reached after a failure."""
        if self.unreachable_since is not None:
            lost_seconds = monotonic() - self.unreachable_since
            _log.info('Loads arrive again after {:.1f} s.', lost_seconds)
            self.unreachable_since = None


def run_load_stream(
    context: DirectContext, control: ControlClient, links: LinkPool
) -> None:
    """Keep a stream to the leader until the greenlet is killed."""
    monitor = LeaderMonitor()
    while True:
        leader = control.leader_address
        try:
            _follow(context, leader, links, monitor)
        except TrestleError as error:
            links.forget(leader)
            context.metrics.count('load_stream_losses', error.code.code)
            monitor.note_lost(leader, error.message)
        sleep(_RETRY_SECONDS)


def _follow(
    context: DirectContext,
    leader: str,
    links: LinkPool,
    monitor: LeaderMonitor,
) -> None:
    """Send and receive until the stream breaks; raises `TrestleError`."""
    if not leader:
        raise LinkDownError('no leader is known', sent=False)
    loads = context.loads
    opening = FollowLoads(
        loads.host, loads.open_stream(), loads.usage.incarnation
    )
    channel = links.link_to(leader).open(opening)
    context.crash_guard.report_all()
    context.report_leaving()
    reporter = spawn(_report_changes, context, channel)
    try:
        _apply_pushes(context, channel, monitor)
    finally:
        reporter.kill()
        channel.close()
        loads.speeds.unfollow()


def _apply_pushes(
    context: DirectContext, channel: Channel, monitor: LeaderMonitor
) -> None:
    is_first = True
    while True:
        push = channel.receive(_SILENT_SECONDS)
        if not isinstance(push, LoadPush):
            raise LinkDownError('the leader ended the stream', sent=False)
        apply_push(context, push, is_first=is_first)
        monitor.note_reached()
        is_first = False


def apply_push(
    context: DirectContext, push: LoadPush, *, is_first: bool
) -> None:
    """Apply what the leader pushed; raises `TrestleError`."""
    delta = context.loads.apply_push(push, is_first=is_first)
    context.has_loads.set()
    context.crash_guard.take(delta.crashes, delta.served)
    context.note_reported(delta.failures)
    context.note_told_calls(delta.calls)
    context.note_told_leaving(delta.leaving)
    context.fleet.changing_role = set(delta.changing)


def _report_changes(context: DirectContext, channel: Channel) -> None:
    number = 0
    loads = context.loads
    while True:
        sleep(_BATCH_SECONDS)
        loads.own.changed.wait(_REPORT_SECONDS)
        loads.own.changed.clear()
        number += 1
        try:
            channel.send(loads.take_change(number))
        except LinkDownError:
            # The receiving side notices the loss and opens a new stream.
            return
        except BadFrameError as error:
            # A new stream begins with all loads and without the odd figure.
            _log.error('A change of the loads was lost: {}.', error)
            channel.close()
            return
