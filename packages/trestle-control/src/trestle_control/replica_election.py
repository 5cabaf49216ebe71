"""Elections: pre-vote, vote, and the timer that starts them.

A member that hears no leader for an election timeout first asks whether it
would win (pre-vote). Nobody's term changes by that, and a member that hears
a leader answers no. So a host that returns from a long cut does not depose
the leader that the others follow.
"""

from random import uniform
from time import monotonic

from gevent import iwait, sleep, spawn

from trestle_control.control_errors import StorageFailedError
from trestle_control.membership import quorum_size, voters_of
from trestle_control.peer_calls import (
    answer_from,
    call_peer,
    check_header,
    header_for,
    refresh_peers,
)
from trestle_control.peers import Peer
from trestle_control.replica_leader import lead
from trestle_control.replica_log import last_term
from trestle_control.replica_messages import VoteAsk, VoteReply
from trestle_control.replica_state import ReplicaState, Role
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_links.connection import Channel

_log = part_logger('replica')


def run_elections(state: ReplicaState) -> None:
    """Start an election whenever no leader is heard for too long."""
    while state.running:
        handover = _wait_for_silence(state)
        if not state.running:
            return
        if not state.may_vote or state.is_leader:
            sleep(state.heartbeat_seconds)
            continue
        try:
            _campaign(state, handover=handover)
        except StorageFailedError:
            return


def take_vote_ask(state: ReplicaState, ask: VoteAsk) -> VoteReply:
    """Answer a request for a vote or a pre-vote."""
    check_header(state, ask.header)
    if ask.pre_vote:
        return VoteReply(answer_from(state), _would_vote(state, ask))
    with state.votes.lock:
        granted = _would_vote(state, ask)
        if granted:
            state.store_vote(ask.header.term, ask.header.sender.incarnation)
            state.set_role(Role.FOLLOWER, None)
            state.campaigned_at = monotonic()
            # The log may have grown while the vote was synced; what was
            # acknowledged meanwhile must be in the candidate's log, too.
            granted = _is_up_to_date(state, ask)
    return VoteReply(answer_from(state), granted)


def vote_handler(state: ReplicaState, ask: VoteAsk, _: Channel) -> VoteReply:
    """Answer a request for a vote that came over a link."""
    return take_vote_ask(state, ask)


def _wait_for_silence(state: ReplicaState) -> bool:
    timeout_seconds = uniform(
        state.election_seconds, state.election_seconds * 2
    )
    while state.running:
        silent_seconds = monotonic() - max(state.heard_at, state.campaigned_at)
        if silent_seconds >= timeout_seconds:
            return False
        if state.lead_now.wait(timeout_seconds - silent_seconds):
            state.lead_now.clear()
            return True
    return False


def _would_vote(state: ReplicaState, ask: VoteAsk) -> bool:
    term = ask.header.term
    candidate = ask.header.sender.incarnation
    if term < state.term or (ask.pre_vote and term == state.term):
        return False
    if _follows_live_leader(state) and not ask.handover:
        return False
    voted_for = state.votes.record.voted_for
    if term == state.term and voted_for not in {'', candidate}:
        return False
    return _is_up_to_date(state, ask)


def _follows_live_leader(state: ReplicaState) -> bool:
    # A leader checks its own quorum and steps down when it has none.
    if state.is_leader:
        return True
    # A restarted member may have heard one just before.
    return monotonic() - state.heard_at < state.election_seconds


def _is_up_to_date(state: ReplicaState, ask: VoteAsk) -> bool:
    own = (last_term(state), state.log.last_index)
    return (ask.last_term, ask.last_index) >= own


def _campaign(state: ReplicaState, *, handover: bool) -> None:
    refresh_peers(state)
    state.set_role(Role.FOLLOWER, None)
    state.campaigned_at = monotonic()
    state.me.metrics.count('replica_elections', 'pre-vote')
    if not handover and not _wins(state, state.term + 1, pre_vote=True):
        return
    with state.votes.lock:
        term = state.term + 1
        state.store_vote(term, state.incarnation)
        state.set_role(Role.CANDIDATE, None)
    state.me.metrics.count('replica_elections', 'vote')
    won = _wins(state, term, pre_vote=False, handover=handover)
    if won and state.term == term and state.role is Role.CANDIDATE:
        lead(state, term)


def _wins(
    state: ReplicaState,
    term: int,
    *,
    pre_vote: bool,
    handover: bool = False,
) -> bool:
    voters = {member.incarnation for member in voters_of(state.members)}
    granted = {state.incarnation}
    peers = [peer for key, peer in state.peers.items() if key in voters]

    def ask_peer(peer: Peer) -> None:
        ask = VoteAsk(
            header_for(state, peer, term),
            state.log.last_index,
            last_term(state),
            pre_vote,
            handover,
        )
        if _ask_vote(state, peer, ask):
            granted.add(peer.member.incarnation)

    def has_quorum() -> bool:
        return len(granted & voters) >= quorum_size(state.members)

    tasks = [spawn(ask_peer, peer) for peer in peers]
    # Members that are down must not hold up an election that is won.
    for _ in iwait(tasks, timeout=state.election_seconds):
        if has_quorum():
            break
    return has_quorum()


def _ask_vote(state: ReplicaState, peer: Peer, ask: VoteAsk) -> bool:
    try:
        reply = call_peer(state, peer, ask, VoteReply)
    except TrestleError as error:
        _log.debug('No vote from {}: {}.', peer.member.host, error.message)
        return False
    # After a pre-vote of a higher term the peer's term may be above ours.
    state.adopt_term(reply.answer.term)
    return reply.granted
