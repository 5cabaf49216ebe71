"""Leadership transfer (handover) before a planned stop.

The leader accepts no more commands, waits until a voter has its whole log,
and requests that voter to start an election immediately. So a planned stop
costs one round instead of an election timeout. Each reachable voter gets one
request; a voter that is stopping declines, and one whose connection is lost
before its election is not waited for. When none is left, as when all members
stop, the leader stops without waiting.
"""

from time import monotonic
from typing import Final

from gevent import sleep

from trestle_control.peer_calls import call_peer, header_for
from trestle_control.peers import Peer
from trestle_control.replica_messages import LeadNow
from trestle_control.replica_state import ReplicaState
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.link_messages import Done

_HANDOVER_TIMEOUT_SECONDS: Final = 2.0
_POLL_SECONDS: Final = 0.01

_log = part_logger('replica')


def hand_over(state: ReplicaState) -> None:
    """Transfer leadership to a voter that catches up in time, if any."""
    state.handing_over = True
    deadline = monotonic() + _HANDOVER_TIMEOUT_SECONDS
    requested: list[Peer] = []
    refused: list[Peer] = []
    while state.is_leader and monotonic() < deadline:
        live = [peer for peer in _live_voters(state) if peer not in refused]
        if not live:
            return
        peer = _caught_up_peer(
            state, [voter for voter in live if voter not in requested]
        )
        if peer:
            requested.append(peer)
            if not _takes_over(state, peer):
                refused.append(peer)
        sleep(_POLL_SECONDS)


def _live_voters(state: ReplicaState) -> list[Peer]:
    return [
        peer
        for peer in state.peers.values()
        if peer.member.voter and peer.silent_seconds() < state.election_seconds
    ]


def _caught_up_peer(state: ReplicaState, peers: list[Peer]) -> Peer | None:
    for peer in peers:
        if peer.match_index == state.log.last_index:
            return peer
    return None


def _takes_over(state: ReplicaState, peer: Peer) -> bool:
    """Return whether a peer was asked to lead and is still there to do so."""
    term = state.term
    if not _request_takeover(state, peer):
        return False
    deadline = monotonic() + state.election_seconds
    while state.leads(term) and monotonic() < deadline:
        if not peer.link.is_connected:
            _log.info('{} ended before its election.', peer.member.host)
            return False
        sleep(_POLL_SECONDS)
    return True


def _request_takeover(state: ReplicaState, peer: Peer) -> bool:
    header = header_for(state, peer, state.term)
    try:
        call_peer(state, peer, LeadNow(header), Done)
    except TrestleError as error:
        _log.info('{} does not take over: {}.', peer.member.host, error.message)
        return False
    _log.info('Asked {} to lead.', peer.member.host)
    return True
