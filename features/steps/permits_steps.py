"""Steps on permits that come late, twice, or to another incarnation."""

from time import sleep
from typing import Final

from behave import given, then, when
from behave.runner import Context
from gevent import spawn

from testbed.callers import Answer, ServiceCall, call_service
from testbed.cluster import Cluster
from testbed.firms import DESK, medena_layout, publish_when_ready
from testbed.metrics import read_counter
from testbed.processes import poll_until
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_links.answer_messages import CallAnswer, DispatchCall
from trestle_links.handshake import read_key
from trestle_links.link import Identity, Link
from trestle_links.permit_messages import Permit, PermitAsk, PermitGrant

HOST: Final = 'desk-1'
ENTRY: Final = 'entry-1'
LINK: Final = 'entry>desk-1'
LIMIT_SECONDS: Final = 20.0
CALL_SECONDS: Final = 5.0
MS_PER_SECOND: Final = 1000
ON_ITS_WAY_SECONDS: Final = 0.3


@given('a desk behind a proxy whose permits live {seconds:d} second')
@given('a desk behind a proxy whose permits live {seconds:d} seconds')
def step_desk(context: Context, seconds: int) -> None:
    settings = {
        HOST: {'permit_ttl_ms': seconds * MS_PER_SECOND},
        # A paused entry still wants the permit that it asked for.
        ENTRY: {'permit_timeout_ms': 8000},
    }
    layout = medena_layout(1, 1, links=(LINK,), settings=settings, entries=1)
    context.cluster = Cluster.from_config(context.processes, layout)
    publish_when_ready(context.cluster)
    key = read_key(str(context.cluster.key_file))
    context.me = Identity('caller', key, Metrics.empty())
    context.link = link_of(context)
    # The entry's own link is up from now on.
    assert book(context, 'first').verdict == 'ran'


def book(context: Context, key: str) -> Answer:
    """Reserve a lot through the entry."""
    call = ServiceCall('trader', DESK, 'reserve', key, {'lot': 1})
    address = context.cluster.http_address(ENTRY)
    return call_service(address, call, LIMIT_SECONDS)


def link_of(context: Context) -> Link:
    """Return a link as an entry has it, through the proxy."""
    link = Link.to_address(context.cluster.route('entry', HOST), context.me)
    context.add_cleanup(link.close)
    return link


@when('a trader books with key "{key}"')
def step_book(context: Context, key: str) -> None:
    # What the desk's process sends to the entry waits on the link.
    context.cluster.set_link(LINK, 'hold', direction='down')
    context.granted = counted(context, 'permits', 'granted')
    context.booking = spawn(book, context, key)


@when(
    'the entry is paused for {seconds:d} seconds before it hears of its permit'
)
def step_pause_entry(context: Context, seconds: int) -> None:
    poll_until(
        lambda: counted(context, 'permits', 'granted') > context.granted,
        LIMIT_SECONDS,
        'a permit',
    )
    process = context.cluster.process(ENTRY)
    process.pause()
    context.cluster.set_link(LINK, 'pass')
    sleep(seconds)
    process.resume()


@then('the desk has run key "{key}" once, as the trader was told')
def step_told(context: Context, key: str) -> None:
    answer = context.booking.get(timeout=LIMIT_SECONDS)
    assert answer.verdict == 'ran', answer
    step_runs_once(context, key)


@then('the desk has refused a permit as "{reason}"')
def step_refused_permit(context: Context, reason: str) -> None:
    assert counted(context, 'permit_refusals', reason)


@when('a caller holds a permit for key "{key}"')
def step_hold(context: Context, key: str) -> None:
    context.key = key
    context.permit = ask_permit(context, key)


def ask_permit(context: Context, key: str) -> Permit:
    """Return a permit of the desk's present process."""
    ask = PermitAsk(
        request_id=key,
        caller='caller',
        route=DESK,
        target=DESK,
        priority=1,
        prompt_tokens=0,
        output_tokens=0,
        pieces=[],
        left_ms=8000,
        set_version=1,
    )
    grant: PermitGrant = context.link.call(ask, PermitGrant, CALL_SECONDS)
    return grant.permit


@when('the new process grants a permit with the same number for "{key}"')
def step_same_number(context: Context, key: str) -> None:
    serial = 0
    while serial < context.permit.serial:
        serial = ask_permit(context, key).serial
    assert serial == context.permit.serial, serial


@when('the caller dispatches with the old one')
@when('the caller dispatches with it')
def step_dispatch(context: Context) -> None:
    context.dispatched = dispatch(context, context.link)


def dispatch(context: Context, link: Link) -> CallAnswer | TrestleError:
    """Dispatch with the held permit and return what came back."""
    body = DispatchCall(
        permit=context.permit,
        request_id=context.key,
        caller='caller',
        service=DESK,
        operation='reserve',
        key=context.key,
        body=b'{"lot": 2}',
        left_ms=8000,
        claimed=context.key == 'held',
    )
    try:
        return link.call(body, CallAnswer, CALL_SECONDS)
    except TrestleError as error:
        return error


@when(
    "the desk's process is paused for {seconds:d} seconds "
    'with its dispatch waiting'
)
def step_pause_desk(context: Context, seconds: int) -> None:
    process = context.cluster.process(HOST)
    process.pause()
    waiting = spawn(dispatch, context, context.link)
    sleep(seconds)
    process.resume()
    context.dispatched = waiting.get(timeout=LIMIT_SECONDS)


@when('its dispatch is held on the link until both sides have restarted')
def step_hold_dispatch(context: Context) -> None:
    cluster = context.cluster
    cluster.set_link(LINK, 'hold', direction='up')
    waiting = spawn(dispatch, context, context.link)
    sleep(ON_ITS_WAY_SECONDS)
    for host in (HOST, ENTRY):
        cluster.process(host).kill()
        cluster.processes.restart(host)
    cluster.wait_ready([HOST, ENTRY])
    # The frame goes on while the caller waits, and again on a new link.
    cluster.set_link(LINK, 'pass')
    waiting.get(timeout=LIMIT_SECONDS)
    context.link = link_of(context)


@then('the dispatch is refused as "{code}", "{verdict}"')
def step_refused(context: Context, code: str, verdict: str) -> None:
    error = context.dispatched
    assert isinstance(error, TrestleError), error
    assert (error.code.code, error.verdict.value) == (code, verdict), error


@then('the desk has run key "{key}" once')
def step_runs_once(context: Context, key: str) -> None:
    assert runs(context, key) == 1


@then('the desk has not run key "{key}"')
def step_not_run(context: Context, key: str) -> None:
    sleep(ON_ITS_WAY_SECONDS)
    assert not runs(context, key)


def runs(context: Context, key: str) -> int:
    """Return how often the desk has run a key."""
    return sum(line['key'] == key for line in context.cluster.record(HOST))


def counted(context: Context, name: str, label: str) -> float:
    """Return a counter of the desk's process."""
    return read_counter(context.cluster.http_address(HOST), name, label)
