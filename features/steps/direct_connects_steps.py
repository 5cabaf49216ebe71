"""Steps on back ends that refuse connections, and on who hears of them."""

from time import monotonic
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from testbed.direct_runs import make_run, open_at_engines
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct import (
    fleet_view,
    model_dispatch,
    prompt_prefill,
)
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.backend_exchange import NotSentError
from trestle_entry.direct.fleet_view import FleetView
from trestle_entry.direct.request_sends import begin_arrival, send_once
from trestle_entry.direct.wire_types import AnswerHead
from trestle_links.direct_messages import PREFILL, Backend
from trestle_links.load_messages import FailureNotice

ZONES = ('plovdiv-a', 'plovdiv-b', 'asenovgrad', 'pazardzhik')
SERVED = AnswerHead(200, 'r1', True, False, False, False, 0, [])
NOTHING: Any = None


def refused() -> NotSentError:
    """Return the error of a host on which no process listens."""
    error = NotSentError('refused')
    error.__cause__ = ConnectionRefusedError()
    return error


@given(
    'a model request on {count:d} engines that read, and no resend is allowed'
)
def step_engines(context: Context, count: int) -> None:
    context.run = make_run()
    context.connects = []
    fleet = context.run.context.fleet
    readers = [
        Backend(f'read{number}', 'llm', 'a:1', 'z', False, PREFILL, 64)
        for number in range(count)
    ]
    others = [
        backend
        for backend in fleet.backends.values()
        if backend.role != PREFILL
    ]
    fleet.replace_list([*others, *readers])


def open_or_fail(context: Context, working: set[str]) -> None:
    """Open the stream while only some engines accept connections."""

    def open_answer(*call: Any, **_options: Any) -> OpenAnswer:
        instance = call[2].instance
        context.connects.append(instance)
        if instance not in working:
            raise refused()
        return OpenAnswer(NOTHING, NOTHING, SERVED, call[2])

    whole = CompleteAnswer(SERVED, b'')
    wire: Any = type('Wire', (), {'read_handle': lambda _self, _body: 'h1'})()
    context.run.context.backend_wire = wire
    with (
        patch.object(prompt_prefill, 'open_answer', open_answer),
        patch.object(prompt_prefill, 'read_answer', lambda *_: whole),
        patch.object(model_dispatch, 'open_answer', open_answer),
        patch.object(model_dispatch, 'free_handle', lambda *_: None),
    ):
        try:
            context.opened = open_at_engines(context.run)
        except TrestleError as error:
            context.error = error


@when('all engines that read but the last refuse connections')
def step_one_left(context: Context) -> None:
    readers = [
        name
        for name, backend in context.run.context.fleet.backends.items()
        if backend.role == PREFILL
    ]
    # Preferred last, so that all others are tried before it.
    loads = context.run.context.loads
    last = readers[-1]
    context.stack = loads.own.track_prefill(last, 200_000)
    context.stack.__enter__()
    open_or_fail(context, {last, 'write1', 'write2'})


@then(
    'the prompt was read after {count:d} refused connections and no resend '
    'was taken'
)
def step_read(context: Context, count: int) -> None:
    run = context.run
    assert context.opened.head.status == 200, context.opened
    assert run.failed_connects == count, context.connects
    assert run.prefills == 1, run.prefills
    assert not run.context.limits_for('llm').resends


@when('all engines refuse connections')
def step_none(context: Context) -> None:
    open_or_fail(context, set())


@then('the request is refused as not run after at most {count:d} connections')
def step_ended(context: Context, count: int) -> None:
    assert context.error.verdict is Verdict.NOT_RUN, context.error
    assert context.error.code.code == 'no-endpoint', context.error.code
    assert len(context.connects) <= count, context.connects


@given(
    'a model request that was broken off once, and {resends:d} resends are left'
)
def step_broken(context: Context, resends: int) -> None:
    context.run = make_run(resends, attempts=2)
    begin_arrival(context.run)
    context.run.sends = 1
    context.run.runs = 1


@when('the next back end refuses connections and the one after it answers')
def step_refuses_once(context: Context) -> None:
    def refuse() -> None:
        raise refused()

    assert send_once(context.run, 'write1', refuse) is None
    context.answer = send_once(context.run, 'write2', lambda: 'answer')


@then('it was answered, and {taken:d} resends were taken from the limits')
def step_given_back(context: Context, taken: int) -> None:
    assert context.answer == 'answer'
    limits = context.run.context.limits_for('llm')
    assert len(limits.resends) == taken, limits.resends


def fleet_of_four(context: Context) -> FleetView:
    """Return the view of an entry on engines in four zones."""
    fleet = FleetView()
    context.fleet = fleet
    fleet.replace_list(
        [
            Backend(f'e{number}', 'llm', 'a:1', zone, False, PREFILL, 64)
            for number, zone in enumerate(ZONES)
        ]
    )
    return fleet


@given('an entry in zone "{zone}" with engines in four zones')
def step_entry(context: Context, zone: str) -> None:
    fleet_of_four(context)
    context.zone = zone


@when('an entry in zone "{zone}" tells that "{instance}" {what}')
def step_told(context: Context, zone: str, instance: str, what: str) -> None:
    is_refused = what == 'refuses connections'
    host = f'entry-{zone}'
    if what == 'does not answer another entry of that zone':
        host += '-2'
    notice = FailureNotice(instance, host, zone, is_refused)
    context.fleet.note_reported([notice], context.zone)


@then('the entry sends nothing to "{instance}" for now')
def step_excluded(context: Context, instance: str) -> None:
    usable = context.fleet.usable('llm', frozenset())
    assert instance not in {one.instance for one in usable}, usable


@then('the entry goes on using "{instance}"')
def step_used(context: Context, instance: str) -> None:
    usable = context.fleet.usable('llm', frozenset())
    assert instance in {one.instance for one in usable}, usable


@then('{seconds:f} s later the entry goes on using "{instance}"')
def step_used_later(context: Context, seconds: float, instance: str) -> None:
    later = monotonic() + seconds
    with patch.object(fleet_view, 'monotonic', lambda: later):
        step_used(context, instance)
