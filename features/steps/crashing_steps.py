"""Steps on requests that crash the engines which run them."""

from json import loads
from typing import Any

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn

from features.steps.fleet_steps import keep_fleet
from testbed.callers import Answer, Completion, complete
from testbed.fake_engine import CRASH_WORD
from testbed.fleet import LIMIT_SECONDS, ROUTE, Fleet
from testbed.processes import poll_until

RESTART_SECONDS = 0.5
CALL_SECONDS = 20.0
# So few that equal requests at once would go to several engines.
MAX_RUNNING = 4


@given('a fleet of {engines:d} engines which the platform starts again')
def step_fleet(context: Context, engines: int) -> None:
    fleet = Fleet.from_config(
        context.processes, engines, max_running=MAX_RUNNING
    )
    keep_fleet(context, fleet)
    task = spawn(start_again, fleet)
    context.add_cleanup(task.kill)


def start_again(fleet: Fleet) -> None:
    """Start each engine that has ended again, as the platform does."""
    names = [one.backend for one in fleet.cluster.layout.endpoints]
    while True:
        sleep(RESTART_SECONDS)
        for name in names:
            if not fleet.cluster.process(name).running():
                fleet.restart(name)


@when(
    '{callers:d} callers send a request that crashes engines, '
    '{times:d} times each'
)
def step_crash(context: Context, callers: int, times: int) -> None:
    tasks = [
        spawn(send_again, context.fleet, number, times)
        for number in range(callers)
    ]
    context.crashing = [task.get(timeout=LIMIT_SECONDS) for task in tasks]


def send_again(fleet: Fleet, number: int, times: int) -> list[Answer]:
    """Send the same content with new request ids, through both entries."""
    prompt = f'grade {CRASH_WORD} please'
    request = Completion(f'caller-{number}', ROUTE, prompt, 20)
    entries = fleet.cluster.entry_hosts
    answers = []
    for turn in range(times):
        entry = entries[(number + turn) % len(entries)]
        address = fleet.cluster.http_address(entry)
        answers.append(complete(address, request, CALL_SECONDS))
    return answers


@then('at most {most:d} engines have crashed')
def step_crashes(context: Context, most: int) -> None:
    crashes = context.fleet.recorded('crash')
    print(f'{len(crashes)} engines crashed')
    assert 0 < len(crashes) <= most, crashes


@then('the last answer of each caller is the refusal "{code}", "{verdict}"')
def step_refused(context: Context, code: str, verdict: str) -> None:
    for answers in context.crashing:
        last = answers[-1]
        assert (last.code, last.verdict) == (code, verdict), answers


@then('no engine has had a request that was answered "not-run"')
def step_true_refusals(context: Context) -> None:
    ran = {
        line['request_id'].partition('.')[0]
        for line in context.fleet.recorded('request')
    }
    for answer in sum(context.crashing, []):
        assert answer.request_id
        untrue = answer.verdict == 'not-run' and answer.request_id in ran
        assert not untrue, answer


@when('the operator releases the content')
def step_release(context: Context) -> None:
    (context.content,) = status(context)['quarantined']
    context.fleet.operate(
        'release', context.content, '--cause', 'the engine is mended'
    )


@then('"explain" of the content tells of "{kinds}"')
def step_explained(context: Context, kinds: str) -> None:
    told = context.fleet.operate('explain', context.content, '--json')
    found = {record['kind'] for record in loads(told)['records']}
    assert found >= set(kinds.split(', ')), found


@then('the content is not quarantined any more')
def step_free(context: Context) -> None:
    poll_until(
        lambda: not status(context)['quarantined'], LIMIT_SECONDS, 'a release'
    )


def status(context: Context) -> Any:
    """Return the status as the operators' program prints it."""
    return loads(context.fleet.operate('status', '--json'))
