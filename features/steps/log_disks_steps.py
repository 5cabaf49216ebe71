"""Steps on log groups that lose processes, disks and members."""

from itertools import permutations
from random import Random
from resource import RLIMIT_FSIZE, prlimit
from shutil import copytree, rmtree
from time import monotonic

from behave import step, then, when
from behave.runner import Context
from gevent import sleep

from testbed.log_clients import Writers, error_of
from testbed.log_group import HOSTS, LIMIT_SECONDS, LogGroup
from testbed.processes import poll_until
from trestle_control.log_records import EntryKind, LogEntry, encode_record
from trestle_core.verdict import Verdict

SEED = 7
COMMANDS = 60
LARGE_BYTES = 300_000
ROOM_BYTES = 2000
REFUSED_STATUS = 3
WATCH_SECONDS = 2.0
FAR_INDEX = 1_000_000


def write_some(context: Context, through: str = '') -> None:
    """Acknowledge some commands and remember them."""
    if not hasattr(context, 'writers'):
        context.writers = Writers(context.group)
    for _ in range(COMMANDS):
        error = context.writers.send(through or context.leader)
        assert error is None, error


def choose_follower(context: Context) -> str:
    """Write some commands and choose a follower."""
    write_some(context)
    follower, other = (host for host in HOSTS if host != context.leader)
    context.follower, context.other = follower, other
    return follower


def last_segment(group: LogGroup, host: str) -> bytes:
    """Return the content of a member's last segment."""
    return sorted(group.data_folder(host).glob('log-*'))[-1].read_bytes()


def tear_tail(group: LogGroup, host: str, random: Random) -> None:
    """Leave part of a record that was being written when a crash came."""
    path = sorted(group.data_folder(host).glob('log-*'))[-1]
    entry = LogEntry(FAR_INDEX, 1, EntryKind.COMMAND, b'x' * ROOM_BYTES)
    record = encode_record(entry, 0)
    with path.open('ab') as file:
        file.write(record[: random.randrange(1, len(record))])


@when('all members are killed in the middle of writes {times:d} times')
def step_kill_all(context: Context, times: int) -> None:
    group: LogGroup = context.group
    random = Random(SEED)
    writers = Writers(group)
    context.writers = writers
    for host in HOSTS:
        writers.start(host, clients=4)
    for _ in range(times):
        before = len(writers.acknowledged)
        poll_until(
            lambda: len(writers.acknowledged) > before + COMMANDS,
            LIMIT_SECONDS,
            'commands',
        )
        sleep(random.random() / 10)
        for host in HOSTS:
            group.process(host).popen.kill()
        for host in HOSTS:
            group.process(host).wait()
            tear_tail(group, host, random)
        context.leader = group.start_and_wait()
    writers.stop()


@then('every answered command is true on every member')
def step_all_true(context: Context) -> None:
    context.group.leader()
    for host in HOSTS:
        context.group.wait_until_follows(host)
        context.writers.check(host)


@when("a follower's log is damaged in the middle")
def step_damage(context: Context) -> None:
    group: LogGroup = context.group
    host = choose_follower(context)
    group.process(host).kill()
    path = sorted(group.data_folder(host).glob('log-*'))[0]
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 1
    path.write_bytes(bytes(content))
    group.start(host)


@then('the follower refuses to start with code {code}')
def step_refuses(context: Context, code: str) -> None:
    process = context.group.process(context.follower)
    assert process.wait(LIMIT_SECONDS) == REFUSED_STATUS
    assert f'{code}: ' in process.log_tail(), process.log_tail()


@then('the other members still take commands')
def step_others(context: Context) -> None:
    context.leader = context.group.leader((context.leader, context.other))
    write_some(context, context.other)


@when("the leader's disk takes no more")
def step_full_disk(context: Context) -> None:
    group: LogGroup = context.group
    choose_follower(context)
    # The limit counts for every file, so the log must be the longest one.
    group.put(context.leader, 'large', 'x' * LARGE_BYTES)
    limit = len(last_segment(group, context.leader)) + ROOM_BYTES
    process = group.process(context.leader)
    prlimit(process.popen.pid, RLIMIT_FSIZE, (limit, limit))
    context.error = error_of(
        lambda: group.put(context.leader, 'too-large', 'x' * LARGE_BYTES)
    )


@then('the command ends with code {code}, which proves nothing')
def step_error(context: Context, code: str) -> None:
    assert context.error is not None, 'the command was acknowledged'
    assert context.error.code.code == code, context.error
    assert context.error.verdict is Verdict.MAY_HAVE_RUN


@then('the member has stopped with the code in its log')
def step_stopped(context: Context) -> None:
    process = context.group.process(context.leader)
    assert process.wait(LIMIT_SECONDS) == REFUSED_STATUS
    assert 'storage-failed: ' in process.log_tail(), process.log_tail()
    stopped = context.leader
    context.leader = context.group.leader((context.follower, context.other))
    write_some(context)
    context.group.start(stopped)


def lose_disk(group: LogGroup, host: str) -> None:
    """Kill a member and empty its data folder."""
    group.process(host).kill()
    rmtree(group.data_folder(host))


@when('a follower loses its disk and cannot catch up')
def step_lose_disk(context: Context) -> None:
    group: LogGroup = context.group
    host = choose_follower(context)
    lose_disk(group, host)
    # It can announce itself; nobody reaches it with entries.
    for source, target in permutations(HOSTS, 2):
        if target == host:
            group.set_fault(source, target, 'drop')
    group.start(host)

    def is_learner() -> bool:
        members = group.group_status(context.leader).members
        return any(
            member.host == host and not member.voter for member in members
        )

    poll_until(is_learner, LIMIT_SECONDS, f'{host} is a learner')


@then('it is a learner and losing a second host is not safe')
def step_not_safe(context: Context) -> None:
    limit = monotonic() + WATCH_SECONDS
    while monotonic() < limit:
        status = context.group.group_status(context.other)
        assert not status.second_loss_safe, status
        listed = [one for one in status.members if one.host == context.follower]
        assert not listed[-1].voter, listed
        sleep(0.05)
    write_some(context)


@when('it can catch up')
def step_pass(context: Context) -> None:
    pass_all(context.group)


def pass_all(group: LogGroup) -> None:
    """End every fault."""
    for source, target in permutations(HOSTS, 2):
        group.set_fault(source, target, 'pass')


@then('it is a voter and losing a second host is safe')
def step_safe(context: Context) -> None:
    group: LogGroup = context.group

    def is_safe() -> bool:
        return group.group_status(context.other).second_loss_safe

    poll_until(is_safe, LIMIT_SECONDS, 'safe')
    members = group.group_status(context.other).members
    assert sorted(member.host for member in members) == sorted(HOSTS)
    assert all(member.voter for member in members), members


@when('the leader loses its disk, too')
def step_lose_leader(context: Context) -> None:
    group: LogGroup = context.group
    lost = context.leader
    lose_disk(group, lost)
    context.leader = group.leader((context.follower, context.other))
    context.writers.check(context.follower)
    context.writers.check(context.other)
    group.start(lost)


@step('the leader is killed')
def step_kill_leader(context: Context) -> None:
    context.group.process(context.leader).kill()


@then('the group takes no command and no read')
def step_waits(context: Context) -> None:
    group: LogGroup = context.group
    pass_all(group)
    limit = monotonic() + WATCH_SECONDS
    while monotonic() < limit:
        for host in (context.follower, context.other):
            assert context.writers.send(host, seconds=0.3) is not None
            assert error_of(lambda: group.read(host, 'lot-0', seconds=0.3))


@when('the leader is started again and all links pass')
def step_start_leader(context: Context) -> None:
    pass_all(context.group)
    context.group.start(context.leader)


@when('two members lose their disks at once')
def step_lose_two(context: Context) -> None:
    group: LogGroup = context.group
    choose_follower(context)
    lost = (context.leader, context.follower)
    for host in lost:
        group.process(host).popen.kill()
    for host in lost:
        group.process(host).wait()
        rmtree(group.data_folder(host))
        group.start(host)
    context.lost = lost


@then('the new identities belong to no group and take no command')
def step_no_group(context: Context) -> None:
    group: LogGroup = context.group
    for host in context.lost:
        poll_until(lambda: group.status(host), LIMIT_SECONDS, f'{host} answers')
    limit = monotonic() + WATCH_SECONDS
    while monotonic() < limit:
        for host in context.lost:
            status = group.status(host)
            assert status and status.group == '', status
            assert context.writers.send(host, seconds=0.3) is not None


@when("a follower's disk is replaced by a copy of its past")
def step_old_copy(context: Context) -> None:
    group: LogGroup = context.group
    host = choose_follower(context)
    folder = group.data_folder(host)
    copy = folder.with_suffix('.copy')
    group.process(host).kill()
    copytree(folder, copy)
    group.start(host)
    group.wait_until_follows(host)
    write_some(context)
    context.writers.check(host)
    group.process(host).kill()
    rmtree(folder)
    copytree(copy, folder)
    group.start(host)


@when('a follower is removed through another member')
def step_remove(context: Context) -> None:
    group: LogGroup = context.group
    host = choose_follower(context)
    group.remove_host(host, context.other)
    changed = group.remove_host(host, context.leader)
    assert host not in changed.hosts


@then('it stays out while it runs')
def step_stays_out(context: Context) -> None:
    limit = monotonic() + WATCH_SECONDS * 2
    while monotonic() < limit:
        members = context.group.group_status(context.other).members
        hosts = {member.host for member in members}
        assert hosts == {context.leader, context.other}, hosts
        sleep(0.05)


@when('it is added again through another member')
def step_add(context: Context) -> None:
    changed = context.group.add_host(context.follower, context.other)
    assert context.follower in changed.hosts


@when('a follower is killed')
def step_kill_follower(context: Context) -> None:
    host = choose_follower(context)
    context.group.process(host).kill()
    sleep(WATCH_SECONDS / 2)


@then('removing the other follower is refused with code {code}')
def step_removal_refused(context: Context, code: str) -> None:
    group: LogGroup = context.group
    error = error_of(lambda: group.remove_host(context.other, context.leader))
    assert error and error.code.code == code, error
    assert error.verdict is Verdict.NOT_RUN
