"""Steps on bookings under failure."""

from functools import partial

from behave import given, then, when
from behave.runner import Context
from gevent import joinall, sleep, spawn

from testbed.bookings import (
    DISPATCH_LINK,
    ENTRIES,
    LIMIT_SECONDS,
    Bookings,
    receipt_of,
)
from testbed.callers import Answer
from testbed.processes import poll_until
from testbed.serving import JsonObject

TRIES = 20
REPLY_DELAY_SECONDS = 0.6


def start_system(
    context: Context, ledgers: int = 1, **settings: JsonObject
) -> None:
    """Start a ledger system for the scenario."""
    context.bookings = Bookings.from_config(
        context.processes, ledgers, **settings
    )
    context.add_cleanup(context.bookings.close)
    context.answers = []
    context.begun = []
    context.answers_by_key = {}


def answers(context: Context) -> list[Answer]:
    """Return the answers so far; those of begun bookings come last."""
    begun = [one.get(timeout=LIMIT_SECONDS) for one in context.begun]
    context.begun = []
    context.answers += begun
    return list(context.answers)


@given('a ledger system')
def step_system(context: Context) -> None:
    start_system(context)


@given('a ledger system with {ledgers:d} ledgers')
def step_system_of(context: Context, ledgers: int) -> None:
    start_system(context, ledgers)


@given('a ledger system with room for one booking')
def step_system_small(context: Context) -> None:
    start_system(context, endpoint={'max_running': 1, 'max_queued': 0})


@given('the service is on "{mode}" for {seconds:d} seconds')
@when('the service is on "{mode}" for {seconds:d} seconds')
def step_service(context: Context, mode: str, seconds: int) -> None:
    context.bookings.set_service(mode, seconds=seconds)


@when('the service works again')
def step_service_works(context: Context) -> None:
    service = context.bookings.cluster.process('ledger-1.service')
    if service.running():
        context.bookings.set_service('none')
    else:
        context.bookings.restart('ledger-1.service')


@when('"{entry}" books "{key}"')
def step_book(context: Context, entry: str, key: str) -> None:
    context.answers.append(context.bookings.book(key, entry))


@when('"{entry}" books "{key}" with another body')
def step_book_other(context: Context, entry: str, key: str) -> None:
    context.answers.append(context.bookings.book(key, entry, sacks=11))


@when('"{entry}" books "{key}" and its caller leaves after {seconds:f} seconds')
def step_book_lost(
    context: Context, entry: str, key: str, seconds: float
) -> None:
    context.bookings.book(key, entry, timeout_seconds=seconds)


@when('"{entry}" begins to book "{key}"')
def step_begin(context: Context, entry: str, key: str) -> None:
    context.begun.append(spawn(context.bookings.book, key, entry))


@when('"{key}" is being run')
def step_running(context: Context, key: str) -> None:
    context.bookings.wait_executed(key)


@when('"{key}" is claimed')
def step_claimed(context: Context, key: str) -> None:
    context.bookings.wait_claimed(key)
    assert not context.bookings.executions(key)


@when('"{host}" is killed and started again')
def step_kill(context: Context, host: str) -> None:
    context.bookings.cluster.process(host).kill()
    context.bookings.set_control_links('pass')
    context.bookings.restart(host)


@when('"{host}" is killed and started without control')
def step_kill_alone(context: Context, host: str) -> None:
    processes = context.bookings.cluster.processes
    processes.started[host].kill()
    processes.restart(host).read_address()


@when('"{host}" is paused')
def step_pause(context: Context, host: str) -> None:
    context.bookings.cluster.process(host).pause()


@when('"{host}" is resumed')
def step_resume(context: Context, host: str) -> None:
    context.bookings.cluster.process(host).resume()
    context.bookings.set_control_links('pass')


@when('replies of control to "entry-1" are delayed')
def step_delay(context: Context) -> None:
    context.bookings.set_control_links(
        'delay', seconds=REPLY_DELAY_SECONDS, direction='down'
    )


@when('"entry-1" is cut off from control')
def step_cut(context: Context) -> None:
    context.bookings.set_control_links('drop')


@when('dispatches are held until "{key}" is answered')
def step_hold(context: Context, key: str) -> None:
    cluster = context.bookings.cluster
    cluster.set_link(DISPATCH_LINK, 'hold', direction='up')
    answers(context)
    cluster.set_link(DISPATCH_LINK, 'pass')
    context.bookings.set_control_links('pass')
    # The held dispatch arrives now.
    sleep(0.5)


@when(
    '{keys:d} keys are each sent {sends:d} times at once through both entries'
)
def step_race(context: Context, keys: int, sends: int) -> None:
    begun = {
        f'key-{number}': [
            spawn(context.bookings.book, f'key-{number}', ENTRIES[one % 2])
            for one in range(sends)
        ]
        for number in range(keys)
    }
    for key, tasks in begun.items():
        context.answers_by_key[key] = [one.get() for one in tasks]


def book_until_ran(context: Context, key: str) -> None:
    """Send a booking until it ran; a `not-run` must not have run."""
    for one in range(TRIES):
        answer = context.bookings.book(key, ENTRIES[one % 2])
        if answer.verdict == 'not-run':
            assert not context.bookings.executions(key), (key, answer)
        if answer.verdict == 'ran':
            context.answers_by_key[key] = [answer]
            return
    raise AssertionError(f'{key} did not run: {answer}')


@when('{keys:d} bookings are sent until they ran, and the leader is killed')
def step_leader(context: Context, keys: int) -> None:
    leader = context.bookings.fleet.leader()

    def work(first: int) -> None:
        for number in range(first, keys, 4):
            book_until_ran(context, f'key-{number}')

    tasks = [spawn(work, first) for first in range(4)]
    poll_until(
        lambda: len(context.answers_by_key) > keys // 4,
        LIMIT_SECONDS,
        'first bookings',
    )
    assert len(context.answers_by_key) < keys
    context.bookings.cluster.process(leader).kill()
    joinall(tasks, raise_error=True)
    context.bookings.restart(leader)


@then('the answers are "{verdicts}"')
def step_verdicts(context: Context, verdicts: str) -> None:
    seen = [one.verdict for one in answers(context)]
    assert seen == verdicts.split(', '), context.answers


@then('the last code is "{code}"')
def step_code(context: Context, code: str) -> None:
    assert context.answers[-1].code == code, context.answers


@then('the last booking ran')
def step_last_ran(context: Context) -> None:
    assert context.answers[-1].verdict == 'ran', context.answers


@then('the last {count:d} answers are the same receipt')
def step_same(context: Context, count: int) -> None:
    receipts = {receipt_of(one) for one in answers(context)[-count:]}
    assert len(receipts) == 1, receipts


@then('"{key}" has run {times:d} times')
def step_times(context: Context, key: str, times: int) -> None:
    runs = context.bookings.executions(key)
    assert len(runs) == times, runs


@then('each key has run once and all its answers are the same receipt')
def step_each_once(context: Context) -> None:
    for key, found in context.answers_by_key.items():
        assert {one.verdict for one in found} == {'ran'}, found
        assert len(set(map(receipt_of, found))) == 1, found
        runs = partial(context.bookings.executions, key)
        assert len(runs()) == 1, runs()
