"""How long voters have been silent, handed on from leader to leader.

A leader that is new has heard of nobody yet. Without what the leader before it
knew, a voter that is gone for good would look like one that was dark for a
moment, and each change of the leader would give it time anew.
"""

from time import monotonic
from typing import Final

from trestle_control.replica_messages import SilentMember
from trestle_control.replica_state import ReplicaState

_MS_PER_SECOND: Final = 1000
# Heartbeats without an answer after which a voter is named.
_NAMED_HEARTBEATS: Final = 1.5


def silent_members(state: ReplicaState) -> list[SilentMember]:
    """Return the voters that this leader has not heard of lately."""
    lately = state.heartbeat_seconds * _NAMED_HEARTBEATS
    return [
        SilentMember(incarnation, int(peer.unheard_seconds() * _MS_PER_SECOND))
        for incarnation, peer in state.peers.items()
        if peer.member.voter and peer.unheard_seconds() > lately
    ]


def note_silent_members(
    state: ReplicaState, leader: str, silent: list[SilentMember]
) -> None:
    """Record on a follower what its leader, an incarnation, told."""
    now = monotonic()
    state.silent_since = {
        member.incarnation: now - member.silent_ms / _MS_PER_SECOND
        for member in silent
    }
    state.silent_since[leader] = now


def take_over_silence(state: ReplicaState) -> None:
    """Start a leadership with what the last leader knew.

    The last leader itself has been silent since its last message: the election
    shows it. The silence of any other begins with the election that it did not
    answer, as nobody listened to it before. So a voter that has just gone dark
    does not look as if it were gone for longer than the leader.
    """
    now = monotonic()
    for incarnation, peer in state.peers.items():
        told = state.silent_since.get(incarnation, now)
        peer.heard_at = max(peer.heard_at, told)
