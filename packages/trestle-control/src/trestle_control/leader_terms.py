"""The term under which this host leads, confirmed right before it acts.

A host that was frozen goes on with what it had begun, perhaps as a follower
of another leader. So an act of a leader bears the term that was taken when it
was decided, and that term is confirmed after the last wait before it.
"""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Final

from trestle_control.control_errors import NoQuorumError
from trestle_control.replica_api import ReplicaApi

# A confirmed act leaves this long after its host was replaced, at the latest.
CONFIRM_SECONDS: Final = 0.5


def previous_lease_seconds(term: int, lease_seconds: float) -> float:
    """Return for how long a leader waits for the acts of the one before it.

    The first leader has no predecessor.
    """
    return 0.0 if term <= 1 else lease_seconds + CONFIRM_SECONDS


def confirm_term(replica: ReplicaApi, term: int) -> None:
    """Return if this host has just led in a term.

    Raises `TrestleError` otherwise, also if it was frozen meanwhile.
    """
    # This clock goes on while the host is suspended.
    began_at = clock_gettime(CLOCK_BOOTTIME)
    replica.confirm_leads(term, CONFIRM_SECONDS)
    if clock_gettime(CLOCK_BOOTTIME) - began_at > CONFIRM_SECONDS:
        raise NoQuorumError
