"""Steps on the usage of customers."""

from collections import defaultdict
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.steps.platform_path_steps import (
    ENTRIES,
    fleet_of,
    start_platform,
)
from testbed.load_streams import EntryStream
from testbed.usage_reports import DutyHost
from trestle_control import usage_duty
from trestle_control.apply import ControlStateMachine
from trestle_control.load_table import LoadTable
from trestle_control.replica_api import Lead
from trestle_control.usage_commands import MAX_WAITING_WINDOWS
from trestle_control.usage_duty import ReportOutcome
from trestle_entry.direct.engine_loads import EngineLoads
from trestle_links.agreed_clock import (
    FollowedClock,
    MedianClock,
    wall_clock_ms,
)
from trestle_links.usage_messages import RecordUsage

WINDOW_MS = 5000
NOW_MS = 1_000_000_000_000
WRONG_MS = 6000
LEADS = {
    'leads the first term': Lead(1, 60.0),
    'follows': Lead(0, 0.0),
    'has led for 3.4 s after another host': Lead(7, 3.4),
    'has led for 3.6 s after another host': Lead(7, 3.6),
    'leads, but is not confirmed before the call': Lead(1, 60.0),
    'leads, but is not confirmed before the record': Lead(1, 60.0),
}


def leader_table() -> LoadTable:
    """Return the table of a host that leads."""
    replica: Any = DutyHost(ControlStateMachine(), Lead(1, 60.0)).log
    return LoadTable(replica)


def start_entry(context: Context, number: int) -> None:
    """Start the process of an entry and let it report."""
    loads = EngineLoads(f'e{number}')
    loads.usage.window_ms = WINDOW_MS
    context.entries[number] = loads
    context.streams[number] = EntryStream(context.load_table, loads)


def begin(context: Context, number: int, customer: str, requests: int) -> None:
    """Let requests begin at an entry, and report them."""
    for _ in range(requests):
        context.entries[number].usage.note_begun(customer, NOW_MS)
    context.streams[number].report()


@given('two entries that report to a leader')
def step_entries(context: Context) -> None:
    """Open the streams of two entries."""
    context.load_table = leader_table()
    context.entries, context.streams = {}, {}
    for number in (1, 2):
        start_entry(context, number)


@when(
    '{first:d} requests of ana and {bos:d} of bo begin at entry 1, '
    'and {second:d} of ana at entry 2'
)
def step_begin(context: Context, first: int, bos: int, second: int) -> None:
    """Count them."""
    begin(context, 1, 'ana', first)
    begin(context, 1, 'bo', bos)
    begin(context, 2, 'ana', second)


@then('the leader counts {anas:d} of ana and {bos:d} of bo')
def step_counted(context: Context, anas: int, bos: int) -> None:
    """Check the sums of the window."""
    counts = context.load_table.usage.counts(NOW_MS // WINDOW_MS)
    assert counts == {'ana': anas, 'bo': bos}, counts


@when('entry 1 tells all of it again')
def step_again(context: Context) -> None:
    """Break the stream and open it again."""
    context.streams[1].end()
    context.streams[1] = EntryStream(context.load_table, context.entries[1])
    context.streams[1].report()


@when('entry 1 is killed, and 1 request of bo begins at its next process')
def step_killed(context: Context) -> None:
    """Start another process of the same host."""
    context.streams[1].end()
    start_entry(context, 1)
    begin(context, 1, 'bo', 1)


@when('another host leads, and both entries tell it what they have')
def step_new_leader(context: Context) -> None:
    """Open the streams to an empty table."""
    context.load_table = leader_table()
    for loads in context.entries.values():
        EntryStream(context.load_table, loads).report()


@given('the clocks of a leader and four entries, of which two are 6 s wrong')
def step_clocks(context: Context) -> None:
    """Tell the leader five clocks."""
    context.clock = MedianClock()
    for host, wrong_ms in enumerate((0, WRONG_MS, -WRONG_MS, 0)):
        context.clock.note(f'e{host}', wall_clock_ms() + wrong_ms)


@then(
    'the agreed time is right to {bound:d} ms at the leader and at each entry'
)
def step_agreed(context: Context, bound: int) -> None:
    """Compare with the time of this process."""
    told_ms = context.clock.unix_ms()
    entry_clock = FollowedClock()
    entry_clock.offset_ms += WRONG_MS
    entry_clock.follow(told_ms)
    for found in (told_ms, entry_clock.unix_ms()):
        assert abs(found - wall_clock_ms()) <= bound


@given('an entry that was told the time')
def step_told(context: Context) -> None:
    """Tell it once."""
    context.clock = FollowedClock()
    context.clock.follow(wall_clock_ms())


@when('it is told a time that is {seconds:d} s old')
def step_told_late(context: Context, seconds: int) -> None:
    """Deliver what a message held up says."""
    context.clock.follow(wall_clock_ms() - seconds * 1000)


@then('its clock is still right to {bound:d} ms')
def step_still_right(context: Context, bound: int) -> None:
    """Compare with the time of this process."""
    assert abs(context.clock.unix_ms() - wall_clock_ms()) <= bound


@given('a host that {leads}, and a window that has ended')
def step_duty(context: Context, leads: str) -> None:
    """Make a host that has counted."""
    patched = patch.object(usage_duty, 'sleep', lambda _seconds: None)
    patched.start()
    context.add_cleanup(patched.stop)
    context.machine = ControlStateMachine()
    context.host = DutyHost(context.machine, LEADS[leads])
    context.host.count(5)
    context.host.log.is_confirmed = 'before the call' not in leads
    context.host.log.takes_commands = 'before the record' not in leads


@when('it looks after the duty')
def step_look(context: Context) -> None:
    """Poll once."""
    context.host.poll()


@when('it looks after the duty {times:d} times')
def step_look_often(context: Context, times: int) -> None:
    """Poll so often."""
    for _ in range(times):
        context.host.poll()


@then('it has reported {count:d} windows')
def step_reported(context: Context, count: int) -> None:
    """Check the calls, and what they said."""
    sent = context.host.sent
    assert len(sent) == count, sent
    for report in sent:
        assert report.counts == {'ana': 5}, report
        assert report.window == context.host.window


@when('the platform does not answer, and the host looks after the duty')
def step_unanswered(context: Context) -> None:
    """Lose the answer to one call."""
    context.host.answers = [ReportOutcome.NOT_TAKEN]
    context.host.poll()


@when(
    'the platform answers that it is overtaken, and the host looks after '
    'the duty'
)
def step_overtaken(context: Context) -> None:
    """Answer the first call so."""
    context.host.answers = [ReportOutcome.OVERTAKEN]
    context.host.poll()


@when('it has led a new term for long')
def step_new_term(context: Context) -> None:
    """Lead again, later."""
    context.host.log.lead = Lead(5, 60.0)


@when('another host with other counts looks after the duty')
def step_successor(context: Context) -> None:
    """Let a successor with the same log act."""
    context.successor = DutyHost(context.machine, Lead(2, 60.0))
    context.machine.state.usage_recorded = context.host.window
    context.successor.count(9)
    context.successor.poll()


@then('both reports are the same but for their holder and number')
def step_same(context: Context) -> None:
    """Compare the calls."""
    (first,) = context.host.sent
    (second,) = context.successor.sent
    assert first[:2] == second[:2], (first, second)
    assert (first.fence, second.fence) == (1, 2)


@then('no window waits')
def step_none_waits(context: Context) -> None:
    """Check the state."""
    state = context.machine.state
    assert state.usage_waiting == {}
    assert state.usage_confirmed == context.host.window


@when('its last entry is gone')
def step_no_entry(context: Context) -> None:
    """Drop the stream."""
    context.host.loads.followers.clear()


@when('{count:d} windows are recorded and none is accepted')
def step_many(context: Context, count: int) -> None:
    """Apply the commands."""
    context.machine = ControlStateMachine()
    for window in range(1, count + 1):
        context.machine.apply(window, RecordUsage(window, {'ana': 1}))


@then('the last {count:d} wait, also in a copy of the state')
def step_bounded(context: Context, count: int) -> None:
    """Check the state and a copy from its snapshot."""
    copy = ControlStateMachine()
    copy.restore(context.machine.snapshot())
    for machine in (context.machine, copy):
        waiting = list(machine.state.usage_waiting)
        assert len(waiting) == count == MAX_WAITING_WINDOWS
        assert waiting[-1] == machine.state.usage_recorded


@given('a platform that takes reports of usage every second')
def step_platform(context: Context) -> None:
    """Start everything, with a short window."""
    start_platform(context, usage_window_s=1)


@when('{count:d} calls with the key "{key}" are served')
def step_calls(context: Context, count: int, key: str) -> None:
    """Call both entries by turns."""
    for _ in range(count):
        context.number += 1
        headers = {
            'Kingcuptrestle-Request-Id': f'u{context.number}',
            'Authorization': f'Bearer {key}',
        }
        entry = ENTRIES[context.number % len(ENTRIES)]
        answer = fleet_of(context).call_entry_with(
            entry, '/look/plain', headers
        )
        assert answer.status == 200, answer


@when('the control host that reports is killed')
def step_kill_holder(context: Context) -> None:
    """Wait for a report and kill who sent it."""
    fleet = fleet_of(context)
    fleet.wait_for(lambda: bool(fleet.usage_desk.reports), 'a report')
    context.processes.started[fleet.usage_desk.reports[-1].holder].kill()


@then('the platform has been told of {count:d} requests of {customer} in all')
def step_told_all(context: Context, count: int, customer: str) -> None:
    """Sum the figures of all windows."""
    fleet = fleet_of(context)

    def told() -> int:
        by_window = {
            report.window: report.counts.get(customer, 0)
            for report in fleet.usage_desk.reports
        }
        return sum(by_window.values())

    fleet.wait_for(lambda: told() >= count, f'{count} reported requests')
    assert told() == count, fleet.usage_desk.reports


@then('no window has two figures, and the numbers of the holders only grow')
def step_sound(context: Context) -> None:
    """Check all reports in the order in which they came."""
    reports = fleet_of(context).usage_desk.reports
    figures = defaultdict(set)
    holders = defaultdict(set)
    for report in reports:
        figures[report.window].add(tuple(report.counts.items()))
        holders[report.fence].add(report.holder)
    assert all(len(found) == 1 for found in figures.values()), reports
    assert all(len(found) == 1 for found in holders.values()), reports
    fences = [report.fence for report in reports]
    assert fences == sorted(fences), reports
    assert len(holders) > 1, reports
