"""A node's side of the state stream, shared by entry and endpoint processes.

One greenlet keeps a `Watch` stream to one control host. It asks for a
freshness stamp at a fixed pace. When the stamps stop or grow old, it moves to a
host that is known to be current (see `host_search`), or to the next one while
none is.

A stamp (see `freshness`) counts only when the node holds the set that it
names.
"""

from collections.abc import Callable
from itertools import count
from time import monotonic
from typing import Any, Final, NamedTuple, Self, TypeVar

from gevent import Greenlet, spawn
from gevent.event import Event

from trestle_core.digests import ranked
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_core.settings import CommonSettings
from trestle_links.codec import Message
from trestle_links.connection import CallTimeoutError, Channel
from trestle_links.control_calls import ControlCaller
from trestle_links.direct_messages import (
    BackendsDelta,
    ControlHostsDelta,
    DocumentDelta,
)
from trestle_links.fleet_messages import Order
from trestle_links.freshness import Freshness
from trestle_links.host_search import addresses_after, find_current
from trestle_links.link import Identity, Link
from trestle_links.node_view import NodeView
from trestle_links.watch_messages import (
    ContentDelta,
    EndpointsDelta,
    FetchSet,
    OrderDelta,
    SetDelta,
    SetPatch,
    Stamp,
    StampAsk,
    Watch,
)

# Share of `stale_after` without a fresh stamp after which the node moves on.
_MOVE_SHARE: Final = 0.3
_RETRY_SECONDS: Final = 0.2
# A stream that ends sooner has told nothing.
_SHORT_SECONDS: Final = 0.5
# Time between two asks of a node that starts and has had no fresh stamp yet.
_FIRST_ASK_SECONDS: Final = 0.05
_FETCH_SECONDS: Final = 3.0
_MS_PER_SECOND: Final = 1000

Reply = TypeVar('Reply')
Hook = Callable[[], None]
OrderHook = Callable[[Order], None]

_log = part_logger('watch')


class Watcher(NamedTuple):
    """Who watches, and how often it asks."""

    host: str
    role: str
    targets: list[str]
    stamp_seconds: float
    stale_seconds: float


class ControlClient:
    """The node's view of the control state, and its way to send commands."""

    def __init__(
        self, watcher: Watcher, addresses: list[str], me: Identity
    ) -> None:
        """Connect to nothing yet."""
        self.watcher = watcher
        # Age of the state of a host beyond which the node follows another one.
        self.max_age_seconds = watcher.stale_seconds * _MOVE_SHARE
        self.addresses = addresses
        self.me = me
        self.caller = ControlCaller(addresses, me)
        self.view = NodeView()
        self.figures: dict[str, float] = {}
        self.on_set: list[Hook] = []
        self.on_endpoints: list[Hook] = []
        self.on_order: list[OrderHook] = []
        self.on_contents: list[Hook] = []
        self.on_document: list[Hook] = []
        self.on_backends: list[Hook] = []
        self.on_stamp: list[Hook] = []
        # Where the leader listens, as the followed host last told.
        self.leader_address = ''
        self.freshness = Freshness()
        self.lost = False
        self.stopped = Event()
        self.takers: dict[type[Any], Callable[[Any], None]] = {
            Stamp: self._take_stamp,
            SetDelta: self.offer_set,
            SetPatch: self._take_patch,
            EndpointsDelta: self._take_endpoints,
            ContentDelta: self._take_contents,
            OrderDelta: lambda delta: _take_order(self, delta),
            DocumentDelta: lambda delta: _take_document(self, delta),
            BackendsDelta: lambda delta: _take_backends(self, delta),
            ControlHostsDelta: lambda delta: _take_hosts(self, delta),
        }
        self.task: Greenlet[..., None] | None = None

    @classmethod
    def from_config(
        cls,
        settings: CommonSettings,
        me: Identity,
        role: str,
        targets: list[str],
        metrics: Metrics,
    ) -> Self:
        """Make a client; empty `targets` means endpoints of every target."""
        metrics.set_gauge('set_version', 0)
        watcher = Watcher(
            settings.host,
            role,
            targets,
            settings.stamp_every_ms / _MS_PER_SECOND,
            settings.stale_after_ms / _MS_PER_SECOND,
        )
        # Streams spread over the control hosts, and a host's streams over
        # the others when it is lost.
        addresses = ranked(settings.host, settings.control)
        return cls(watcher, addresses, me)

    def start(self) -> None:
        """Start following a control host."""
        self.task = spawn(self._run)

    def stop(self) -> None:
        """Stop following and close the links."""
        self.stopped.set()
        if self.task:
            self.task.kill()
        self.caller.close()

    def is_fresh(self) -> bool:
        """Tell whether the node holds a set and a stamp that confirms it."""
        return (
            self.view.holds_configuration
            and self.freshness_seconds() < self.watcher.stale_seconds
        )

    def freshness_seconds(self) -> float:
        """Return the age of the view; infinity before the first stamp."""
        return self.freshness.age_seconds()

    def submit(
        self,
        command: Message,
        reply_type: type[Reply],
        timeout_seconds: float,
    ) -> Reply:
        """Send a command to any control host and return its reply.

        Raises `TrestleError`; its verdict says whether the command may
        have been applied. Every command is safe to submit again.
        """
        return self.caller.call(command, reply_type, timeout_seconds)

    def offer_set(self, delta: SetDelta) -> None:
        """Take a set that a peer has in force, if it is newer."""
        if self.view.take_set(delta):
            self._set_changed()

    def _take_patch(self, patch: SetPatch) -> None:
        if self.view.take_patch(patch):
            self._set_changed()

    def _set_changed(self) -> None:
        version = self.view.set_version
        self.me.metrics.set_gauge('set_version', version)
        _log.info('Named set version {} is in force.', version)
        _run_hooks(self.on_set)

    def _run(self) -> None:
        address = self.addresses[0]
        while not self.stopped.is_set():
            began_at = monotonic()
            self._follow_until_lost(address)
            following = addresses_after(address, self.addresses)
            found = find_current(self.me, self.max_age_seconds, following)
            # Streams that end as soon as they begin are not opened in a loop.
            is_short = monotonic() - began_at < _SHORT_SECONDS
            if found is None or is_short:
                self.stopped.wait(_RETRY_SECONDS)
            address = found or following[0]

    def _follow_until_lost(self, address: str) -> None:
        link = Link.to_address(address, self.me)
        try:
            self._follow(link)
        except TrestleError as error:
            self.me.metrics.count('watch_losses', error.code.code)
            _log_loss(self, address, error)
        except Exception:
            # A failing hook must not end the stream for good.
            _log.exception('State stream of {} failed.', address)
        finally:
            link.close()

    def _follow(self, link: Link) -> None:
        watcher = self.watcher
        self.freshness.begin_stream()
        channel = link.open(
            Watch(
                watcher.host,
                watcher.role,
                watcher.targets,
                self.view.set_version,
            )
        )
        opened_at = monotonic()
        for number in count():
            self.freshness.note_ask(number)
            channel.send(StampAsk(number, self.view.set_version, self.figures))
            if not self._take_until(channel, monotonic() + _ask_pause(self)):
                return
            if self._should_move(opened_at):
                self.me.metrics.count('watch_losses', 'no-fresh-stamp')
                _log.warning('{} gives no fresh stamp.', channel.peer)
                return

    def _take_until(self, channel: Channel, until: float) -> bool:
        while True:
            left_seconds = until - monotonic()
            if left_seconds <= 0:
                return True
            try:
                body = channel.receive(left_seconds)
            except CallTimeoutError:
                return True
            if body is None:
                return False
            self._take(body)

    def _take(self, body: Message) -> None:
        taker = self.takers.get(type(body))
        if taker:
            taker(body)

    def _take_endpoints(self, delta: EndpointsDelta) -> None:
        if self.view.take_endpoints(delta):
            _run_hooks(self.on_endpoints)

    def _take_contents(self, delta: ContentDelta) -> None:
        if self.view.take_contents(delta):
            _run_hooks(self.on_contents)

    def add_addresses(self, addresses: list[str]) -> None:
        """Learn of more control hosts.

        Known ones stay: they are all that is left after a long cut.
        """
        # The list is shared with `caller`, so it changes in place.
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

    def _take_stamp(self, stamp: Stamp) -> None:
        self.lost = False
        self.view.reach(stamp.log_index)
        if stamp.set_version > self.view.set_version:
            # Without the set the node must not count as fresh. A patch that
            # did not fit leaves the whole set to be fetched.
            spawn(_fetch_set, self)
            return
        self.freshness.take(stamp)
        _run_hooks(self.on_stamp)

    def _should_move(self, opened_at: float) -> bool:
        limit_seconds = self.max_age_seconds
        is_old = self.freshness_seconds() > limit_seconds
        return is_old and monotonic() - opened_at > limit_seconds


def _log_loss(client: ControlClient, address: str, error: TrestleError) -> None:
    # While no host answers, one line is enough.
    level = 'DEBUG' if client.lost else 'WARNING'
    client.lost = True
    _log.log(level, 'State stream of {} lost: {}.', address, error)


def _ask_pause(client: ControlClient) -> float:
    # A node without a fresh stamp asks faster, so that it soon serves.
    stamp_seconds = client.watcher.stamp_seconds
    if client.is_fresh():
        return stamp_seconds
    freshness = client.freshness
    if freshness.was_ever_fresh or freshness.unanswered > 1:
        # A host that is behind with its answers gets no more asks than usual.
        return min(_RETRY_SECONDS, stamp_seconds)
    return min(_FIRST_ASK_SECONDS, stamp_seconds)


def _run_hooks(hooks: list[Hook]) -> None:
    for hook in hooks:
        hook()


def _fetch_set(client: ControlClient) -> None:
    client.me.metrics.count('set_fetches')
    fetch = FetchSet(client.view.set_version)
    try:
        delta = client.submit(fetch, SetDelta, _FETCH_SECONDS)
    except TrestleError as error:
        _log.warning('The set cannot be fetched: {}.', error)
    else:
        client.offer_set(delta)


def _take_order(client: ControlClient, delta: OrderDelta) -> None:
    for hook in client.on_order:
        hook(delta.order)


def _take_document(client: ControlClient, delta: DocumentDelta) -> None:
    if client.view.take_document(delta):
        _run_hooks(client.on_document)


def _take_backends(client: ControlClient, delta: BackendsDelta) -> None:
    if client.view.take_backends(delta):
        _run_hooks(client.on_backends)


def _take_hosts(client: ControlClient, delta: ControlHostsDelta) -> None:
    client.leader_address = delta.leader
    client.add_addresses(delta.addresses)
