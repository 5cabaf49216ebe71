"""Steps on linearizable reads of one member while the leader changes."""

from collections.abc import Callable
from time import monotonic
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn, spawn_later

from testbed.log_fixtures import (
    LEADER,
    group_of,
    member_state,
    start_peer,
)
from trestle_control import replica_election
from trestle_control.log_records import EntryKind, LogEntry
from trestle_control.membership import MemberIdentity
from trestle_control.peer_calls import refresh_peers
from trestle_control.read_barrier import read_barrier
from trestle_control.replica_log import append_entries
from trestle_control.replica_messages import ReadIndexAsk, ReadIndexReply
from trestle_control.replica_state import ReplicaState, Role
from trestle_core.errors import TrestleError
from trestle_core.settings import MemberSettings
from trestle_links.codec import encode_message
from trestle_links.connection import Channel
from trestle_links.link_server import Handler

READ_INDEX = 1
SILENT = MemberIdentity('asenovgrad', 'third')
NEVER_SECONDS = 30.0


def answer_at_once(_ask: ReadIndexAsk, _channel: Channel) -> ReadIndexReply:
    """Confirm a read index, as a leader with a quorum does."""
    return ReadIndexReply(READ_INDEX, 0)


def answer_never(_ask: ReadIndexAsk, _channel: Channel) -> ReadIndexReply:
    """Accept a request like a leader that is paused."""
    sleep(NEVER_SECONDS)
    return ReadIndexReply(0, 0)


def listed_peer(
    context: Context, name: str, handler: Handler
) -> MemberSettings:
    """Start another member that answers reads; return where it listens."""
    server = start_peer(name, {ReadIndexAsk: handler})
    context.add_cleanup(server.stop)
    return MemberSettings(name, str(server.address))


def start_member(context: Context) -> ReplicaState:
    """Open one member of three that has applied the first entry."""
    others = (
        listed_peer(context, LEADER.host, answer_at_once),
        listed_peer(context, SILENT.host, answer_never),
    )
    state = member_state(context.folder, others)
    packed = encode_message(group_of(state))
    append_entries(state, [LogEntry(1, 2, EntryKind.MEMBERS, packed)])
    state.log.wait_synced(1)
    state.commit_index = READ_INDEX
    state.applied_index = READ_INDEX
    context.state = state
    return state


@given('a follower that knows no leader')
def step_follower(context: Context) -> None:
    start_member(context)


@given('a follower of a leader that answers nothing')
def step_silent_leader(context: Context) -> None:
    start_member(context).set_role(Role.FOLLOWER, SILENT)


@given('a leader whose peers do not answer')
def step_leader(context: Context) -> None:
    state = start_member(context)
    state.set_role(Role.LEADER, state.member_identity)
    refresh_peers(state)


def read(context: Context, limit_ms: int) -> None:
    """Read and keep the outcome and the time that it took."""
    started_at = monotonic()
    context.code = ''
    try:
        context.index = read_barrier(context.state, limit_ms / 1000)
    except TrestleError as error:
        context.code = error.code.code
    context.took_ms = (monotonic() - started_at) * 1000


def read_during(
    context: Context, limit_ms: int, after_ms: int, change: Callable[[], None]
) -> None:
    """Read while the member changes after a time."""
    reader = spawn(read, context, limit_ms)
    spawn_later(after_ms / 1000, change)
    reader.get(timeout=NEVER_SECONDS)


@when(
    'a read of {limit:d} ms arrives, and after {after:d} ms another '
    'member leads'
)
def step_read_then_leader(context: Context, limit: int, after: int) -> None:
    def follow() -> None:
        context.state.set_role(Role.FOLLOWER, LEADER)

    read_during(context, limit, after, follow)


@when('a read of {limit:d} ms arrives, and after {after:d} ms the member stops')
def step_read_then_stop(context: Context, limit: int, after: int) -> None:
    read_during(context, limit, after, context.state.end)


@when('a read of {limit:d} ms arrives and no member leads')
def step_read(context: Context, limit: int) -> None:
    read(context, limit)


@then('the read returned the read index of that leader')
def step_index(context: Context) -> None:
    assert not context.code, context.code
    assert context.index == READ_INDEX, context.index


@then('the read was refused with "{code}"')
def step_refused(context: Context, code: str) -> None:
    assert context.code == code, context.code


@then('it took less than {limit:d} ms')
def step_took_less(context: Context, limit: int) -> None:
    assert context.took_ms < limit, context.took_ms


@then('it took from {least:d} to {most:d} ms')
def step_took(context: Context, least: int, most: int) -> None:
    assert least <= context.took_ms <= most, context.took_ms


@when('it wins a pre-vote, and hears of a new {news} meanwhile')
def step_pre_vote(context: Context, news: str) -> None:
    """Let another member be elected while the pre-vote is counted."""
    state = context.state
    context.new_term = state.term + 1

    def win_vote(*_asked: object, **_options: object) -> bool:
        state.adopt_term(context.new_term)
        if news == 'leader':
            state.set_role(Role.FOLLOWER, LEADER)
        return True

    with patch.object(replica_election, '_wins_vote', win_vote):
        replica_election._campaign(state, handover=False)  # noqa: SLF001


@then('it is a follower of that term and has voted for nobody')
def step_gave_up(context: Context) -> None:
    """Check that the member did not become a candidate."""
    state = context.state
    assert state.role is Role.FOLLOWER
    assert state.term == context.new_term
    assert state.vote_file.record.voted_for == ''
