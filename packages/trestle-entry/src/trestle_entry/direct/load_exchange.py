"""Exchanges loads with the leader, in one greenlet.

Without a leader the entry goes by its own figures, which age out of the
view after a second.
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
_PAUSE_SECONDS: Final = 0.3
# Time between two exchanges while loads change.
_LEAST_SECONDS: Final = 0.03
_SECONDS_PER_ENTRY: Final = 0.005

_log = part_logger('loads')


class LeaderContact:
    """Tells once when the leader is lost and once when it is back."""

    def __init__(self) -> None:
        """Start without a loss."""
        self.lost_at: float | None = None

    def note(self, leader: str, *, reached: bool) -> None:
        """Log a change between reached and lost."""
        if reached and self.lost_at is not None:
            away_seconds = monotonic() - self.lost_at
            _log.info('Leader answers again after {:.1f} s.', away_seconds)
            self.lost_at = None
        elif not reached and self.lost_at is None:
            self.lost_at = monotonic()
            _log.warning('Leader {} does not answer.', leader or 'unknown')


def run_exchange(
    context: DirectContext, control: ControlClient, links: LinkPool
) -> None:
    """Report and take the sums of the others, for ever."""
    contact = LeaderContact()
    while True:
        leader = control.leader_address
        reached = bool(leader) and _exchange(context, leader, links)
        contact.note(leader, reached=reached)
        if reached:
            _wait_for_change(context)
        else:
            sleep(_PAUSE_SECONDS)


def _wait_for_change(context: DirectContext) -> None:
    every_seconds = context.settings.exchange_every_ms / _MS_PER_SECOND
    sleep(_shortest_seconds(context))
    context.loads.changed.wait(every_seconds)
    context.loads.changed.clear()


def _shortest_seconds(context: DirectContext) -> float:
    # The leader answers every entry: many of them take longer turns.
    return max(_LEAST_SECONDS, context.loads.entries * _SECONDS_PER_ENTRY)


def _exchange(context: DirectContext, leader: str, links: LinkPool) -> bool:
    report = context.loads.take_report()
    try:
        view = links.link_to(leader).call(report, LoadView, _CALL_SECONDS)
    except TrestleError as error:
        links.forget(leader)
        context.metrics.count('load_exchange_failures', error.code.code)
        return False
    context.loads.take_view(view)
    context.guard.take(view.suspects)
    context.fleet.changing = set(view.changing)
    return True
