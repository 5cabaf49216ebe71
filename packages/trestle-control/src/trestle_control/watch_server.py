"""State streams from this control host to nodes.

Each stream has an outbox. Applied commands put deltas into it, and the
answer to each ask is put behind them, so a stamp follows every delta up to
its index. Filling an outbox never blocks, so that a slow node cannot hold up
the log; a stream whose outbox is full is closed and the node comes back.

A stamp's age is taken when the ask arrives. On a follower it counts from
the leader's last confirmed round, so a host that lags gives old stamps and
its nodes move on.
"""

from math import isinf
from time import monotonic
from typing import Any, Final

from gevent import spawn
from gevent.queue import SimpleQueue

from trestle_control.apply import ControlStateMachine
from trestle_control.direct_deltas import Change
from trestle_control.node_table import NodeTable
from trestle_control.replica_api import ReplicaApi
from trestle_control.watch_deltas import (
    delta_for,
    deltas_of,
    opening_deltas,
    set_delta,
)
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.metrics import Metrics
from trestle_links.codec import Message
from trestle_links.connection import Channel, LinkDownError
from trestle_links.direct_messages import ControlHostsDelta
from trestle_links.link_server import Handlers
from trestle_links.watch_messages import (
    FetchSet,
    NodeReport,
    SetDelta,
    Stamp,
    StampAsk,
    Watch,
)

_OUTBOX_LIMIT: Final = 5000
_MS_PER_SECOND: Final = 1000
# An unknown age is older than any limit of the settings.
_UNKNOWN_AGE_MS: Final = 1_000_000_000

_log = part_logger('watch')


class WatchStream:
    """The stream to one node."""

    def __init__(self, watch: Watch, channel: Channel) -> None:
        """Start with an empty outbox."""
        self.watch = watch
        self.channel = channel
        self.outbox: SimpleQueue[Message | None] = SimpleQueue()
        self.hosts = ControlHostsDelta([], '')

    def put(self, body: Message) -> None:
        """Queue a message; a full outbox ends the stream."""
        if self.outbox.qsize() < _OUTBOX_LIMIT:
            self.outbox.put(body)
        else:
            self.outbox.put(None)

    def send_all(self) -> None:
        """Send what is queued, until the stream ends."""
        try:
            for body in iter(self.outbox.get, None):
                self.channel.send(body)
            self.channel.close()
        except LinkDownError:
            return


class WatchServer:
    """All state streams of this control host."""

    def __init__(
        self,
        state_machine: ControlStateMachine,
        replica: ReplicaApi,
        nodes: NodeTable,
        metrics: Metrics,
    ) -> None:
        """Follow what the replica applies."""
        self.state_machine = state_machine
        self.replica = replica
        self.nodes = nodes
        self.metrics = metrics
        self.streams: set[WatchStream] = set()
        replica.on_applied.append(self.push_change)
        replica.on_restored.append(self.push_all)

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {Watch: self.serve, FetchSet: self.fetch_set}

    def push_change(
        self, log_index: int, command: Any, _reply: Message
    ) -> None:
        """Queue what a command changed on every stream it concerns."""
        change = Change(log_index, command)
        for delta in deltas_of(self.state_machine.state, change):
            for stream in self.streams:
                wanted = delta_for(stream.watch, delta)
                if wanted:
                    stream.put(wanted)

    def push_all(self) -> None:
        """Queue whole lists on every stream, after a snapshot."""
        for stream in self.streams:
            self._put_opening(stream)

    def serve(self, watch: Watch, channel: Channel) -> None:
        """Serve one stream: answer asks until the node goes away."""
        stream = WatchStream(watch, channel)
        # Nothing switches greenlets between the lists and the registration,
        # so no change falls between them.
        self._put_opening(stream)
        self.streams.add(stream)
        self.metrics.set_gauge('watch_streams', len(self.streams))
        spawn(stream.send_all)
        try:
            self._answer_asks(stream)
        except TrestleError as error:
            _log.debug('Stream of {} ended: {}.', watch.host, error)
        finally:
            self.streams.discard(stream)
            stream.outbox.put(None)
            self.metrics.set_gauge('watch_streams', len(self.streams))

    def fetch_set(self, fetch: FetchSet, _channel: Channel) -> SetDelta:
        """Return the set in force; version 0 when there is no newer one."""
        published = set_delta(self.state_machine.state)
        if published and published.version > fetch.set_version:
            return published
        return SetDelta(0, '', b'', 0)

    def _put_opening(self, stream: WatchStream) -> None:
        log_index = self.replica.applied_index
        state = self.state_machine.state
        for delta in opening_deltas(state, log_index, stream.watch):
            stream.put(delta)

    def _answer_asks(self, stream: WatchStream) -> None:
        while True:
            ask = stream.channel.receive()
            if not isinstance(ask, StampAsk):
                return
            self._put_hosts(stream)
            stream.put(self._stamp(ask))
            watch = stream.watch
            report = NodeReport(
                watch.host, watch.role, ask.set_version, ask.figures, 0
            )
            self.nodes.note(report, monotonic())

    def _put_hosts(self, stream: WatchStream) -> None:
        hosts = ControlHostsDelta(
            self.replica.member_addresses, self.replica.leader_address or ''
        )
        if hosts.addresses and hosts != stream.hosts:
            stream.hosts = hosts
            stream.put(hosts)

    def _stamp(self, ask: StampAsk) -> Stamp:
        age_seconds = self.replica.freshness_age_seconds()
        age_ms = _UNKNOWN_AGE_MS
        if not isinf(age_seconds):
            # Rounded up: a stamp may be older than the truth, never younger.
            age_ms = min(age_ms, int(age_seconds * _MS_PER_SECOND) + 1)
        return Stamp(
            ask.number,
            self.replica.applied_index,
            age_ms,
            self.state_machine.state.set_version,
        )
