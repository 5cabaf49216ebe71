"""A control host for tests of one endpoint process.

It runs inside the test: so a test holds commits back, sends any delta, and
reads the commands that came. The endpoint process itself is a real one.
"""

from collections.abc import Mapping
from typing import Any

from gevent.event import Event

from trestle_core.digests import canonical_json, content_digest
from trestle_core.metrics import Metrics
from trestle_links.claim_messages import ClaimReply, RecordOutcome
from trestle_links.codec import Message
from trestle_links.connection import Channel, LinkDownError
from trestle_links.engine_messages import ReportEngine
from trestle_links.fleet_messages import (
    AdmitEndpoint,
    AdmitReply,
    ClearSuspect,
    CommandReply,
    CrashReply,
    Order,
    ReportCrash,
    ReportOrder,
)
from trestle_links.link import Identity
from trestle_links.link_server import LinkServer
from trestle_links.watch_messages import (
    ContentDelta,
    EndpointInfo,
    EndpointsDelta,
    OrderDelta,
    SetDelta,
    Stamp,
    StampAsk,
    Watch,
)


class ControlStub:
    """Admits everyone and keeps what it is told."""

    def __init__(self, key: bytes, named_set: Mapping[str, Any]) -> None:
        self.content = canonical_json(named_set)
        self.log_index = 1
        self.endpoints: dict[str, EndpointInfo] = {}
        self.suspects: list[str] = []
        self.quarantined: list[str] = []
        self.outstanding: Order | None = None
        self.commands: list[Message] = []
        self.commits = Event()
        self.commits.set()
        self.stamps = True
        self.streams: set[Channel] = set()
        me = Identity('control-1', key, Metrics())
        self.server = LinkServer(
            '127.0.0.1:0',
            me,
            {
                Watch: self.watch,
                AdmitEndpoint: self.admit,
                RecordOutcome: self.record_outcome,
                ReportCrash: self.report_crash,
                ClearSuspect: self.accept,
                ReportOrder: self.accept,
                ReportEngine: self.accept,
            },
        )

    def start(self) -> str:
        """Listen; return the address."""
        self.server.start()
        return str(self.server.address)

    def seen(self, command_type: type[Any]) -> list[Any]:
        """Return the commands of one type that came so far."""
        return [one for one in self.commands if isinstance(one, command_type)]

    def push(self, body: Message) -> None:
        """Send a delta on every stream."""
        for channel in list(self.streams):
            try:
                channel.send(body)
            except LinkDownError:
                self.streams.discard(channel)

    def set_serving(self, host: str, *, serving: bool) -> None:
        """Withdraw or restore an endpoint."""
        info = self.endpoints[host]._replace(serving=serving)
        self.put_endpoint(info)

    def put_endpoint(self, info: EndpointInfo) -> None:
        """Change an endpoint and tell every stream."""
        self.endpoints[info.host] = info
        self.log_index += 1
        self.push(EndpointsDelta([info], False, self.log_index))

    def put_contents(self, suspects: list[str], quarantined: list[str]) -> None:
        """Change the crash-causing contents and tell every stream."""
        self.suspects = suspects
        self.quarantined = quarantined
        self.log_index += 1
        self.push(self.contents())

    def issue(self, order: Order) -> None:
        """Send an order to the endpoint."""
        self.outstanding = order
        self.push(OrderDelta(order))

    def contents(self) -> ContentDelta:
        """Return the whole list of contents."""
        return ContentDelta(
            self.suspects, self.quarantined, [], True, self.log_index
        )

    def watch(self, _body: Watch, channel: Channel) -> None:
        """Send the whole state, then a stamp for each ask."""
        digest = content_digest(self.content)
        channel.send(SetDelta(1, digest, self.content, 1))
        infos = list(self.endpoints.values())
        channel.send(EndpointsDelta(infos, True, self.log_index))
        channel.send(self.contents())
        if self.outstanding:
            channel.send(OrderDelta(self.outstanding))
        self.streams.add(channel)
        while (ask := channel.receive()) is not None:
            if self.stamps and isinstance(ask, StampAsk):
                channel.send(Stamp(ask.number, self.log_index, 0, 1))

    def admit(self, body: AdmitEndpoint, _channel: Channel) -> AdmitReply:
        """Admit, and tell the outstanding order."""
        self.commands.append(body)
        self.put_endpoint(EndpointInfo(*body, serving=True, cause='admitted'))
        order = self.outstanding
        fencing = order.fencing if order else 0
        return AdmitReply(True, '', order, fencing, body.engine_role)

    def record_outcome(
        self, body: RecordOutcome, _channel: Channel
    ) -> ClaimReply:
        """Accept an outcome once commits are let through."""
        self.commits.wait()
        self.commands.append(body)
        return ClaimReply(True, None)

    def report_crash(self, body: ReportCrash, _channel: Channel) -> CrashReply:
        """Make every content that ran a suspect."""
        self.commands.append(body)
        self.put_contents(body.contents, self.quarantined)
        return CrashReply(body.contents, [])

    def accept(self, body: Message, _channel: Channel) -> CommandReply:
        """Accept a command."""
        self.commands.append(body)
        return CommandReply(True, '', '')
