"""Elections: the election timer, the pre-vote and the vote.

A member that has received nothing from a leader for an election timeout first
runs a pre-vote to find out whether it could win. A pre-vote changes no term,
and a member with a live leader rejects it. So a host that returns from a long
network partition does not depose the leader that the other members follow.
"""

from random import uniform
from time import monotonic

from gevent import iwait, sleep, spawn

from trestle_control.control_errors import StorageFailedError
from trestle_control.member_losses import note_if_lost
from trestle_control.membership import voters_of
from trestle_control.peer_calls import (
    answer_from,
    call_peer,
    check_header,
    header_for,
    refresh_peers,
)
from trestle_control.peers import Peer
from trestle_control.replica_leader import become_leader
from trestle_control.replica_log import last_term
from trestle_control.replica_messages import VoteAsk, VoteReply
from trestle_control.replica_quorum import is_quorum_of
from trestle_control.replica_state import ReplicaState, Role
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.connection import Channel

_log = part_logger('replica')


def run_elections(state: ReplicaState) -> None:
    """Start an election after each election timeout without a leader."""
    while state.running:
        handover = _wait_for_election_timeout(state)
        if not state.running:
            return
        if not state.is_voter or state.is_leader:
            sleep(state.heartbeat_seconds)
            continue
        try:
            _campaign(state, handover=handover)
        except StorageFailedError:
            return


def answer_vote_request(state: ReplicaState, request: VoteAsk) -> VoteReply:
    """Grant or reject a vote or a pre-vote."""
    check_header(state, request.header)
    if request.pre_vote:
        return VoteReply(answer_from(state), _would_grant_vote(state, request))
    with state.vote_file.lock:
        granted = _would_grant_vote(state, request)
        if granted:
            state.store_vote(
                request.header.term, request.header.sender.incarnation
            )
            state.set_role(Role.FOLLOWER, None)
            state.election_timer_reset_at = monotonic()
            # The log may have grown while the vote was synced. The
            # candidate's log must also contain the entries that this member
            # acknowledged in the meantime.
            granted = _is_up_to_date(state, request)
    return VoteReply(answer_from(state), granted)


def vote_handler(
    state: ReplicaState, request: VoteAsk, _: Channel
) -> VoteReply:
    """Handle a request for a vote or a pre-vote from another member."""
    return answer_vote_request(state, request)


def _wait_for_election_timeout(state: ReplicaState) -> bool:
    """Wait; return whether the leader requested the election instead."""
    timeout_seconds = uniform(
        state.election_seconds, state.election_seconds * 2
    )
    while state.running:
        silent_seconds = monotonic() - max(
            state.leader_contact_at, state.election_timer_reset_at
        )
        if silent_seconds >= timeout_seconds:
            return False
        if state.election_requested.wait(timeout_seconds - silent_seconds):
            state.election_requested.clear()
            return True
    return False


def _would_grant_vote(state: ReplicaState, request: VoteAsk) -> bool:
    term = request.header.term
    candidate = request.header.sender.incarnation
    if term < state.term or (request.pre_vote and term == state.term):
        return False
    if _has_live_leader(state) and not request.handover:
        return False
    voted_for = state.vote_file.record.voted_for
    if term == state.term and voted_for not in {'', candidate}:
        return False
    return _is_up_to_date(state, request)


def _has_live_leader(state: ReplicaState) -> bool:
    # A leader checks its own quorum and steps down without one.
    if state.is_leader:
        return True
    # A member that restarted may have followed a leader until just before.
    return monotonic() - state.leader_contact_at < state.election_seconds


def _is_up_to_date(state: ReplicaState, request: VoteAsk) -> bool:
    local_last = (last_term(state), state.log.last_index)
    return (request.last_term, request.last_index) >= local_last


def _campaign(state: ReplicaState, *, handover: bool) -> None:
    refresh_peers(state)
    state.set_role(Role.FOLLOWER, None)
    state.election_timer_reset_at = monotonic()
    state.local_identity.metrics.count('replica_elections', 'pre-vote')
    asked_term = state.term + 1
    if not handover and not _wins_vote(state, asked_term, pre_vote=True):
        return
    with state.vote_file.lock:
        if state.leader is not None or state.term >= asked_term:
            # Another member was elected during the pre-vote.
            return
        term = state.term + 1
        state.store_vote(term, state.incarnation)
        state.set_role(Role.CANDIDATE, None)
    state.local_identity.metrics.count('replica_elections', 'vote')
    won = _wins_vote(state, term, pre_vote=False, handover=handover)
    if won and state.term == term and state.role is Role.CANDIDATE:
        become_leader(state, term)


def _wins_vote(
    state: ReplicaState,
    term: int,
    *,
    pre_vote: bool,
    handover: bool = False,
) -> bool:
    voters = {member.incarnation for member in voters_of(state.members)}
    granted = {state.incarnation}
    peers = [peer for key, peer in state.peers.items() if key in voters]

    def request_vote_from(peer: Peer) -> None:
        request = VoteAsk(
            header_for(state, peer, term),
            state.log.last_index,
            last_term(state),
            pre_vote,
            handover,
        )
        if _request_vote(state, peer, request):
            granted.add(peer.member.incarnation)

    def has_quorum() -> bool:
        return is_quorum_of(state, granted)

    tasks = [spawn(request_vote_from, peer) for peer in peers]
    # Members that are down must not delay an election that is already won.
    for _ in iwait(tasks, timeout=state.election_seconds):
        if has_quorum():
            break
    return has_quorum()


def _request_vote(state: ReplicaState, peer: Peer, request: VoteAsk) -> bool:
    try:
        reply = call_peer(state, peer, request, VoteReply)
    except TrestleError as error:
        _log.debug(
            'Vote request to {} failed: {}.', peer.member.host, error.message
        )
        note_if_lost(state, peer, error)
        return False
    peer.heard_at = monotonic()
    # The peer's term may be higher than the local one, also after a pre-vote.
    state.adopt_term(reply.answer.term)
    return reply.granted
