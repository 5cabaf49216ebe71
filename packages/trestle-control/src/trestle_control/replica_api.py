"""What the servers of a control host need of the replicated log."""

from collections.abc import Callable
from typing import Protocol

from trestle_links.codec import Message

AppliedHook = Callable[[int, Message, Message], None]


class ReplicaApi(Protocol):
    """The part of `Replica` that commands, queries and streams use."""

    on_applied: list[AppliedHook]
    on_restored: list[Callable[[], None]]

    @property
    def applied_index(self) -> int:
        """Log index up to which this member has applied."""

    @property
    def member_addresses(self) -> list[str]:
        """Peer addresses of all members."""

    @property
    def bears_losses(self) -> bool:
        """Tell whether a quorum is left after the losses to be borne."""

    @property
    def leader_address(self) -> str | None:
        """Where the leader listens, if it is known."""

    @property
    def term(self) -> int:
        """The current term, as synced."""

    @property
    def leading_seconds(self) -> float:
        """How long this member has led; 0 when it does not."""

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads."""

    def submit(self, command: Message, timeout_seconds: float) -> Message:
        """Commit a command through the leader; return its reply."""

    def read_barrier(self, timeout_seconds: float) -> int:
        """Wait until this member's state is at least as new as the call."""

    def freshness_age_seconds(self) -> float:
        """Return the age at which the applied state was surely in force."""
