"""What a member knows of another one, and the link to it."""

from math import inf
from time import monotonic

from gevent.event import Event

from trestle_control.membership import Member
from trestle_links.link import Link


class Peer:
    """Another member; the progress fields are the leader's and per term.

    `acked_at` is the time at which the last answered request was sent, by
    this member's clock: the peer took this member for the leader at some
    time after it.
    """

    def __init__(self, member: Member, link: Link) -> None:
        """Know nothing of the peer's log."""
        self.member = member
        self.link = link
        self.next_index = 1
        self.match_index = 0
        self.acked_at = -inf
        self.led_term = 0
        self.wake = Event()
        self.urgent = Event()

    def send_at_once(self) -> None:
        """Wake the sender for entries or a read that somebody waits for."""
        self.urgent.set()
        self.wake.set()

    def start_term(self, last_index: int) -> None:
        """Forget the progress of an earlier term."""
        self.next_index = last_index + 1
        self.match_index = 0
        self.acked_at = -inf

    def silent_seconds(self) -> float:
        """Return the time since the last answered request was sent."""
        return monotonic() - self.acked_at
