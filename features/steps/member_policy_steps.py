"""Steps on the changes of members that a leader decides, without a network."""

from math import inf
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from trestle_control import member_silence
from trestle_control.member_policy import next_members
from trestle_control.member_silence import (
    note_silent_members,
    silent_members,
    take_over_silence,
)
from trestle_control.membership import (
    ListedHost,
    Member,
    MemberIdentity,
    MemberSet,
    find_member,
)
from trestle_control.peers import Peer
from trestle_control.replica_messages import AppendAsk, PeerHeader
from trestle_control.replica_state import JoiningMember
from trestle_links.codec import decode_message, encode_message

ELECTION_SECONDS = 0.5
HEARTBEAT_SECONDS = 0.1
LONG_SECONDS = 3000.0
LAST_INDEX = 40
NO_LINK: Any = None


@given('{count:d} voters of which {wanted:d} are wanted, led for {seconds:g} s')
def step_voters(
    context: Context, count: int, wanted: int, seconds: float
) -> None:
    """Set up a leader, the last voter but one, that hears of all others."""
    voters = [
        Member(f'core-{number}', f'id-{number}', f'address-{number}', True)
        for number in range(1, count + 1)
    ]
    hosts = [ListedHost(voter.host, voter.address) for voter in voters]
    leader = f'id-{count - 1}'
    context.now = monotonic()
    context.state = SimpleNamespace(
        members=MemberSet('g', voters, hosts),
        members_index=LAST_INDEX,
        commit_index=LAST_INDEX,
        settings=SimpleNamespace(seeds=['s'], wanted_voters=wanted),
        election_seconds=ELECTION_SECONDS,
        heartbeat_seconds=HEARTBEAT_SECONDS,
        leading_since=monotonic() - seconds,
        incarnation=leader,
        joining_members={},
        peers={
            voter.incarnation: make_peer(voter)
            for voter in voters
            if voter.incarnation != leader
        },
    )


def make_peer(member: Member) -> Peer:
    """Return a peer that has just answered and has the whole log."""
    peer = Peer(member, NO_LINK)
    peer.acked_at = monotonic()
    peer.match_index = LAST_INDEX
    return peer


@when('voter {number:d} has been silent for {seconds:g} s')
def step_silent(context: Context, number: int, seconds: float) -> None:
    """Let a voter have answered last so long ago."""
    context.state.peers[f'id-{number}'].acked_at = context.now - seconds


@when('voter {number:d} is back')
def step_is_back(context: Context, number: int) -> None:
    """Let a voter answer again."""
    context.state.peers[f'id-{number}'].acked_at = monotonic()


@when('voter {number:d} lacks the last member set')
def step_lacks(context: Context, number: int) -> None:
    """Let a voter be behind by one entry."""
    context.state.peers[f'id-{number}'].match_index = LAST_INDEX - 1


@when('the host of voter {number:d} announces another identity')
def step_announces(context: Context, number: int) -> None:
    """Let it be a learner that has not caught up."""
    host, address = f'core-{number}', f'address-{number}'
    state = context.state
    learner = Member(host, 'id-new', address, voter=False)
    state.joining_members[host] = JoiningMember('id-new', monotonic(), address)
    state.members = state.members._replace(
        members=[*state.members.members, learner]
    )
    state.peers['id-new'] = make_peer(learner)
    state.peers['id-new'].match_index = 0


@when(
    'the leader before it had not heard of voter {number:d} for {seconds:g} s'
)
def step_not_heard(context: Context, number: int, seconds: float) -> None:
    """Let a voter have answered neither leader."""
    peer = context.state.peers[f'id-{number}']
    peer.start_term(LAST_INDEX)
    peer.heard_at = monotonic() - seconds


@when('voter {number:d}, which it had heard of, did not answer the election')
def step_dark(context: Context, number: int) -> None:
    """Let a voter go dark, and this host win the election."""
    state = context.state
    peer = state.peers[f'id-{number}']
    peer.start_term(LAST_INDEX)
    peer.heard_at = -inf
    state.silent_since = {
        incarnation: known.heard_at
        for incarnation, known in state.peers.items()
        if known.acked_at == -inf and known is not peer
    }
    state.leader_contact_at = max(state.silent_since.values())
    with patch.object(member_silence, 'monotonic', lambda: state.leading_since):
        take_over_silence(state)


@when('it fell silent itself {seconds:g} s ago as voter {number:d}')
def step_leader_silent(context: Context, seconds: float, number: int) -> None:
    """Let the leader before be dark."""
    step_not_heard(context, number, seconds)


@then('the heartbeats say so, and the next leader counts from there')
def step_handed_on(context: Context) -> None:
    """Hand the knowledge to a follower that leads next."""
    told = silent_members(context.state)
    assert [member.incarnation for member in told] == ['id-1'], told
    request = AppendAsk(
        PeerHeader('g', 1, MemberIdentity('core-5', 'id-5'), 'id-2'),
        1,
        1,
        [],
        1,
        told,
    )
    received = decode_message(encode_message(request))
    assert received == request, received
    context.following = SimpleNamespace(
        leader_contact_at=monotonic(),
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silent_since={'id-3': monotonic() - LONG_SECONDS},
        peers={
            f'id-{number}': Peer(
                Member(f'core-{number}', f'id-{number}', '', True), NO_LINK
            )
            for number in (1, 3, 5)
        },
    )
    note_silent_members(context.following, 'id-5', told)
    take_over_silence(context.following)
    seconds = context.following.peers['id-1'].unheard_seconds()
    assert 3.4 < seconds < 4, seconds


@then('a voter that answered the leader before it counts as heard of')
def step_heard(context: Context) -> None:
    """Check another voter, and the leader before itself."""
    for incarnation in ('id-3', 'id-5'):
        seconds = context.following.peers[incarnation].unheard_seconds()
        assert seconds < ELECTION_SECONDS, (incarnation, seconds)
    heard = {
        incarnation: peer.last_heard_at
        for incarnation, peer in context.following.peers.items()
    }
    # Nobody listened to that voter before the election; the leader before was
    # silent already.
    assert heard['id-1'] < heard['id-5'] < heard['id-3'], heard


@then('no member is changed')
def step_unchanged(context: Context) -> None:
    """Check that the leader proposes nothing."""
    changed = next_members(context.state)
    assert changed is None, changed


@then('voter {number:d} is removed with its host')
def step_removed(context: Context, number: int) -> None:
    """Check that only this voter and its host go."""
    check_removed(context, number, is_listed=False)


@then('voter {number:d} is removed, but not its host')
def step_removed_only(context: Context, number: int) -> None:
    """Check that the host may vote under its other identity."""
    check_removed(context, number, is_listed=True)


def check_removed(context: Context, number: int, *, is_listed: bool) -> None:
    """Check the next member set."""
    before = context.state.members
    changed = next_members(context.state)
    assert changed is not None
    assert find_member(changed, f'id-{number}') is None, changed
    assert len(changed.members) == len(before.members) - 1, changed
    hosts = {listed.host for listed in changed.hosts}
    assert (f'core-{number}' in hosts) is is_listed, hosts
