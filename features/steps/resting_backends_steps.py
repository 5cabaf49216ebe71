"""Steps on back ends that want nothing for a time, without a platform."""

from contextlib import suppress
from time import monotonic
from typing import Any
from unittest.mock import Mock, patch

from behave import given, then, when
from behave.runner import Context
from gevent import GreenletExit, sleep

from features.steps.leaving_backends_steps import LEFT, parse_headers, say
from features.steps.platform_calls_steps import serve
from features.steps.rate_limits_steps import make_run
from testbed.direct_runs import make_match
from testbed.said_answers import SaidAnswers, counters
from trestle_control import cache_tracker
from trestle_control.cache_tracker import CacheTracker
from trestle_control.load_table import LoadTable
from trestle_control.placement_log import PlacementLog
from trestle_core.metrics import Metrics
from trestle_entry.direct.plain_dispatch import serve_plain
from trestle_entry.direct.prompt_prefill import KvHandle, free_handle
from trestle_entry.direct.replies import RefusedError
from trestle_links.direct_messages import Backend
from trestle_platform.engine_caches import EngineCache
from trestle_platform.replica_http import read_head


@when('{later:d} s later a later start of it names {seconds:d} s')
def step_later_start(context: Context, later: int, seconds: int) -> None:
    context.now += later
    first = context.said.backends[0]
    context.said.backends[0] = first._replace(born=2000)
    say(context, 503, f'Retry-After: {seconds}')
    context.now += seconds - 1
    context.entry.fleet.replace_list(context.said.backends)


@then(
    'a {status:d} with the headers "{headers}" asks for {seconds:g} s of rest'
)
def step_rest(
    _context: Context, status: int, headers: str, seconds: float
) -> None:
    said = read_head(status, parse_headers(headers)).rest_seconds
    assert said == seconds, said


@when('back end {number:d} turns a request away for {seconds:g} s')
def step_turns_away(context: Context, number: int, seconds: float) -> None:
    say(context, 503, f'Retry-After: {int(seconds)}', number)


@when('{later:d} s later it turns a request away for {seconds:d} s')
def step_turns_away_later(context: Context, later: int, seconds: int) -> None:
    context.now += later
    say(context, 503, f'Retry-After: {seconds}')
    context.now += seconds


@when('{later:d} s later back end 2 cannot be reached')
def step_unreachable_later(context: Context, later: int) -> None:
    context.now += later
    context.entry.fleet.note_unreachable('backend-2', 'no route to it')


@then('back end 1 is {state}')
def step_state(context: Context, state: str) -> None:
    usable = context.entry.fleet.usable('llm', frozenset({'backend-2'}))
    assert bool(usable) == (state == 'used'), usable


@then(
    'requests are refused as not run, with {least:d} to {most:d} s to come back'
)
def step_told_time(context: Context, least: int, most: int) -> None:
    context.group = Mock(entries=[context.entry])
    run = make_run(context.group)
    request = run.request._replace(deadline=monotonic() + most)
    try:
        serve_plain(context.entry, request, make_match(), run.trace)
    except RefusedError as error:
        assert least <= error.retry_after <= most, error.retry_after
        return
    raise AssertionError('the request was served')


@given(
    'an engine that replies to "its list" with 503 and {seconds:d} s to come back'
)
def step_replies_rest(context: Context, seconds: int) -> None:
    context.seconds = seconds
    reply = f'HTTP/1.1 503 X\r\nRetry-After: {seconds}\r\nContent-Length: 0'
    serve(context, f'{reply}\r\n\r\n'.encode())
    context.engine = Backend(
        'e', 'llm', context.address, 'z', False, 'decode', 64
    )


@then('the leader calls it no more for {seconds:d} s')
def step_leader_rests(context: Context, seconds: int) -> None:
    pauses: list[float] = []

    def pause(pause_seconds: float) -> None:
        pauses.append(pause_seconds)
        raise GreenletExit

    replica: Any = Mock(is_leader=True)
    machine: Any = Mock()
    notices = LoadTable(replica).notices
    tracker = CacheTracker(
        lambda backend: EngineCache(backend, notices.note_said),
        machine,
        replica,
        PlacementLog(),
        Metrics(),
        notices,
    )
    with (
        patch.object(cache_tracker, 'sleep', pause),
        suppress(GreenletExit),
    ):
        tracker._track(context.engine)  # noqa: SLF001
    assert len(pauses) == 1, pauses
    assert seconds - 1 < pauses[0] <= seconds, pauses


@then('no entry that it turned away frees memory there')
def step_not_freed(context: Context) -> None:
    said = SaidAnswers(1)
    head = read_head(503, parse_headers(f'Retry-After: {context.seconds}'))
    said.context.note_said(context.engine, head)
    free_handle(said.context, KvHandle(context.engine, 'h1'))
    sleep(0)
    assert counters(said.context) == {
        ('rests_heard', ''): 1,
        ('handles_not_freed', 'resting'): 1,
    }


@when('back end 1 turns every request away at once')
def step_declines(context: Context) -> None:
    context.group.declining.add(LEFT)
