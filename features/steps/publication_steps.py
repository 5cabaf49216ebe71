"""Steps on publishing sets."""

from collections import Counter
from functools import partial
from time import monotonic, sleep
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context
from gevent import joinall, spawn

from testbed.bookings import (
    CALL_SECONDS,
    CALLER,
    ENTRIES,
    LEDGER,
    LIMIT_SECONDS,
    OPERATOR_LINK,
    PEER_LINKS,
    PUBLISHED,
    Bookings,
    write_set,
)
from testbed.callers import Answer, ServiceCall, call_service
from testbed.calls import http_call
from testbed.processes import poll_until
from testbed.serving import JsonObject
from trestle_control.node_table import NodeTable
from trestle_control.queries import QueryContext, nodes_query
from trestle_core.digests import canonical_json, content_digest
from trestle_core.metrics import Metrics
from trestle_core.namedset_check import load_set_folder
from trestle_links.control_calls import ControlCaller
from trestle_links.fleet_messages import PublishReply, PublishSet
from trestle_links.handshake import read_key
from trestle_links.link import Identity
from trestle_links.watch_messages import NodeReport, ReadState, StateReply

OTHERS = ('control-2', 'control-3')


def folder_of(bookings: Bookings, name: str) -> str:
    """Return a folder with a set that only this name has."""
    service = {**PUBLISHED['services'][LEDGER], 'description': name}
    named_set = {**PUBLISHED, 'services': {LEDGER: service}}
    return write_set(bookings.cluster, named_set, f'set-{name}')


def publish(
    context: Context, name: str, *options: str, through: tuple[str, ...] = ()
) -> int:
    """Publish a set and keep the exit code and what the program said."""
    folder = folder_of(context.bookings, name)
    done = context.bookings.cluster.operate(
        'publish', folder, '--operator', name, *options, through=through
    )
    context.said += done.stdout + done.stderr
    return int(done.returncode)


def lookup(context: Context, entry: str) -> Answer:
    """Send a lookup through an entry."""
    call = ServiceCall(CALLER, LEDGER, 'lookup', '', {'sacks': 1})
    address = context.bookings.cluster.http_address(entry)
    return call_service(address, call, CALL_SECONDS)


def ready_version(context: Context, entry: str) -> int:
    """Return the version in force on a ready entry, 0 if it is not ready."""
    try:
        status, page = http_call(
            context.bookings.cluster.http_address(entry), 'GET', '/ready'
        )
    except (OSError, ValueError):
        return 0
    return int(page['set_version']) if status == 200 else 0


def start_system(context: Context, **settings: JsonObject) -> None:
    """Start a system in place of one that the background started."""
    context.processes.stop_all()
    context.bookings = Bookings.from_config(context.processes, 1, **settings)
    context.add_cleanup(context.bookings.close)
    context.codes = []
    context.said = ''


@given('a ledger system whose nodes are stale after {seconds:d} seconds')
def step_system(context: Context, seconds: int) -> None:
    stale = {'stale_after_ms': seconds * 1000}
    start_system(context, entry=stale, endpoint=stale)


@given('a ledger system whose "{node}" uses only "{host}"')
def step_system_single(context: Context, node: str, host: str) -> None:
    address = f'@{context.processes.folder / host}.address'
    start_system(context, **{node: {'control': [address]}})


@when('set "{name}" is published as version {version:d}')
def step_publish(context: Context, name: str, version: int) -> None:
    code = publish(context, name, '--version', str(version))
    context.codes.append(code)


@when('set "{name}" is published as version {version:d} through the others')
def step_publish_others(context: Context, name: str, version: int) -> None:
    options = ('--version', str(version))
    assert publish(context, name, *options, through=OTHERS) == 0, context.said


@when('set "{name}" is published and waited for {seconds:d} seconds')
def step_publish_wait(context: Context, name: str, seconds: int) -> None:
    options = ('--wait', '--wait-ms', str(seconds * 1000))
    context.codes.append(publish(context, name, *options))


@when(
    '{versions:d} versions are raced for by 2 operators that each send '
    '{sends:d} times'
)
def step_race(context: Context, versions: int, sends: int) -> None:
    context.races = []

    def send(name: str, host: str, version: str, codes: Counter[int]) -> None:
        for _ in range(sends):
            options = ('--version', version)
            codes[publish(context, name, *options, through=(host,))] += 1

    for version in range(2, versions + 2):
        codes = {one: Counter[int]() for one in OTHERS}
        tasks = [
            spawn(send, f'{one}-{version}', one, str(version), codes[one])
            for one in OTHERS
        ]
        joinall(tasks, raise_error=True)
        in_force = context.bookings.fleet.query('set')
        context.races.append((sends, version, codes, in_force))


@then('each version has one winner, who always hears "accepted"')
def step_winners(context: Context) -> None:
    for sends, version, codes, in_force in context.races:
        assert in_force['version'] == version, in_force
        winner = in_force['operator'].removesuffix(f'-{version}')
        loser = next(one for one in OTHERS if one != winner)
        assert codes[winner] == {0: sends}, codes
        assert codes[loser] == {1: sends}, codes


@when('a connected operator publishes set "{name}" as version {version:d}')
def step_connected(context: Context, name: str, version: int) -> None:
    cluster = context.bookings.cluster
    key = read_key(str(cluster.key_file))
    addresses = [
        cluster.route('operator', one) for one in cluster.control_hosts
    ]
    context.metrics = Metrics.empty()
    me = Identity('operator', key, context.metrics)
    context.operator = ControlCaller(addresses, me)
    context.add_cleanup(context.operator.close)
    # The handshake must be over when the link begins to lose answers.
    context.operator.call(ReadState('status', ''), StateReply, CALL_SECONDS)
    raw, _ = load_set_folder(folder_of(context.bookings, name))
    content = canonical_json(raw)
    context.command = PublishSet(
        version, content_digest(content), content, 'operator'
    )


@when('the answer of "control-1" is lost')
def step_lose(context: Context) -> None:
    context.bookings.cluster.set_link(OPERATOR_LINK, 'drop', direction='down')
    context.reply = context.operator.call(
        context.command, PublishReply, CALL_SECONDS
    )


@then('it hears "accepted" from another control host')
def step_accepted(context: Context) -> None:
    assert context.reply.accepted, context.reply
    failures = context.metrics.render()
    assert 'control_call_failures_total{code="call-timeout"} 1' in failures


@when('"{host}" is suspended')
def step_suspend(context: Context, host: str) -> None:
    context.bookings.cluster.process(host).pause()


@when('"{host}" is resumed after the wait')
def step_resume(context: Context, host: str) -> None:
    context.bookings.cluster.process(host).resume()


@when('"entry-1" loses control')
def step_lose_control(context: Context) -> None:
    context.bookings.set_control_links('drop')


@when('"entry-1" loses control until it is not ready')
def step_lose_ready(context: Context) -> None:
    context.bookings.set_control_links('drop')
    poll_until(
        lambda: not ready_version(context, ENTRIES[0]),
        LIMIT_SECONDS,
        'entry-1 not ready',
    )


@when('"entry-1" reaches control again')
def step_reach(context: Context) -> None:
    context.bookings.set_control_links('pass')


@when('a lookup is sent through "{entry}"')
def step_lookup(context: Context, entry: str) -> None:
    assert lookup(context, entry).verdict == 'ran'


@when('"control-1" is cut off from the other control hosts')
def step_cut(context: Context) -> None:
    for link in PEER_LINKS:
        context.bookings.cluster.set_link(link, 'drop')


@when('"control-1" reaches the other control hosts again')
def step_heal(context: Context) -> None:
    for link in PEER_LINKS:
        context.bookings.cluster.set_link(link, 'pass')


@when('"{host}" is killed and started')
def step_kill(context: Context, host: str) -> None:
    processes = context.bookings.cluster.processes
    processes.started[host].kill()
    processes.restart(host)


@when('every process is killed and started')
def step_kill_all(context: Context) -> None:
    cluster = context.bookings.cluster
    hosts = [*cluster.control_hosts, *cluster.entry_hosts, 'ledger-1']
    for host in hosts:
        cluster.process(host).kill()
    for host in hosts:
        cluster.processes.restart(host)


@then('the exit codes are "{codes}"')
def step_codes(context: Context, codes: str) -> None:
    seen = ', '.join(map(str, context.codes))
    assert seen == codes, (seen, context.said)


@then('the program said "{text}"')
def step_said(context: Context, text: str) -> None:
    assert text in context.said, context.said


@then('version {version:d} with set "{name}" is in force')
def step_in_force(context: Context, version: int, name: str) -> None:
    published = context.bookings.fleet.query('set')
    description = published['content']['services'][LEDGER]['description']
    assert (published['version'], description) == (version, name), published


@then('version {version:d} was published once')
def step_once(context: Context, version: int) -> None:
    story = context.bookings.fleet.query('explain', f'version-{version}')
    assert len(story['records']) == 1, story
    later = context.bookings.fleet.query('explain', f'version-{version + 1}')
    assert not later['records'], later


@then('lookups through "{entry}" are refused with "{code}" as "{verdict}"')
def step_refused(context: Context, entry: str, code: str, verdict: str) -> None:
    answer = lookup(context, entry)
    assert (answer.code, answer.verdict) == (code, verdict), answer


@then('"{entry}" becomes ready and serves lookups')
def step_ready(context: Context, entry: str) -> None:
    poll_until(
        partial(ready_version, context, entry), LIMIT_SECONDS, 'ready again'
    )
    assert lookup(context, entry).verdict == 'ran'


@then('"{entry}" has version {version:d} in force while it is cut off')
def step_heard(context: Context, entry: str, version: int) -> None:
    poll_until(
        lambda: ready_version(context, entry) == version,
        LIMIT_SECONDS,
        f'version {version} on {entry}',
    )


@then('"{entry}" is not ready for {seconds:d} seconds')
def step_not_ready(context: Context, entry: str, seconds: int) -> None:
    until = monotonic() + seconds
    while monotonic() < until:
        assert not ready_version(context, entry)
        sleep(0.05)


@then('"{entry}" is first ready with version {version:d}')
def step_first_ready(context: Context, entry: str, version: int) -> None:
    seen = poll_until(
        partial(ready_version, context, entry), LIMIT_SECONDS, 'ready'
    )
    assert seen == version, seen


@given('the table of nodes of a control host that has just started')
def step_new_table(context: Context) -> None:
    """Start without reports."""
    context.node_table = NodeTable()


@when('another control host tells of a node {seconds:f} seconds later')
def step_told_later(context: Context, seconds: float) -> None:
    """Query at once, and hear of the node later."""
    sources = QueryContext(Mock(), context.node_table, Mock())
    context.asked = spawn(nodes_query, sources, '')
    sleep(seconds)
    context.node_table.record(NodeReport('n', 'entry', 1, {}, 0), monotonic())


@then('a query for the nodes that was made before tells of it')
def step_told(context: Context) -> None:
    """Check the answer of the query."""
    (node,) = context.asked.get(timeout=10)
    assert node['host'] == 'n', node
