"""Steps on the changes of members that a leader decides, without a network."""

from time import monotonic
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from trestle_control.member_policy import next_members
from trestle_control.membership import (
    ListedHost,
    Member,
    MemberSet,
    find_member,
)
from trestle_control.peers import Peer
from trestle_control.replica_state import JoiningMember

ELECTION_SECONDS = 0.5
LAST_INDEX = 40


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
    context.state = SimpleNamespace(
        members=MemberSet('g', voters, hosts),
        members_index=LAST_INDEX,
        commit_index=LAST_INDEX,
        settings=SimpleNamespace(seeds=['s'], wanted_voters=wanted),
        election_seconds=ELECTION_SECONDS,
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
    no_link: Any = None
    peer = Peer(member, no_link)
    peer.acked_at = monotonic()
    peer.match_index = LAST_INDEX
    return peer


@when('voter {number:d} has been silent for {seconds:g} s')
def step_silent(context: Context, number: int, seconds: float) -> None:
    """Let a voter have answered last so long ago."""
    context.state.peers[f'id-{number}'].acked_at = monotonic() - seconds


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
