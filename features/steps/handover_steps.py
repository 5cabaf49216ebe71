"""Steps on the handover of a leader whose voters are stopping, too."""

from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import spawn_later

from testbed.log_fixtures import (
    LEADER,
    NO_CHANNEL,
    group_of,
    header_of,
    member_state,
    start_peer,
)
from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.peer_calls import refresh_peers
from trestle_control.replica_follower import lead_now_handler
from trestle_control.replica_handover import hand_over
from trestle_control.replica_log import append_entries
from trestle_control.replica_messages import LeadNow
from trestle_control.replica_state import Role
from trestle_core.errors import TrestleError
from trestle_core.settings import MemberSettings
from trestle_links.codec import encode_message
from trestle_links.connection import Channel
from trestle_links.link_messages import Done

END_SECONDS = 0.01


def ending_voter(context: Context, name: str) -> MemberSettings:
    """Start a voter that accepts the handover and ends at once."""

    def lead_now(_request: LeadNow, _channel: Channel) -> Done:
        context.asks += 1
        spawn_later(END_SECONDS, server.stop)
        return Done()

    server = start_peer(name, {LeadNow: lead_now})
    context.add_cleanup(server.stop)
    return MemberSettings(name, str(server.address))


@given('a leader whose voters accept the handover and end')
def step_leader(context: Context) -> None:
    context.asks = 0
    names = (LEADER.host, 'asenovgrad')
    voters = [ending_voter(context, name) for name in names]
    state = member_state(context.folder, voters)
    packed = encode_message(group_of(state))
    append_entries(state, [LogEntry(1, 2, EntryKind.MEMBERS, packed)])
    state.log.wait_synced(1)
    state.set_role(Role.LEADER, state.member_identity)
    refresh_peers(state)
    for peer in state.peers.values():
        peer.acked_at = monotonic()
        peer.match_index = 1
    context.state = state


@when('the leader hands over')
def step_hand_over(context: Context) -> None:
    started_at = monotonic()
    hand_over(context.state)
    context.took_ms = (monotonic() - started_at) * 1000


@then('it asked {asks:d} voters and took less than {limit:d} ms')
def step_took(context: Context, asks: int, limit: int) -> None:
    assert context.asks == asks, context.asks
    assert context.took_ms < limit, context.took_ms


@given('a voter that is stopping')
def step_stopping(context: Context) -> None:
    context.state = member_state(context.folder)
    context.state.end()


@when('it is asked to lead')
def step_ask(context: Context) -> None:
    request = LeadNow(header_of(context.state, 2))
    context.declined = False
    try:
        lead_now_handler(context.state, request, NO_CHANNEL)
    except TrestleError:
        context.declined = True


@then('it declines and starts no election')
def step_declined(context: Context) -> None:
    state: Any = context.state
    assert context.declined
    assert not state.election_requested.is_set()
