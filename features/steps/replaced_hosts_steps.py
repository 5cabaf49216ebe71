"""Steps on a control host that is replaced while disks are lost."""

from behave import given, then, when
from behave.runner import Context

from testbed.log_group import LIMIT_SECONDS
from testbed.processes import poll_until
from testbed.replaced_group import FIRST_HOSTS, SUCCESSOR, ReplacedGroup
from trestle_core.errors import TrestleError

GONE = FIRST_HOSTS[-1]
LEFT = (*FIRST_HOSTS[:-1], SUCCESSOR)
KEY = 'price-book'
VALUE = 'acknowledged'


@given('five voters')
def step_group(context: Context) -> None:
    """Start the first hosts."""
    context.group = ReplacedGroup(context.processes)
    context.add_cleanup(context.group.close)
    context.group.start_first()


@given('five voters and a successor that votes, too')
def step_with_successor(context: Context) -> None:
    """Let the successor join before the replaced voter ends."""
    step_group(context)
    context.group.start(SUCCESSOR)
    context.group.wait_for_voters((*FIRST_HOSTS, SUCCESSOR))


@when('a replaced voter is killed')
def step_killed(context: Context) -> None:
    """End the replaced voter at once."""
    context.group.process(GONE).kill()


@when('a replaced voter is stopped')
def step_stopped(context: Context) -> None:
    """Let the replaced voter stop as planned."""
    context.group.process(GONE).terminate()
    context.group.process(GONE).wait()


@when('voter {number:d} is killed')
def step_dark(context: Context, number: int) -> None:
    """Let a voter be dark, with its disk."""
    context.group.process(host_of(number)).kill()


@when('a replaced voter is killed, and its successor votes')
def step_replaced(context: Context) -> None:
    """Let the successor join after the replaced voter ended."""
    step_killed(context)
    context.group.start(SUCCESSOR)
    context.group.wait_for_voters((*FIRST_HOSTS, SUCCESSOR))


@when('a command is acknowledged')
def step_acknowledged(context: Context) -> None:
    """Change a key; a leader may just have gone."""
    put_until_acknowledged(context.group, LEFT, VALUE)


@when('two other voters lose their disks, and the others stay up')
def step_two_lost(context: Context) -> None:
    """Empty two data folders and start their hosts again."""
    lost = FIRST_HOSTS[:2]
    context.group.lose_disks(lost)
    start_all(context.group, lost)


@when('two other voters lose their disks, and the others restart')
def step_two_lost_all_restart(context: Context) -> None:
    """End every host at the same time."""
    for host in LEFT[2:]:
        context.group.process(host).kill()
    context.group.lose_disks(FIRST_HOSTS[:2])
    start_all(context.group, LEFT)


@when(
    'voter {dark:d} is back once {first:d} and {second:d} have lost their disks'
)
def step_back(context: Context, dark: int, first: int, second: int) -> None:
    """Start the dark voter and those that lost their disks."""
    lost = (host_of(first), host_of(second))
    context.group.lose_disks(lost)
    start_all(context.group, (*lost, host_of(dark)))


@when('each host that is left restarts as planned, one after another')
def step_rolling(context: Context) -> None:
    """Restart each host and change a key after each stop and start."""
    context.written = []
    for host in LEFT:
        others = tuple(other for other in LEFT if other != host)
        context.group.process(host).terminate()
        context.group.process(host).wait()
        write_next(context, others)
        context.group.start(host)
        context.group.wait_until_follows(host)
        write_next(context, LEFT)


@then('the command is read at every host that is left')
def step_read(context: Context) -> None:
    """Read the key through each host."""
    assert context.group.value_of(KEY, LEFT) == VALUE


@then('every command meanwhile is acknowledged and read')
def step_all_read(context: Context) -> None:
    """Read the last value."""
    assert context.group.value_of(KEY, LEFT) == context.written[-1]


@then('these five are the voters again')
def step_voters(context: Context) -> None:
    """Wait until the set is as wanted."""
    context.group.wait_for_voters(LEFT)


def host_of(number: int) -> str:
    """Return the host of a voter."""
    return FIRST_HOSTS[number - 1]


def start_all(group: ReplacedGroup, hosts: tuple[str, ...]) -> None:
    """Start hosts, side by side."""
    for host in hosts:
        group.start(host)


def write_next(context: Context, hosts: tuple[str, ...]) -> None:
    """Change the key to a value of its own."""
    value = f'{VALUE}-{len(context.written)}'
    put_until_acknowledged(context.group, hosts, value)
    context.written.append(value)


def put_until_acknowledged(
    group: ReplacedGroup, hosts: tuple[str, ...], value: str
) -> None:
    """Change the key through any of the hosts."""

    def put() -> bool:
        for host in hosts:
            try:
                group.put(host, KEY, value, seconds=2)
            except TrestleError:
                continue
            return True
        return False

    poll_until(put, LIMIT_SECONDS, f'{value} is acknowledged')
