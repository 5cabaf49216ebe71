"""Back ends that have said in an answer that they leave.

What a back end says holds until its process has ended, whatever it or the list
says later. The process has ended when the list shows a later start of the back
end, or has not shown it for some time: ids and addresses are used again. A
list may lag, and drop an entry for a moment.
"""

from math import inf
from time import monotonic
from typing import Final, NamedTuple

from trestle_core.logs import part_logger
from trestle_links.direct_messages import Backend, Boot
from trestle_links.load_messages import LeaveNotice

# A back end that is not listed for this long has ended.
_ENDED_SECONDS: Final = 5.0
# Longest time by which the list and its readers lag behind a start.
LIST_LAG_SECONDS: Final = 3.0
# More back ends than a deployment has.
_MAX_LEAVES: Final = 5000

_log = part_logger('fleet')


class Leave(NamedTuple):
    """The start of a back end that leaves, and when this host heard it.

    `heard_at` is minus infinity if another host heard it, which tells the start.
    `missing_since` is when the list ceased to show it. Times are monotonic
    seconds.
    """

    boot: Boot
    heard_at: float
    missing_since: float | None = None


class LeavingBackends:
    """The back ends that leave, by instance."""

    def __init__(self) -> None:
        """Start without any."""
        self.leaves: dict[str, Leave] = {}
        self.listed: dict[str, Boot] = {}

    def __contains__(self, instance: object) -> bool:
        """Return whether a back end has said that it leaves."""
        return instance in self.leaves

    def note_heard(self, instance: str, boot: Boot) -> bool:
        """Record what a back end said to this host; return whether it is news.

        `boot` is the start that the list showed when it was asked.
        """
        return self._note(instance, Leave(boot, monotonic()), 'it says so')

    def note_told(self, instance: str, boot: Boot, source: str) -> bool:
        """Record what another host heard; return whether that is news.

        `source` tells which one.
        """
        return self._note(instance, Leave(boot, -inf), source)

    def follow(self, backends: list[Backend]) -> None:
        """Forget the processes that have ended, by the list as it is now."""
        self.listed = {backend.instance: backend.boot for backend in backends}
        now = monotonic()
        for instance, leave in list(self.leaves.items()):
            current = _update(leave, self.listed.get(instance), now)
            if current:
                self.leaves[instance] = current
                continue
            self.leaves.pop(instance)
            _log.info('{} that left has ended.', instance)

    def notices(self) -> list[LeaveNotice]:
        """Return all that are listed, as they are told to another process."""
        return [
            LeaveNotice(instance, leave.boot)
            for instance, leave in self.leaves.items()
            if leave.missing_since is None
        ]

    def _note(self, instance: str, leave: Leave, source: str) -> bool:
        listed = self.listed.get(instance)
        if listed and listed.follows(leave.boot):
            # An earlier process said so, and it has ended.
            return False
        known = self.leaves.get(instance)
        if known and not leave.boot.follows(known.boot):
            # It still runs, whatever the list shows.
            self.leaves[instance] = known._replace(missing_since=None)
            return False
        self.leaves[instance] = leave
        while len(self.leaves) > _MAX_LEAVES:
            self.leaves.pop(next(iter(self.leaves)))
        _log.info('{} at {} leaves: {}.', instance, leave.boot.address, source)
        return True


def _update(leave: Leave, listed: Boot | None, now: float) -> Leave | None:
    """Return what holds by a list, None if the process has ended."""
    if listed and listed.born and listed.born == leave.boot.born:
        return leave._replace(missing_since=None)
    missing_since = now if leave.missing_since is None else leave.missing_since
    if now - missing_since > _ENDED_SECONDS:
        return None
    if listed is None:
        return leave._replace(missing_since=missing_since)
    if listed.follows(leave.boot) and now - leave.heard_at > LIST_LAG_SECONDS:
        return None
    # What has just been heard was said by the process that the list shows now.
    return leave._replace(boot=leave.boot.later(listed), missing_since=None)
