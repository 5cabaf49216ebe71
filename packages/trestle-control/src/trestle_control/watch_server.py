"""State streams from this control host to nodes.

Each stream has an outbox. Applied commands add deltas to it, and the reply
to each stamp request is added after them, so a stamp follows every delta up
to its log index. Adding to an outbox never blocks, so a slow node cannot
delay the log; a stream whose outbox is full is closed, and the node
reconnects.

The age of a stamp is taken when the request arrives. On a follower it counts
from the leader's last confirmed round, so a host that lags sends old stamps
and its nodes switch to another host.
"""

from math import isinf
from time import monotonic
from typing import Any, Final

from gevent import spawn
from gevent.queue import SimpleQueue

from trestle_control.apply import ControlStateMachine
from trestle_control.direct_deltas import AppliedCommand
from trestle_control.node_table import NodeTable
from trestle_control.replica_api import ReplicaApi
from trestle_control.watch_deltas import (
    command_deltas,
    delta_for,
    initial_deltas,
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

_MAX_OUTBOX_MESSAGES: Final = 5000
_MS_PER_SECOND: Final = 1000
# Sent for an unknown age; larger than any limit in the settings.
_UNKNOWN_AGE_MS: Final = 1_000_000_000

_log = part_logger('watch')


class WatchStream:
    """The stream to one node."""

    def __init__(self, watch: Watch, channel: Channel) -> None:
        """Start with an empty outbox."""
        self.watch = watch
        self.channel = channel
        self.outbox: SimpleQueue[Message | None] = SimpleQueue()
        self.sent_hosts = ControlHostsDelta([], '')

    def enqueue(self, body: Message) -> None:
        """Queue a message; end the stream if the outbox is full."""
        if self.outbox.qsize() < _MAX_OUTBOX_MESSAGES:
            self.outbox.put(body)
        else:
            self.outbox.put(None)

    def send_queued(self) -> None:
        """Send the queued messages until the stream ends."""
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
        """Subscribe to the commands that the replica applies."""
        self.state_machine = state_machine
        self.replica = replica
        self.nodes = nodes
        self.metrics = metrics
        self.streams: set[WatchStream] = set()
        replica.on_applied.append(self.push_deltas)
        replica.on_restored.append(self.push_lists)

    def handlers(self) -> Handlers:
        """Return the link handlers."""
        return {
            Watch: self.serve,
            FetchSet: self.fetch_set,
            StampAsk: self.tell_age,
        }

    def push_deltas(
        self, log_index: int, command: Any, _reply: Message
    ) -> None:
        """Queue the deltas of a command on every stream that needs them."""
        applied = AppliedCommand(log_index, command)
        for delta in command_deltas(self.state_machine.state, applied):
            for stream in self.streams:
                relevant = delta_for(stream.watch, delta)
                if relevant:
                    stream.enqueue(relevant)

    def push_lists(self) -> None:
        """Queue complete lists on every stream, after a snapshot."""
        for stream in self.streams:
            self._enqueue_initial(stream)

    def serve(self, watch: Watch, channel: Channel) -> None:
        """Serve one stream: answer stamp requests until it closes."""
        stream = WatchStream(watch, channel)
        # No other greenlet runs between queueing the lists and registering
        # the stream, so no change is lost in between.
        self._enqueue_initial(stream)
        self.streams.add(stream)
        self.metrics.set_gauge('watch_streams', len(self.streams))
        spawn(stream.send_queued)
        try:
            self._answer_stamp_requests(stream)
        except TrestleError as error:
            _log.debug('Stream to {} ended: {}.', watch.host, error)
        finally:
            self.streams.discard(stream)
            stream.outbox.put(None)
            self.metrics.set_gauge('watch_streams', len(self.streams))

    def tell_age(self, request: StampAsk, _channel: Channel) -> Stamp:
        """Return a stamp to a node that looks for a current host."""
        return self._stamp(request)

    def fetch_set(self, request: FetchSet, _channel: Channel) -> SetDelta:
        """Return the set in force; version 0 if it is not newer."""
        published = set_delta(self.state_machine.state)
        if published and published.version > request.set_version:
            return published
        return SetDelta(0, '', b'', 0)

    def _enqueue_initial(self, stream: WatchStream) -> None:
        log_index = self.replica.applied_index
        state = self.state_machine.state
        for delta in initial_deltas(state, log_index, stream.watch):
            stream.enqueue(delta)

    def _answer_stamp_requests(self, stream: WatchStream) -> None:
        while True:
            request = stream.channel.receive()
            if not isinstance(request, StampAsk):
                return
            self._enqueue_hosts(stream)
            stream.enqueue(self._stamp(request))
            watch = stream.watch
            report = NodeReport(
                watch.host, watch.role, request.set_version, request.figures, 0
            )
            self.nodes.record(report, monotonic())

    def _enqueue_hosts(self, stream: WatchStream) -> None:
        hosts = ControlHostsDelta(
            self.replica.member_addresses, self.replica.leader_address or ''
        )
        if hosts.addresses and hosts != stream.sent_hosts:
            stream.sent_hosts = hosts
            stream.enqueue(hosts)

    def _stamp(self, request: StampAsk) -> Stamp:
        age_seconds = self.replica.freshness_age_seconds()
        age_ms = _UNKNOWN_AGE_MS
        if not isinf(age_seconds):
            # Rounded up: a stamp must not understate its age.
            age_ms = min(age_ms, int(age_seconds * _MS_PER_SECOND) + 1)
        return Stamp(
            request.number,
            self.replica.applied_index,
            age_ms,
            self.state_machine.state.set_version,
        )
