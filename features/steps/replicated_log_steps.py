"""Steps on a group of log members as processes."""

from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import spawn

from testbed.log_group import HOSTS, LIMIT_SECONDS, LogGroup
from testbed.processes import poll_until

ELECTION_SECONDS = 0.6
STOP_SECONDS = 1.0


def start_group(context: Context, **settings: Any) -> LogGroup:
    """Start a group of three and wait for its leader."""
    group = LogGroup(context.processes, **settings)
    context.group = group
    context.add_cleanup(group.close)
    context.written = {}
    context.leader = group.start_and_wait()
    return group


def write(context: Context, host: str, count: int) -> None:
    """Send commands through a member and note those acknowledged."""
    for _ in range(count):
        key = f'lot-{len(context.written)}'
        context.group.put(host, key, f'by {host}')
        context.written[key] = f'by {host}'


def check_reads(context: Context, host: str) -> None:
    """Check that a member reads every acknowledged value."""
    context.group.wait_until_follows(host)
    for key, expected in context.written.items():
        reply = context.group.read(host, key)
        assert reply.value == expected, (host, key, reply)


@given('a group of three members')
def step_start(context: Context) -> None:
    start_group(context)


@when('{count:d} commands are sent through each member')
def step_write(context: Context, count: int) -> None:
    for host in HOSTS:
        write(context, host, count)


@when('all members are killed at once and started again')
def step_restart(context: Context) -> None:
    for host in HOSTS:
        context.group.process(host).kill()
    context.group.start_all()
    context.leader = context.group.leader()


@when('the leader is stopped while commands are sent')
def step_stop_leader(context: Context) -> None:
    group = context.group
    follower = next(host for host in HOSTS if host != context.leader)
    context.gaps = []

    def send() -> None:
        for number in range(300):
            started_at = monotonic()
            group.put(follower, f'lot-{number}', 'x')
            context.gaps.append(monotonic() - started_at)
            context.written[f'lot-{number}'] = 'x'

    sender = spawn(send)
    poll_until(lambda: len(context.gaps) > 50, LIMIT_SECONDS, 'commands')
    process = group.process(context.leader)
    process.terminate()
    assert process.wait() == 0
    sender.get(timeout=LIMIT_SECONDS)


@then('no command was refused for longer than an election')
def step_gaps(context: Context) -> None:
    assert max(context.gaps) < ELECTION_SECONDS, max(context.gaps)


@then('every member reads all of them')
def step_read(context: Context) -> None:
    for host in HOSTS:
        check_reads(context, host)


@then('every member that runs reads all of them')
def step_read_running(context: Context) -> None:
    for host in HOSTS:
        if context.group.process(host).running():
            check_reads(context, host)


@when('all members are asked to stop at once')
def step_stop_all(context: Context) -> None:
    group: LogGroup = context.group
    write(context, context.leader, 5)
    context.asked_at = monotonic()
    # The followers are gone before the leader, which counts on them.
    for host in sorted(HOSTS, key=lambda host: host == context.leader):
        group.process(host).terminate()


@then('the leader asked each other voter once and was gone within a second')
def step_gone(context: Context) -> None:
    process = context.group.process(context.leader)
    assert process.wait() == 0
    seconds = monotonic() - context.asked_at
    text = process.log_file.read_text(encoding='utf-8')
    asks = text.count('does not take over') + text.count('to lead.')
    print(f'{seconds:.2f} s, {asks} asks')
    assert asks <= len(HOSTS) - 1, asks
    assert seconds < STOP_SECONDS, seconds
