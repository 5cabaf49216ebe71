"""Finds a control host whose state is current, among many that may be behind.

A node that loses its state stream asks several hosts at once for a stamp, each
over a connection of its own. So the time that it takes does not grow with the
number of hosts that are lost, behind, or gone from an address that is still
listed. The first of them by rank that answers is taken, so that the nodes of a
lost host spread over the others.
"""

from time import monotonic
from typing import Final, NamedTuple

from gevent import killall, sleep, spawn
from gevent.event import Event

from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.link import Identity, Link
from trestle_links.watch_messages import Stamp, StampAsk

# A host in step answers within some milliseconds, also across zones.
_ASK_SECONDS: Final = 0.3
# Time for hosts of a better rank after the first answer that counts.
_GRACE_SECONDS: Final = 0.02
# Hosts that are asked at once.
_MAX_ASKED: Final = 8
_MS_PER_SECOND: Final = 1000
# A stamp that no stream asked for.
_NO_NUMBER: Final = 0

_log = part_logger('watch')


def addresses_after(lost: str, addresses: list[str]) -> list[str]:
    """Return all addresses in order, from the one after a lost one."""
    following = addresses.index(lost) + 1
    return addresses[following:] + addresses[:following]


def find_current(
    me: Identity, max_age_seconds: float, addresses: list[str]
) -> str | None:
    """Return the first of some hosts that is current, None without one."""
    found = HostSearch(me, max_age_seconds).find(addresses[:_MAX_ASKED])
    me.metrics.count('host_searches', 'found' if found else 'none')
    return found


class AskedHost(NamedTuple):
    """A host, and the age of its state in seconds."""

    address: str
    age_seconds: float


class HostSearch:
    """The answers of the hosts that are asked at present."""

    def __init__(self, me: Identity, max_age_seconds: float) -> None:
        """Look for a state that is younger than `max_age_seconds`."""
        self.me = me
        self.max_age_seconds = max_age_seconds
        self.answers: list[AskedHost] = []
        self.unanswered = 0
        self.changed = Event()

    def find(self, addresses: list[str]) -> str | None:
        """Return the first current host of those asked, None without one."""
        until = monotonic() + _ASK_SECONDS
        self.unanswered = len(addresses)
        tasks = [spawn(self._ask, address) for address in addresses]
        try:
            while self.unanswered and not self._current():
                self.changed.clear()
                if not self.changed.wait(max(0.0, until - monotonic())):
                    break
            if self.unanswered and self._current():
                sleep(_GRACE_SECONDS)
        finally:
            killall(tasks, block=False)
        current = self._current()
        return min(current, key=addresses.index, default=None)

    def _current(self) -> list[str]:
        return [
            answer.address
            for answer in self.answers
            if answer.age_seconds < self.max_age_seconds
        ]

    def _ask(self, address: str) -> None:
        link = Link.to_address(address, self.me)
        asked_at = monotonic()
        try:
            stamp = link.call(StampAsk(_NO_NUMBER, 0, {}), Stamp, _ASK_SECONDS)
        except TrestleError as error:
            _log.debug('{} gives no stamp: {}.', address, error.message)
        else:
            age_seconds = stamp.age_ms / _MS_PER_SECOND
            age_seconds += monotonic() - asked_at
            self.answers.append(AskedHost(address, age_seconds))
        finally:
            link.close()
            self.unanswered -= 1
            self.changed.set()
