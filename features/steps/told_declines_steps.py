"""Steps on engines that decline the calls of several entries."""

from behave import given, then, when
from behave.runner import Context

from testbed.entry_group import EntryGroup

DECLINING = 'read0'


@given('{entries:d} entries that use the same {readers:d} engines that read')
def step_group(context: Context, entries: int, readers: int) -> None:
    """Make the entries and their leader."""
    roles = {f'read{number}': 'prefill' for number in range(readers)}
    roles['write'] = 'decode'
    context.group = EntryGroup(entries, roles)


def decline(context: Context, instance: str, count: int) -> None:
    """Let an engine decline one call of some entries each."""
    with context.group.clock():
        for entry in context.group.entries[:count]:
            entry.fleet.note_declined(instance, is_full=True)


@when('one engine declines a read of {count:d} of the entries')
def step_declines(context: Context, count: int) -> None:
    """Decline, and let the entries tell each other."""
    decline(context, DECLINING, count)
    context.group.exchange()


@when('it accepts a read of {count:d} of the entries')
def step_accepts(context: Context, count: int) -> None:
    """Serve a call of other entries, and let them tell each other."""
    with context.group.clock():
        for entry in context.group.entries[-count:]:
            entry.fleet.note_served(DECLINING)
    context.group.exchange()


@when('every engine declines a read of {count:d} of the entries')
def step_all_decline(context: Context, count: int) -> None:
    """Let all decline."""
    for instance in context.group.roles:
        decline(context, instance, count)
    context.group.exchange()


def asking(context: Context, seconds: float) -> int:
    """Return how many entries would ask the engine later."""
    context.group.seconds += seconds
    with context.group.clock():
        usable = [
            {
                backend.instance
                for backend in entry.fleet.usable('llm', frozenset())
            }
            for entry in context.group.entries
        ]
    return sum(DECLINING in instances for instances in usable)


@then('half a second later none of the entries would ask it to read')
def step_none(context: Context) -> None:
    """Check that those which have not asked it know."""
    assert not asking(context, 0.5)


@then('half a second later all of the entries would ask it to read')
def step_all(context: Context) -> None:
    """Check that it is used."""
    assert asking(context, 0.5) == len(context.group.entries)


@then('{seconds:d} seconds later all of them would ask it again')
def step_again(context: Context, seconds: int) -> None:
    """Check that it is tried again."""
    assert asking(context, seconds) == len(context.group.entries)
