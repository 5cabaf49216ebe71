"""Steps on streams that callers take up, with real processes."""

from typing import NamedTuple

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn

from features.steps.platform_path_steps import (
    CORES,
    ENTRIES,
    publish_until_acknowledged,
)
from testbed.platform_fleet import Answer, PlatformFleet, document
from testbed.platform_replica import EVENTS
from trestle_control.backend_list import READ_INTERVAL_SECONDS

# From the arrival of a slow stream at its engine: two of its events are on their way,
# which it sends 0.3 s apart.
MIDDLE_SECONDS = 0.75


class BegunStream(NamedTuple):
    """A stream of a caller: its first try, and the version that began it."""

    request_id: str
    software: str
    answer: Answer

    @property
    def last_id(self) -> str:
        """The id of the last whole event that the caller has."""
        whole_events = self.answer.body.rpartition(b'\n\n')[0]
        ids = [
            line[4:]
            for line in whole_events.splitlines()
            if line.startswith(b'id: ')
        ]
        return ids[-1].decode()


@given('a platform with {old:d} engines of "{first}" and {new:d} of "{second}"')
def step_platform(
    context: Context, old: int, first: str, new: int, second: str
) -> None:
    """Start everything, and wait until streams are served."""
    fleet = PlatformFleet(context.processes)
    context.fleet = fleet
    context.add_cleanup(fleet.stop)
    for number in range(old):
        fleet.add_replica(f'i-{first}-{number}', 'decode', first)
    for number in range(new):
        fleet.add_replica(f'i-{second}-{number}', 'decode', second)
    for name in (*CORES, *ENTRIES):
        fleet.start(name, bootstrap=True)
    publish_until_acknowledged(context, 'core-1', document(3))
    for entry in ENTRIES:
        wait_until_serving(fleet, entry)


def wait_until_serving(fleet: PlatformFleet, entry: str) -> None:
    """Wait until an entry serves streams."""

    def serves() -> bool:
        try:
            return stream(fleet, entry, f'first-{entry}').status == 200
        except OSError:
            return False

    fleet.wait_for(serves, f'{entry} serves streams')


def stream(
    fleet: PlatformFleet, entry: str, request_id: str, **headers: str
) -> Answer:
    """Make a caller's call for a stream that may be resumed."""
    path = '/grade/plain' if request_id.startswith('first') else '/grade/slow'
    # Prompts with other beginnings go to other engines.
    number = int(request_id.rpartition('-')[2])
    demand = {
        'Kingcuptrestle-Request-Id': request_id,
        'Kingcuptrestle-Deadline-Ms': '4000',
        'Kingcuptrestle-Model': 'm',
        'Kingcuptrestle-Token-Counts': '1500,6',
        'Kingcuptrestle-Prefix-Hash': f'a{number:x}:400,b2:1100',
    }
    return fleet.call_entry_with(entry, path, {**demand, **headers})


def software_of(fleet: PlatformFleet, request_id: str) -> list[str]:
    """Return the versions of the engines that a request ran at."""
    return [
        replica.software
        for replica in fleet.replicas
        for received in replica.ran
        if received.named('Request-Id') == request_id
    ]


def kill_in_the_middle(
    context: Context, entries: list[str], streams: int
) -> None:
    """Begin streams at the first entry and kill entries in their middle."""
    fleet = context.fleet
    tasks = {
        f's-{number}': spawn(stream, fleet, entries[0], f's-{number}')
        for number in range(streams)
    }
    fleet.wait_for(
        lambda: all(software_of(fleet, request_id) for request_id in tasks),
        'every stream has reached an engine',
    )
    sleep(MIDDLE_SECONDS)
    for entry in entries:
        context.processes.started[entry].kill()
    context.begun = [
        BegunStream(request_id, software_of(fleet, request_id)[0], task.get())
        for request_id, task in tasks.items()
    ]
    versions = {begun.software for begun in context.begun}
    assert len(versions) == 2, versions
    assert not any(begun.answer.whole for begun in context.begun)


@when('"{entry}" is killed in the middle of {streams:d} streams')
def step_killed(context: Context, entry: str, streams: int) -> None:
    """Kill one entry."""
    kill_in_the_middle(context, [entry], streams)


@when(
    'all entries are killed in the middle of {streams:d} streams while '
    '"{software}" leaves'
)
def step_all_killed(context: Context, streams: int, software: str) -> None:
    """Kill all entries, take a version off the list, and start them again."""
    fleet = context.fleet
    kill_in_the_middle(context, ENTRIES, streams)
    context.left = [
        replica for replica in fleet.replicas if replica.software == software
    ]
    for replica in context.left:
        fleet.replicas.remove(replica)
    # Two reads of the list, so that the control hosts have seen it.
    sleep(2 * READ_INTERVAL_SECONDS)
    for entry in ENTRIES:
        fleet.start(entry, bootstrap=False)
        wait_until_serving(fleet, entry)


@when(
    '"{killed}" is killed in the middle of {streams:d} streams while "{frozen}" '
    'stands still and "{old}" becomes "{new}"'
)
def step_stands_still(
    context: Context, killed: str, streams: int, frozen: str, old: str, new: str
) -> None:
    """Change the software of engines, under their names, unseen by an entry."""
    fleet = context.fleet
    context.processes.started[frozen].pause()
    kill_in_the_middle(context, [killed], streams)
    for replica in fleet.replicas:
        if replica.software == old:
            replica.software = new
    # Two reads of the list, so that the control hosts have seen it.
    sleep(2 * READ_INTERVAL_SECONDS)
    context.processes.started[frozen].resume()


@when('their callers take them up at "{entry}"')
def step_take_up(context: Context, entry: str) -> None:
    """Take up each stream with what its caller has."""
    tasks = {
        begun.request_id: spawn(take_up, context.fleet, entry, begun)
        for begun in context.begun
    }
    context.taken_up = {name: task.get() for name, task in tasks.items()}


def take_up(fleet: PlatformFleet, entry: str, begun: BegunStream) -> Answer:
    """Send a stream again, and once more when refused, after Retry-After."""
    headers = {'Resumes': begun.request_id, 'Last-Event-Id': begun.last_id}
    request_id = f'again-{begun.request_id}'
    answer = stream(fleet, entry, request_id, **headers)
    if answer.status == 503:
        sleep(float(answer.headers['retry-after']))
        answer = stream(fleet, entry, request_id, **headers)
    return answer


@then('every stream went on at the version that began it and is whole')
def step_went_on(context: Context) -> None:
    """Check every stream."""
    check_went_on(context, context.begun)


@then(
    'every stream of "{software}" went on at the version that began it and is '
    'whole'
)
def step_those_went_on(context: Context, software: str) -> None:
    """Check the streams of one version."""
    streams = [begun for begun in context.begun if begun.software == software]
    check_went_on(context, streams)


def check_went_on(context: Context, streams: list[BegunStream]) -> None:
    """Check where streams ran, and that each event came once."""
    for begun in streams:
        taken_up = context.taken_up[begun.request_id]
        ran = software_of(context.fleet, f'again-{begun.request_id}')
        assert taken_up.status == 200 and taken_up.whole, taken_up
        assert ran == [begun.software], (begun.software, ran)
        first = int(begun.last_id) + 1
        ids = [
            int(line[4:])
            for line in taken_up.body.splitlines()
            if line.startswith(b'id: ')
        ]
        assert ids == list(range(first, EVENTS)), (begun.last_id, ids)


@then('the take-ups of streams of "{software}" are refused as not run')
def step_refused(context: Context, software: str) -> None:
    """Check that nothing ran at any engine."""
    refused = [begun for begun in context.begun if begun.software == software]
    for begun in refused:
        taken_up = context.taken_up[begun.request_id]
        ran = software_of(context.fleet, f'again-{begun.request_id}')
        assert not ran, (begun.software, ran)
        assert taken_up.status == 503, taken_up
        assert float(taken_up.headers['retry-after']) > 0
