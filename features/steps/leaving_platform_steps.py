"""Steps on back ends of the users' platform that leave or want a pause."""

from time import monotonic

from behave import then, when
from behave.runner import Context
from gevent import sleep

from features.steps.platform_path_steps import LONG_NEED, fleet_of
from testbed.platform_fleet import Answer
from testbed.platform_replica import PlatformReplica

LEAVING = {'Server-Leaving': '1'}
# Calls until one has reached a certain back end of two.
MOST_CALLS = 60
# A refusal at once, on a busy machine.
AT_ONCE_SECONDS = 1.0


def replica_of(context: Context, instance: str) -> PlatformReplica:
    """Return a back end of the platform."""
    return next(
        replica
        for replica in fleet_of(context).replicas
        if replica.instance == instance
    )


def received_by(replica: PlatformReplica) -> int:
    """Return how many requests have reached a back end."""
    return len(replica.ran) + len(replica.declined)


def call_at(context: Context, path: str, entry: str) -> Answer:
    """Make a call with an id of its own."""
    context.number += 1
    headers = {'Request_Id': f'r{context.number}', 'Deadline_Ms': '4000'}
    if path.startswith('/check/'):
        headers.update(LONG_NEED)
    return fleet_of(context).call_entry(entry, path, **headers)


def call_until_reached(context: Context, path: str, instance: str) -> None:
    """Call until a request has reached a back end."""
    replica = replica_of(context, instance)
    before = received_by(replica)
    for _ in range(MOST_CALLS):
        assert call_at(context, path, 'front-1').status == 200
        if received_by(replica) > before:
            return
    raise AssertionError(f'no call reached {instance}')


@when(
    '"{instance}" begins to say that it leaves and a call of "{path}" hears it'
)
def step_leaves(context: Context, instance: str, path: str) -> None:
    replica_of(context, instance).said = LEAVING
    call_until_reached(context, path, instance)


@when('the engine that writes for "{path}" begins to say that it leaves')
def step_writer_leaves(context: Context, path: str) -> None:
    engines = [replica_of(context, f'i-write{number}') for number in (1, 2)]
    before = [received_by(engine) for engine in engines]
    assert call_at(context, path, 'front-1').status == 200
    reached = [received_by(engine) for engine in engines]
    context.leaving = engines[0 if reached[0] > before[0] else 1]
    context.leaving.said = LEAVING
    call_until_reached(context, path, context.leaving.instance)


@when('"{instance}" turns a call of "{path}" away for {seconds} seconds')
def step_turns_away(
    context: Context, instance: str, path: str, seconds: str
) -> None:
    replica_of(context, instance).retry_after = seconds
    call_until_reached(context, path, instance)


@then(
    'a second later {calls:d} calls of "{path}" at "{entry}" are served and none '
    'reaches "{instance}"'
)
def step_told(
    context: Context, calls: int, path: str, entry: str, instance: str
) -> None:
    sleep(1)
    step_kept_away(context, calls, path, entry, instance)


@then(
    '{calls:d} calls of "{path}" at "{entry}" are served and none reaches that '
    'engine'
)
def step_kept_from_it(
    context: Context, calls: int, path: str, entry: str
) -> None:
    step_kept_away(context, calls, path, entry, context.leaving.instance)


@then(
    '{calls:d} calls of "{path}" at "{entry}" are served and none reaches '
    '"{instance}"'
)
def step_kept_away(
    context: Context, calls: int, path: str, entry: str, instance: str
) -> None:
    replica = replica_of(context, instance)
    before = received_by(replica)
    statuses = [call_at(context, path, entry).status for _ in range(calls)]
    assert statuses == [200] * calls, statuses
    assert received_by(replica) == before, received_by(replica) - before


@then(
    '{seconds:d} seconds later calls of "{path}" at "{entry}" reach '
    '"{instance}" again'
)
def step_used_again(
    context: Context, seconds: int, path: str, entry: str, instance: str
) -> None:
    replica_of(context, instance).retry_after = ''
    sleep(seconds)
    call_until_reached(context, path, instance)


@then(
    '{calls:d} calls of "{path}" at "{entry}" get 503 at once, with a time to '
    'come back'
)
def step_refused(context: Context, calls: int, path: str, entry: str) -> None:
    desks = [replica_of(context, f'i-desk{number}') for number in (1, 2)]
    before = [received_by(desk) for desk in desks]
    for _ in range(calls):
        began = monotonic()
        answer = call_at(context, path, entry)
        assert answer.status == 503, answer
        assert float(answer.headers['retry-after']) > 0, answer
        assert monotonic() - began < AT_ONCE_SECONDS
    assert [received_by(desk) for desk in desks] == before
