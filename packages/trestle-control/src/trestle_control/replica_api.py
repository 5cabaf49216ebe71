"""Interface of the replicated log for the servers of a control host."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from trestle_links.codec import Message

AppliedHook = Callable[[int, Message, Message], None]


class Lead(NamedTuple):
    """The term in which a member acts as leader, and for how long already."""

    term: int
    seconds: float


class ReplicaApi(Protocol):
    """The methods of `Replica` that commands, queries and streams use."""

    on_applied: list[AppliedHook]
    on_restored: list[Callable[[], None]]

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""

    @property
    def member_addresses(self) -> list[str]:
        """Peer addresses of all members."""

    @property
    def has_wanted_voters(self) -> bool:
        """Whether there are enough voters to tolerate the configured losses."""

    @property
    def leader_address(self) -> str | None:
        """Peer address of the leader, or None if it is not known."""

    @property
    def lead(self) -> Lead:
        """What this member leads; its term is 0 if it does not."""

    @property
    def is_leader(self) -> bool:
        """Whether this member acts as leader; another may have replaced it."""

    def submit(self, command: Message, timeout_seconds: float) -> Message:
        """Commit a command through the leader; return its reply."""

    def submit_as_leader(
        self, command: Message, term: int, timeout_seconds: float
    ) -> Message:
        """Commit a command that this member decided as leader of a term."""

    def read_barrier(self, timeout_seconds: float) -> int:
        """Wait until local reads are linearizable; return the read index."""

    def confirm_leads(self, term: int, timeout_seconds: float) -> None:
        """Return once a quorum confirms that this member leads in a term."""

    def freshness_age_seconds(self) -> float:
        """Return the seconds since the local state was known to be current."""
