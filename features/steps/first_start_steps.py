"""Steps on the first start of the control hosts, without a network."""

from pathlib import Path
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context

from testbed.log_fixtures import NO_CHANNEL
from testbed.log_member import Dictionary
from trestle_control.membership import MemberIdentity
from trestle_control.replica_bootstrap import (
    announce_handler,
    bootstrap_from_seeds,
)
from trestle_control.replica_messages import Announce, AnnounceReply
from trestle_control.replica_recovery import recover_state
from trestle_control.replica_state import ReplicaState
from trestle_core.metrics import Metrics
from trestle_core.settings import ControlSettings
from trestle_links.link import Identity

SEEDS = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')
OTHER = Announce(MemberIdentity('other', 'o'), '127.0.0.1:9')


def address_of(number: int) -> str:
    """Return the address of a host; the first three are the seeds."""
    return f'127.0.0.1:{number}'


def open_seed(
    folder: Path, number: int, *, bootstrap: bool, wanted: int = 0
) -> ReplicaState:
    """Open the state of one seed; its log is not started."""
    address = address_of(number)
    config = ControlSettings(
        host=f'core-{number}',
        zone='z',
        key_file='key',
        control=[address],
        listen=address,
        data_folder=str(folder),
        seeds=list(SEEDS),
        bootstrap=bootstrap,
        wanted_voters=wanted,
    )
    me = Identity(config.host, b'key', Metrics.empty())
    return recover_state(config, Dictionary(), me)


def reply_of(kind: str, number: int, round_number: int) -> AnnounceReply:
    """Return what a seed replies to an announcement."""
    suffix = str(round_number) if kind == 'changing' else ''
    return AnnounceReply(
        MemberIdentity(f'core-{number}', f'i{number}{suffix}'),
        'group' if kind == 'member' else '',
        kind in {'original', 'member'},
    )


@given(
    'a first start at which the seeds are "{first}", "{second}" and "{third}"'
)
def step_seeds(context: Context, first: str, second: str, third: str) -> None:
    """Keep what each of them is."""
    context.kinds = [first, second, third]
    context.wanted = 0


@given('{wanted:d} voters are wanted, and the other hosts are {others}')
def step_others(context: Context, wanted: int, others: str) -> None:
    """Add hosts that are no seeds."""
    context.kinds += others.split(', ')
    context.wanted = wanted


@when('seed {number:d} hears them in {rounds:d} rounds')
def step_hears(context: Context, number: int, rounds: int) -> None:
    """Let one of them hear the others."""
    is_original = context.kinds[number - 1] == 'original'
    state = open_seed(
        Path(context.folder),
        number,
        bootstrap=is_original,
        wanted=context.wanted,
    )
    context.state = state
    for index in range(len(SEEDS) + 1, len(context.kinds) + 1):
        joining = MemberIdentity(f'core-{index}', f'i{index}')
        announce_handler(
            state, Announce(joining, address_of(index)), NO_CHANNEL
        )
    state.log.start()
    context.add_cleanup(state.log.stop)
    context.formed = 0
    before: list[MemberIdentity] = []
    for round_number in range(rounds):
        replies = {
            address_of(index): reply_of(kind, index, round_number)
            for index, kind in enumerate(context.kinds, start=1)
            if kind != 'silent'
        }
        last_index = state.log.last_index
        before = bootstrap_from_seeds(state, replies, before)
        context.formed += state.log.last_index - last_index


@then('it has formed the group {times:d} times')
def step_formed(context: Context, times: int) -> None:
    """Check the entries that form groups."""
    assert context.formed == times, context.formed


@then('a group that it has formed begins above all terms of a lost one')
def step_term(context: Context) -> None:
    """Check the term in which the first election will be."""
    assert not context.formed or context.state.term >= 1000, context.state.term


@given('a data folder that was made at the first start')
def step_folder(context: Context) -> None:
    """Make it, and end its process."""
    open_seed(Path(context.folder), 2, bootstrap=True)


@when('its process starts again without leave to form a group')
def step_again(context: Context) -> None:
    """Open what is left."""
    context.state = open_seed(Path(context.folder), 2, bootstrap=False)


@when('its folder is lost and its process starts again')
def step_lost(context: Context) -> None:
    """Open an empty folder."""
    rmtree(context.folder)
    Path(context.folder).mkdir()
    context.state = open_seed(Path(context.folder), 2, bootstrap=False)


@then('it replies that it may form one')
def step_may(context: Context) -> None:
    """Announce to it."""
    assert announce_handler(context.state, OTHER, NO_CHANNEL).forms


@then('it replies that it may not form one')
def step_may_not(context: Context) -> None:
    """Announce to it."""
    assert not announce_handler(context.state, OTHER, NO_CHANNEL).forms
