"""Requests between members: links, headers, identity checks and quorums."""

from time import monotonic
from typing import TypeVar

from trestle_control.membership import MemberIdentity
from trestle_control.peers import Peer
from trestle_control.replica_messages import PeerAnswer, PeerHeader
from trestle_control.replica_quorum import quorum_value
from trestle_control.replica_state import ReplicaState
from trestle_core.addresses import Address, resolve_address
from trestle_core.errorcodes import WRONG_MEMBER
from trestle_core.errors import TrestleError
from trestle_links.codec import Message
from trestle_links.connection import CallTimeoutError
from trestle_links.link import Link

Reply = TypeVar('Reply')


def refresh_peers(state: ReplicaState) -> None:
    """Update the peer table to the latest member set."""
    others = {
        member.incarnation: member
        for member in state.members.members
        if member.incarnation != state.incarnation
    }
    for incarnation in set(state.peers) - set(others):
        state.peers.pop(incarnation).link.close()
    for incarnation, member in others.items():
        peer = state.peers.get(incarnation)
        if peer is None:
            peer = Peer(member, link_to(state, member.identity))
            peer.start_term(state.log.last_index)
            if state.is_leader:
                peer.heard_at = monotonic()
            state.peers[incarnation] = peer
        peer.member = member


def link_to(state: ReplicaState, identity: MemberIdentity) -> Link:
    """Create a separate link to a member.

    The address is resolved again at each connect.
    """

    def resolve() -> Address:
        address = state.address_of(identity)
        if address is None:
            raise ValueError(f'{identity.host} has no address')
        return resolve_address(address)

    return Link(resolve, state.local_identity)


def header_for(state: ReplicaState, peer: Peer, term: int) -> PeerHeader:
    """Return the header of a request to a peer."""
    return PeerHeader(
        group=state.members.group,
        term=term,
        sender=state.member_identity,
        to_incarnation=peer.member.incarnation,
        acked_index=peer.match_index,
    )


def call_peer(
    state: ReplicaState,
    peer: Peer,
    body: Message,
    reply_type: type[Reply],
) -> Reply:
    """Call a peer, with the election timeout as time limit.

    Raises what `Link.call` raises. After a timeout the connection is closed,
    because it may be half open; the next call opens a new one.
    """
    try:
        return peer.link.call(body, reply_type, state.election_seconds)
    except CallTimeoutError:
        peer.link.close()
        raise


def check_header(state: ReplicaState, header: PeerHeader) -> None:
    """Reject a request to another incarnation or from another group.

    Raises `TrestleError`.
    """
    group = state.members.group
    if header.to_incarnation != state.incarnation:
        state.local_identity.metrics.count(
            'replica_refusals', 'other-incarnation'
        )
        raise TrestleError(
            WRONG_MEMBER, 'The request is addressed to another incarnation.'
        )
    if group and header.group != group:
        state.local_identity.metrics.count('replica_refusals', 'other-group')
        raise TrestleError(WRONG_MEMBER, 'The request is from another group.')


def answer_from(state: ReplicaState) -> PeerAnswer:
    """Return the identity and term for a reply to a peer."""
    return PeerAnswer(state.members.group, state.term, state.incarnation)


def quorum_acked_at(state: ReplicaState, now: float) -> float:
    """Return the start time of the last round that a quorum acknowledged.

    A quorum of the voters followed this member at some time after it.
    """
    acked_at = {key: peer.acked_at for key, peer in state.peers.items()}
    return quorum_value(state, {**acked_at, state.incarnation: now})


def quorum_match_index(state: ReplicaState) -> int:
    """Return the highest index that is durable on a quorum, 0 without one."""
    indexes = {
        key: float(peer.match_index) for key, peer in state.peers.items()
    }
    synced_index = float(state.log.synced_index)
    index = quorum_value(state, {**indexes, state.incarnation: synced_index})
    return int(max(0.0, index))
