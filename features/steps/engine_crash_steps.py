"""Steps on the watch of one engine, whose answers the steps give."""

from collections.abc import Callable
from typing import Any, NamedTuple

from behave import given, then, when
from behave.runner import Context

from trestle_core.metrics import Metrics
from trestle_endpoint.engine_interface import EngineState
from trestle_endpoint.engine_monitor import EngineCrash, EngineMonitor
from trestle_links.http_exchange import ConnectFailedError

BEFORE = EngineState('first', 'mixed', 'm', '1')
AFTER = EngineState('second', 'mixed', 'm', '1')


class StateOnly(NamedTuple):
    """The part of an engine's interface that the watch uses here."""

    read_state: Callable[[], EngineState]


class Watched:
    """A watch, the crashes that it reported, and the next answer."""

    def __init__(self) -> None:
        """Begin with an engine in its first incarnation."""
        self.answer: EngineState | OSError = BEFORE
        self.crashes: list[EngineCrash] = []
        engine: Any = StateOnly(self.read_state)
        self.watch = EngineMonitor(
            'host-1', engine, self.crashes.append, Metrics()
        )
        self.watch.check()

    def read_state(self) -> EngineState:
        """Give the answer that the step chose."""
        if isinstance(self.answer, OSError):
            raise self.answer
        return self.answer

    def show(self, answer: EngineState | OSError) -> None:
        """Let the watch see an answer."""
        self.answer = answer
        self.watch.check()


@given('a watched engine that runs "{one}" and "{other}"')
def step_watched(context: Context, one: str, other: str) -> None:
    context.watched = Watched()
    for content in (one, other):
        context.watched.watch.begin_request(f'id-{content}', 'request', content)


@when('its state page gives no answer')
def step_silent(context: Context) -> None:
    context.watched.show(TimeoutError('no answer'))


@when('the engine refuses connections')
def step_refuses(context: Context) -> None:
    context.watched.show(ConnectFailedError('refused'))


@when('the engine answers as before')
def step_as_before(context: Context) -> None:
    context.watched.show(BEFORE)


@when('the engine shows a new incarnation')
def step_new(context: Context) -> None:
    context.watched.show(AFTER)


@when('"{content}" breaks off')
def step_breaks_off(context: Context, content: str) -> None:
    context.watched.watch.mark_uncertain(f'id-{content}')


@then('one crash names "{contents}"')
def step_names(context: Context, contents: str) -> None:
    (crash,) = context.watched.crashes
    named = ', '.join(sorted(entry.content for entry in crash.running))
    assert named == contents, crash
