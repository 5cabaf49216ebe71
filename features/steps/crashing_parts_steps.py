"""Steps on requests that crash engines, without a network."""

from behave import given, then, when
from behave.runner import Context

from testbed.crash_entries import CrashEntries


@given('{entries:d} entry that knows {engines:d} engines')
@given('{entries:d} entries that know {engines:d} engines')
def step_entries(context: Context, entries: int, engines: int) -> None:
    context.group = CrashEntries(entries, engines)


@when(
    'requests with the parts "{parts}" and a last part of their own crash '
    '{engines:d} engines'
)
def step_crash(context: Context, parts: str, engines: int) -> None:
    for _ in range(engines):
        context.group.crash(parts)


@then(
    'a request with the parts "{parts}" is refused as not run before any send'
)
def step_refused(context: Context, parts: str) -> None:
    for entry in context.group.entries:
        context.group.check_refused(entry, parts)
