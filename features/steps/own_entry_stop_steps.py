"""Steps on the planned stop of the product's own entry, in this process."""

from collections.abc import Iterator
from contextlib import suppress
from time import monotonic

from behave import given, then, when
from behave.runner import Context
from gevent import Timeout, sleep, spawn

from testbed.kept_channels import KeptChannel
from trestle_core.settings import EntrySettings
from trestle_entry.entry_app import build_context, drain_hook
from trestle_entry.http_server import HttpServer
from trestle_entry.http_types import HttpRequest, HttpResponse
from trestle_entry.reported_loads import ReportedLoads

DRAIN_MS = 2000
LIMIT_SECONDS = 20.0
NEVER_SECONDS = 3600.0
PATH = '/v1/completions'


@given("the product's own entry, where {what} never ends")
def step_entry(context: Context, what: str) -> None:
    """Start its server, with a handler in the place of the engines."""
    key_file = context.folder / 'key'
    key_file.write_bytes(b'k' * 16)
    settings = EntrySettings(
        host='entry-1',
        zone='z',
        key_file=str(key_file),
        control=['127.0.0.1:1'],
        http_listen='127.0.0.1:0',
        drain_ms=DRAIN_MS,
        drain_notice_ms=0,
    )
    context.own = build_context(settings, ReportedLoads())
    context.server = HttpServer(context.own)
    handlers = {
        'a completion': lambda _request: never(),
        'a stubborn completion': lambda _request: never_for_long(),
        'a stream': lambda _request: HttpResponse(200, [], stream()),
    }

    def handle(request: HttpRequest) -> HttpResponse:
        context.record = context.own.records.begin(
            request.request_id, 'caller', 'route'
        )
        context.own.inflight.add('caller', 'route')
        try:
            return handlers[what](request)
        except BaseException as error:
            context.record.note_failure(error)
            raise
        finally:
            if what != 'a stream':
                context.own.inflight.remove('caller', 'route')

    def stream() -> Iterator[bytes]:
        try:
            yield b'data: a\n\n'
            never()
        except Timeout as error:
            context.record.note_failure(error)
            raise
        finally:
            context.own.inflight.remove('caller', 'route')

    context.server.handlers.post_handlers[PATH] = handle
    context.address = context.server.start()
    context.add_cleanup(context.server.stop)


def never() -> HttpResponse:
    """Wait like a request whose engine says nothing."""
    sleep(NEVER_SECONDS)
    raise AssertionError('the wait is over')


def never_for_long() -> HttpResponse:
    """Take the first end for a limit of its own, as a connect does."""
    with suppress(Timeout):
        sleep(NEVER_SECONDS)
    return never()


@when('it is asked for {what} and stops as planned')
def step_stop(context: Context, what: str) -> None:
    """Drain while the request runs, then stop the server."""
    channel = KeptChannel((context.address.ip, context.address.port))
    context.add_cleanup(channel.close)
    call = spawn(channel.call, PATH, {}, 0)
    sleep(0.1)
    began_at = monotonic()
    drain_hook(context.server)()
    context.drain_seconds = monotonic() - began_at
    context.server.stop()
    context.heard = call.get(timeout=LIMIT_SECONDS)


@then('the caller gets 502 with the verdict and its id')
def step_answer(context: Context) -> None:
    """Check that the answer is the entry's own."""
    heard = context.heard
    assert heard.status == 502 and heard.is_whole, heard
    assert heard.headers['request-verdict'] == 'may-have-run', heard
    assert heard.headers['x-request-id'] == context.record.request_id, heard


@then('the caller gets 200 and no end')
def step_broken_off(context: Context) -> None:
    """Check that the stream does not look whole."""
    assert context.heard.status == 200, context.heard
    assert not context.heard.is_whole, context.heard


@then('the record says "{verdict}" and "{code}"')
def step_record(context: Context, verdict: str, code: str) -> None:
    """Check what the log tells of it."""
    assert context.record.verdict.value == verdict, context.record.verdict
    assert context.record.code == code, context.record.code


@then('the entry has drained in time')
def step_in_time(context: Context) -> None:
    """Check that the drain kept to its time."""
    assert context.drain_seconds < DRAIN_MS / 1000, context.drain_seconds
