"""Steps on commands that a host decided as leader, without a network."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from testbed.log_fixtures import member_state
from trestle_control import leader_clock
from trestle_control.apply import ControlStateMachine
from trestle_control.backend_list import BackendListing, BackendListReader
from trestle_control.control_errors import NotLeaderError
from trestle_control.host_list import HostList, HostListReader, ListedHost
from trestle_control.leader_clock import LeaderClock
from trestle_control.replica import Replica
from trestle_control.replica_api import Lead
from trestle_control.replica_state import Role
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.claim_messages import AdvanceClock
from trestle_links.codec import Message
from trestle_links.direct_messages import Backend, ListBackends
from trestle_links.fleet_messages import WithdrawEndpoint

TERM = 2
NO_LOCK: Any = None
BACKEND = Backend('i-1', 'desk', '127.0.0.1:1', 'z1', False, '', 6)


class FollowedLog:
    """A log that commits also what a follower forwards to its leader."""

    def __init__(self) -> None:
        """Lead."""
        self.lead = Lead(TERM, 60.0)
        self.committed: list[Message] = []
        self.codes: list[str] = []

    @property
    def is_leader(self) -> bool:
        """Whether this host leads."""
        return bool(self.lead.term)

    def lose_lead(self) -> None:
        """Follow another leader from now on."""
        self.lead = Lead(0, 0)

    def submit(self, command: Message, _timeout_seconds: float) -> Message:
        """Commit through whoever leads."""
        self.committed.append(command)
        return command

    def submit_as_leader(
        self, command: Message, term: int, timeout_seconds: float
    ) -> Message:
        """Commit only in that term."""
        if self.lead.term != term:
            self.codes.append(NotLeaderError(None).code.code)
            raise NotLeaderError(None)
        return self.submit(command, timeout_seconds)


def make_reader(context: Context, what: str) -> Callable[[], None]:
    """Return what reads a list once and submits what it read."""
    replica: Any = context.replica
    machine = ControlStateMachine()
    if what == 'back ends':

        def read_backends() -> BackendListing:
            context.while_reading()
            return BackendListing([BACKEND])

        return BackendListReader(
            read_backends, machine, replica, Metrics()
        ).refresh

    def read_hosts() -> HostList:
        context.while_reading()
        return HostList([ListedHost('side-1', 'leaving')])

    known: Any = SimpleNamespace(endpoints={'side-1': None}, withdrawals={})
    machine.state = known
    return HostListReader(
        read_hosts, 1.0, machine, replica, Metrics()
    ).apply_list


@given('a host that leads term 2 and reads the list of {what}')
def step_reader(context: Context, what: str) -> None:
    """Prepare a reading during which something may happen."""
    context.replica = FollowedLog()
    context.while_reading = list
    context.act = make_reader(context, what)


@given('a host that leads term 2 and has measured the clock')
def step_clock(context: Context) -> None:
    """Prepare a clock whose command is measured before the lead is lost."""
    context.replica = FollowedLog()
    clock = LeaderClock(ControlStateMachine(), context.replica, 1000)

    def wall_clock() -> float:
        context.while_reading()
        return 1.0

    patched = patch.object(leader_clock, 'time', wall_clock)
    patched.start()
    context.add_cleanup(patched.stop)
    context.act = clock.advance


@when('it is frozen while it reads, and another host leads meanwhile')
@when('another host leads as it submits that')
def step_frozen(context: Context) -> None:
    """Go on as a follower."""
    context.while_reading = context.replica.lose_lead
    context.act()


@when('it reads and still leads')
def step_leads(context: Context) -> None:
    """Read without a change."""
    context.act()


@then('nothing is committed, and the attempt is refused as "{code}"')
def step_refused(context: Context, code: str) -> None:
    """Check that nothing went through the successor."""
    assert context.replica.committed == [], context.replica.committed
    assert context.replica.codes == [code], context.replica.codes


@then('what it read is committed')
def step_committed(context: Context) -> None:
    """Check the command."""
    kinds = [type(command) for command in context.replica.committed]
    assert kinds in ([ListBackends], [WithdrawEndpoint]), kinds
    assert AdvanceClock not in kinds


@given('a member that leads term 4')
def step_member(context: Context) -> None:
    """Open a member and let it lead."""
    state = member_state(context.folder)
    state.store_vote(4, state.incarnation)
    state.set_role(Role.LEADER, state.member_identity)
    context.replica = Replica(state, NO_LOCK)


@when('it submits what it decided in term {term:d}')
def step_submit(context: Context, term: int) -> None:
    """Submit a list."""
    context.code = ''
    try:
        context.replica.submit_as_leader(ListBackends([BACKEND]), term, 0.1)
    except TrestleError as error:
        context.code = error.code.code


@then('the submission is refused as "{code}"')
def step_submission(context: Context, code: str) -> None:
    """Check the refusal, and that nothing was appended."""
    assert context.code == code, context.code
    assert context.replica.state.log.last_index == 0
