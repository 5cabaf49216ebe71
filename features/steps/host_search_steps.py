"""Steps on nodes that look for a control host that is current."""

from time import monotonic
from typing import Any, Final

from behave import given, then, when
from behave.runner import Context
from gevent import sleep, spawn_later
from gevent.server import StreamServer
from gevent.socket import socket

from trestle_core.digests import ranked
from trestle_core.metrics import Metrics
from trestle_links.connection import Channel
from trestle_links.control_client import ControlClient, Watcher
from trestle_links.direct_messages import DocumentDelta
from trestle_links.link import Identity
from trestle_links.link_server import LinkServer
from trestle_links.watch_messages import Stamp, StampAsk, Watch

KEY: Final = b'0' * 32
OLD_MS: Final = 60_000
# As the platform's entries have them.
STAMP_SECONDS: Final = 0.3
STALE_SECONDS: Final = 3.0
CONNECT_SECONDS: Final = 0.5
# A view of this age is current.
CURRENT_SECONDS: Final = 0.9


class Host:
    """A control host whose state is as old as the test wants."""

    def __init__(self) -> None:
        """Listen, and be current."""
        self.age_ms = 0
        self.followed = 0
        self.opened = 0
        self.ends_streams = False
        me = Identity('control', KEY, Metrics())
        handlers: Any = {Watch: self.watch, StampAsk: self.stamp}
        self.server = LinkServer('127.0.0.1:0', me, handlers)
        self.server.start()
        self.address = str(self.server.address)

    def stamp(self, ask: StampAsk, _channel: Channel) -> Stamp:
        """Return a stamp of that age."""
        return Stamp(ask.number, 1, self.age_ms, 0)

    def watch(self, _body: Watch, channel: Channel) -> None:
        """Send a document, then a stamp for each ask."""
        self.opened += 1
        if self.ends_streams:
            return
        self.followed += 1
        try:
            channel.send(DocumentDelta(1, b'', 1))
            while isinstance(ask := channel.receive(), StampAsk):
                if self.ends_streams:
                    return
                channel.send(self.stamp(ask, channel))
        finally:
            self.followed -= 1


def listen_silently(context: Context) -> str:
    """Return an address that accepts and says nothing."""

    def keep(_sock: socket, _address: Any) -> None:
        sleep(60)

    server = StreamServer(('127.0.0.1', 0), keep)
    server.start()
    context.add_cleanup(server.stop, 0)
    ip, port = server.socket.getsockname()[:2]
    return f'{ip}:{port}'


def follow(context: Context, name: str, addresses: list[str]) -> ControlClient:
    """Start a node that follows the first of some hosts."""
    me = Identity(name, KEY, Metrics(), CONNECT_SECONDS)
    watcher = Watcher(name, 'entry', [], STAMP_SECONDS, STALE_SECONDS)
    client = ControlClient(watcher, addresses, me)
    client.start()
    context.add_cleanup(client.stop)
    return client


def start_hosts(context: Context, count: int) -> None:
    """Start control hosts that are current."""
    context.hosts = [Host() for _ in range(count)]
    for host in context.hosts:
        context.add_cleanup(host.server.stop)


def wait_current(context: Context, seconds: float) -> None:
    """Wait until all nodes have a view of what is in force now."""
    until = monotonic() + seconds
    while monotonic() < until:
        ages = [client.freshness_seconds() for client in context.clients]
        if max(ages) < CURRENT_SECONDS:
            return
        sleep(0.01)
    raise AssertionError(ages)


@given('a node that follows the first of {count:d} control hosts')
def step_node(context: Context, count: int) -> None:
    """Start the hosts; silent ones take their place in the list later."""
    start_hosts(context, count)
    addresses = [host.address for host in context.hosts]
    context.clients = [follow(context, 'entry-1', addresses)]
    wait_current(context, 5)


@when(
    'that one falls behind, {behind:d} are behind, too, and {silent:d} are silent'
)
def step_behind(context: Context, behind: int, silent: int) -> None:
    """Leave the last host current."""
    client = context.clients[0]
    for host in context.hosts[: behind + 1]:
        host.age_ms = OLD_MS
    for place in range(behind + 1, behind + 1 + silent):
        client.addresses[place] = listen_silently(context)
    age_of_last(context)


def age_of_last(context: Context) -> None:
    """Wait for the last stamp that is current to count no more."""
    until = monotonic() + CURRENT_SECONDS + STAMP_SECONDS
    while context.clients[0].freshness_seconds() < CURRENT_SECONDS:
        assert monotonic() < until
        sleep(0.01)


@when('all fall behind for {seconds:d} seconds')
def step_all_behind(context: Context, seconds: int) -> None:
    """Let all be current again together."""

    def set_ages(age_ms: int) -> None:
        for host in context.hosts:
            host.age_ms = age_ms

    set_ages(OLD_MS)
    spawn_later(seconds, set_ages, 0)
    age_of_last(context)


@when('both end all streams as they begin, for {seconds:d} seconds')
def step_end_streams(context: Context, seconds: int) -> None:
    """Count the streams that are opened meanwhile."""
    for host in context.hosts:
        host.opened = 0
        host.ends_streams = True
    sleep(seconds)
    for host in context.hosts:
        host.ends_streams = False


@then('they were asked for at most {most:d} streams')
def step_opened(context: Context, most: int) -> None:
    """Check that the node waits between two streams."""
    opened = sum(host.opened for host in context.hosts)
    assert 1 < opened <= most, opened


@then('the node is current again within {seconds:d} seconds')
@then('all nodes are current again within {seconds:d} seconds')
def step_current(context: Context, seconds: int) -> None:
    """Check the time, counted from the end of the last current view."""
    wait_current(context, seconds - CURRENT_SECONDS)


@given('{nodes:d} nodes that follow {count:d} control hosts')
def step_nodes(context: Context, nodes: int, count: int) -> None:
    """Start nodes of which some follow each host."""
    start_hosts(context, count)
    addresses = [host.address for host in context.hosts]
    names = [f'entry-{number}' for number in range(nodes)]
    context.clients = [
        follow(context, name, ranked(name, addresses)) for name in names
    ]
    wait_current(context, 5)


@when('the first of these ends')
def step_ends(context: Context) -> None:
    """End a host that nodes follow."""
    context.hosts.pop(0).server.stop()
    sleep(CURRENT_SECONDS)


@then('no host is followed by more than half of them')
def step_spread(context: Context) -> None:
    """Check where the streams are."""
    followed = [host.followed for host in context.hosts]
    assert sum(followed) >= len(context.clients), followed
    assert max(followed) * 2 <= len(context.clients), followed
