"""Another member, the link to it and its replication progress."""

from math import inf
from time import monotonic

from gevent.event import Event

from trestle_control.membership import Member
from trestle_links.link import Link


class Peer:
    """Another member, with the progress that a leader tracks per term.

    `acked_at` is the time, by this member's clock, at which the last
    acknowledged request was sent: the peer accepted this member as leader at
    some time after it. `heard_at` is when the peer was heard of otherwise: in
    an election, or by an earlier leader. `replication_term` is the term of the
    last replication greenlet that was started for the peer.
    """

    def __init__(self, member: Member, link: Link) -> None:
        """Start without any known progress."""
        self.member = member
        self.link = link
        self.next_index = 1
        self.match_index = 0
        self.acked_at = -inf
        self.heard_at = -inf
        self.replication_term = 0
        self.wake = Event()
        self.urgent = Event()

    def send_immediately(self) -> None:
        """Wake the replication greenlet for pending entries or reads."""
        self.urgent.set()
        self.wake.set()

    def start_term(self, last_index: int) -> None:
        """Reset the progress of an earlier term."""
        self.next_index = last_index + 1
        self.match_index = 0
        self.heard_at = max(self.heard_at, self.acked_at)
        self.acked_at = -inf

    def silent_seconds(self) -> float:
        """Return the seconds since the last acknowledged request was sent."""
        return monotonic() - self.acked_at

    @property
    def last_heard_at(self) -> float:
        """When this member, or a leader before it, heard of the peer last."""
        return max(self.heard_at, self.acked_at)

    def unheard_seconds(self) -> float:
        """Return the seconds since then."""
        return monotonic() - self.last_heard_at
