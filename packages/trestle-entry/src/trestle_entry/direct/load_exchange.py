"""Exchanges loads with the leader, in one greenlet.

Without a leader the entry uses its own load only, as the last view of the
others expires after a second.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_entry.direct.direct_context import DirectContext
from trestle_links.control_client import ControlClient
from trestle_links.direct_messages import LoadView
from trestle_links.link import LinkPool

_CALL_SECONDS: Final = 0.4
_MS_PER_SECOND: Final = 1000
_RETRY_SECONDS: Final = 0.3
# Least time between two exchanges while loads change.
_MIN_INTERVAL_SECONDS: Final = 0.03
_SECONDS_PER_ENTRY: Final = 0.005

_log = part_logger('loads')


class LeaderMonitor:
    """Logs when the leader becomes unreachable and when it is back."""

    def __init__(self) -> None:
        """Assume that the leader is reachable."""
        self.unreachable_since: float | None = None

    def note(self, leader: str, *, is_reached: bool) -> None:
        """Log a change between reachable and unreachable."""
        if is_reached and self.unreachable_since is not None:
            unreachable_seconds = monotonic() - self.unreachable_since
            _log.info(
                'Leader answers again after {:.1f} s.', unreachable_seconds
            )
            self.unreachable_since = None
        elif not is_reached and self.unreachable_since is None:
            self.unreachable_since = monotonic()
            _log.warning('Leader {} does not answer.', leader or 'unknown')


def run_exchange(
    context: DirectContext, control: ControlClient, links: LinkPool
) -> None:
    """Exchange loads with the leader until the greenlet is killed."""
    monitor = LeaderMonitor()
    while True:
        leader = control.leader_address
        is_reached = bool(leader) and _exchange(context, leader, links)
        monitor.note(leader, is_reached=is_reached)
        if is_reached:
            _wait_for_change(context)
        else:
            sleep(_RETRY_SECONDS)


def _wait_for_change(context: DirectContext) -> None:
    every_seconds = context.settings.exchange_every_ms / _MS_PER_SECOND
    sleep(_min_interval_seconds(context))
    context.loads.changed.wait(every_seconds)
    context.loads.changed.clear()


def _min_interval_seconds(context: DirectContext) -> float:
    # The leader answers every entry, so many entries exchange less often.
    return max(
        _MIN_INTERVAL_SECONDS, context.loads.entry_count * _SECONDS_PER_ENTRY
    )


def _exchange(context: DirectContext, leader: str, links: LinkPool) -> bool:
    report = context.loads.take_report()
    try:
        view = links.link_to(leader).call(report, LoadView, _CALL_SECONDS)
    except TrestleError as error:
        links.forget(leader)
        context.metrics.count('load_exchange_failures', error.code.code)
        return False
    context.loads.apply_view(view)
    context.crash_guard.record_notices(view.suspects)
    context.fleet.changing_role = set(view.changing)
    return True
