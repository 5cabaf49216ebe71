"""Steps on log groups under cuts and pauses."""

from itertools import count
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import Greenlet, joinall, sleep, spawn

from testbed.log_clients import Answer, Writers, try_read
from testbed.log_group import HOSTS, LIMIT_SECONDS, LogGroup
from testbed.processes import poll_until

SHARED = 'price-book'
READERS = 10
WRITERS = 10
# A stamp and the time of its arrival are rounded and measured apart.
READ_PAUSE_SECONDS = 0.005
FIRST_CUT_OFF = 10_000
STAMP_SLACK_SECONDS = 0.05


class Reader:
    """Reads the shared value again and again, both ways."""

    def __init__(self, group: LogGroup, host: str) -> None:
        """Start one greenlet for each way."""
        self.answers: list[Answer] = []
        self.local_answers: list[Answer] = []
        self.running = True
        self.tasks = [
            spawn(self._run, group, host, self.answers, False),
            spawn(self._run, group, host, self.local_answers, True),
        ]

    def stop(self) -> None:
        """Wait for the last answers."""
        self.running = False
        joinall(self.tasks, raise_error=True)

    def _run(
        self, group: LogGroup, host: str, answers: list[Answer], local: bool
    ) -> None:
        while self.running:
            answer = try_read(group, host, SHARED, local=local, seconds=0.1)
            if answer:
                answers.append(answer)
            sleep(READ_PAUSE_SECONDS)


def others_than(host: str) -> tuple[str, ...]:
    """Return the other two members."""
    return tuple(other for other in HOSTS if other != host)


def replace_shared(context: Context) -> None:
    """Let the majority elect a leader and replace the shared value."""
    context.new_leader = context.group.leader(others_than(context.leader))
    context.group.put(context.new_leader, SHARED, 'new')
    context.replaced_at = monotonic()


def start_readers(
    context: Context, host: str, *, local: bool, seconds: float
) -> 'list[Greenlet[..., Any]]':
    """Send reads of the shared value to a member."""
    return [
        spawn(
            try_read, context.group, host, SHARED, local=local, seconds=seconds
        )
        for _ in range(READERS)
    ]


def answers_of(tasks: 'list[Greenlet[..., Any]]') -> list[Answer]:
    """Wait for reads and return those that were answered."""
    joinall(tasks, timeout=LIMIT_SECONDS)
    return [task.get(block=False) for task in tasks if task.value]


@given('clients write through every member')
def step_clients(context: Context) -> None:
    group: LogGroup = context.group
    group.put(context.leader, SHARED, 'old')
    context.writers = Writers(group)
    for host in HOSTS:
        context.writers.start(host, clients=2)
    poll_until(
        lambda: len(context.writers.acknowledged) > WRITERS,
        LIMIT_SECONDS,
        'commands',
    )
    context.writers.stop()


@when('the leader is cut off silently for {seconds:d} seconds')
def step_cut_leader(context: Context, seconds: int) -> None:
    group: LogGroup = context.group
    cut_at = monotonic()
    group.isolate(context.leader)
    context.cut_off = Writers(group)
    context.cut_off.numbers = count(FIRST_CUT_OFF)
    context.cut_off.start(context.leader, WRITERS, seconds=0.3)
    reader = Reader(group, context.leader)
    replace_shared(context)
    sleep(max(0, seconds - (monotonic() - cut_at)))
    context.cut_off.stop()
    reader.stop()
    context.answers = [
        answer
        for answer in reader.answers
        if answer.asked_at > context.replaced_at
    ]
    context.local = reader.local_answers
    context.cut_status = group.status(context.leader)
    group.isolate(context.leader, 'pass')


@then('no read on its side was stale')
def step_no_stale(context: Context) -> None:
    stale = [answer for answer in context.answers if answer.value != 'new']
    assert not stale, stale[:3]
    assert context.local
    check_stamps(context)


def check_stamps(context: Context) -> None:
    """Check that no stamp claims an old value after it was replaced."""
    old = [answer for answer in context.local if answer.value == 'old']
    for answer in old:
        fresh_at = answer.answered_at - answer.age_seconds
        assert fresh_at < context.replaced_at + STAMP_SLACK_SECONDS, answer


@then('the cut leader has stepped down')
def step_stepped_down(context: Context) -> None:
    assert context.cut_status.role != 'leader', context.cut_status


@then('nothing that was sent on its side is in force after its return')
def step_nothing_in_force(context: Context) -> None:
    group: LogGroup = context.group
    cut_off: Writers = context.cut_off
    sent = cut_off.refused + cut_off.unknown
    assert sent, 'the clients sent nothing'
    assert not cut_off.acknowledged, cut_off.acknowledged
    group.wait_until_follows(context.leader)
    for host in HOSTS:
        group.read(host, SHARED)
        for key in sent:
            assert group.read(host, key, local=True).value == '', (host, key)


@then('every acknowledged command is read through every member')
def step_all_read(context: Context) -> None:
    for host in HOSTS:
        context.group.wait_until_follows(host)
        context.writers.check(host)


@when('the leader is paused for {seconds:d} seconds with requests on their way')
def step_pause_leader(context: Context, seconds: int) -> None:
    group: LogGroup = context.group
    process = group.process(context.leader)
    process.pause()
    paused_at = monotonic()
    replace_shared(context)
    wait = 2.0 * seconds
    # They wait in the socket and are the first that it sees.
    reads = start_readers(context, context.leader, local=False, seconds=wait)
    local = start_readers(context, context.leader, local=True, seconds=wait)
    sends = [
        spawn(context.writers.send, context.leader, wait)
        for _ in range(WRITERS)
    ]
    sleep(max(0, seconds - (monotonic() - paused_at)))
    process.resume()
    context.answers = answers_of(reads)
    context.local = answers_of(local)
    joinall(sends, timeout=LIMIT_SECONDS)


@then('no read that it answers is stale')
def step_no_stale_reads(context: Context) -> None:
    assert all(answer.value == 'new' for answer in context.answers)


@then('no stamp that it gives is fresher than its state')
def step_stamps(context: Context) -> None:
    assert context.local
    check_stamps(context)


@when('a follower is cut off while {total:d} commands are acknowledged')
def step_cut_follower(context: Context, total: int) -> None:
    group: LogGroup = context.group
    context.follower = others_than(context.leader)[0]
    group.isolate(context.follower)
    context.writers = Writers(group)
    context.writers.start(context.leader, clients=16)
    poll_until(
        lambda: len(context.writers.acknowledged) >= total,
        LIMIT_SECONDS,
        'commands',
    )
    context.writers.stop()
    group.isolate(context.follower, 'pass')


@given('a group of three members with small snapshots')
def step_small_snapshots(context: Context) -> None:
    context.group = LogGroup(
        context.processes, snapshot_entries=200, segment_bytes=4096
    )
    context.add_cleanup(context.group.close)
    context.leader = context.group.start_and_wait()


@then('it holds all of them by a snapshot after its return')
def step_by_snapshot(context: Context) -> None:
    group: LogGroup = context.group
    log = group.process(context.follower).log_file

    def installed() -> bool:
        return 'Installed snapshot' in log.read_text(encoding='utf-8')

    poll_until(installed, LIMIT_SECONDS, 'a snapshot')
    context.writers.check(context.follower)


@when('a follower is cut off silently for {seconds:d} seconds')
def step_cut_follower_long(context: Context, seconds: int) -> None:
    group: LogGroup = context.group
    context.follower = others_than(context.leader)[0]
    context.before = group.status(context.leader)
    group.isolate(context.follower)
    sleep(seconds)
    group.isolate(context.follower, 'pass')


@then('the leader and its term are the same after its return')
def step_same_leader(context: Context) -> None:
    group: LogGroup = context.group
    before = context.before

    def follows() -> bool:
        status = group.status(context.follower)
        return bool(status and status.leader == before.leader)

    poll_until(follows, LIMIT_SECONDS, 'the follower follows')
    after = group.status(context.leader)
    assert after and (after.leader, after.term) == (before.leader, before.term)
