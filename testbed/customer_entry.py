"""A direct entry with customers, and one back end, inside a test."""

from math import inf
from time import monotonic
from typing import Any, Final

from gevent.socket import socketpair
from msgspec.json import encode

from testbed.direct_fixtures import make_direct_settings
from testbed.platform_replica import PlatformReplica
from trestle_core.metrics import Metrics
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.dispatch import IncomingRequest, serve
from trestle_entry.direct.replies import DirectReply
from trestle_links.direct_messages import Backend
from trestle_platform.caller_http import caller_wire
from trestle_platform.manifest import read_table
from trestle_platform.replica_http import backend_wire

ANA: Final = {'name': 'ana', 'apiKeys': ['key-1', 'key-2'], 'priority': 0}
BO: Final = {'name': 'bo', 'apiKeys': ['key-3']}
_ROUTES: Final[list[dict[str, Any]]] = [
    {'name': 'look', 'pathPrefix': '/look/'},
    {'name': 'open', 'pathPrefix': '/open/', 'public': True},
]


def customer_document(version: int, *customers: Any) -> bytes:
    """Return a document with a public route and one that is not."""
    common = {
        'host': 'firm.example',
        'kind': 'safe',
        'timeoutMs': 3000,
        'service': 'desk',
        'priority': 4,
        'maxAttempts': 2,
    }
    document: dict[str, Any] = {
        'version': version,
        'routes': [{**common, **route} for route in _ROUTES],
        'services': [{'name': 'desk', 'maxConns': 9}],
    }
    if customers:
        document['tenants'] = customers
    return encode(document)


class CustomerEntry:
    """The entry; its routes count as confirmed until `confirmed_at`."""

    def __init__(self, *customers: Any) -> None:
        """Start with version 1 of the routes."""
        self.replica = PlatformReplica('i-desk', '', '127.0.0.1:0')
        self.context = DirectContext(
            make_direct_settings(usage_window_ms=5000),
            caller_wire(),
            backend_wire(),
            Metrics(),
        )
        # Longer ago than a window of the retry limits.
        self.context.started_at = -inf
        self.context.loads.entry_counts.note(1)
        table = read_table(customer_document(1, *customers))
        self.context.take_table(table)
        self.context.fleet.replace_list(
            [Backend('i-desk', 'desk', self.replica.address, 'z', False, '', 6)]
        )
        self.confirmed_at = monotonic() + 3600
        self.context.list_age_seconds = self.age_seconds
        self.number = 0

    def age_seconds(self) -> float:
        """Return the time since the routes were confirmed."""
        return monotonic() - self.confirmed_at

    def confirm(self) -> None:
        """Confirm the routes as of now."""
        self.confirmed_at = monotonic()
        self.context.note_confirmed()

    def call(self, path: str, headers: list[tuple[str, str]]) -> DirectReply:
        """Serve one call."""
        self.number += 1
        own, callers = socketpair()
        named = [
            ('Host', 'firm.example'),
            ('Kingcuptrestle-Request-Id', f'r{self.number}'),
            ('Kingcuptrestle-Deadline-Ms', '3000'),
            *headers,
        ]
        try:
            return serve(
                self.context,
                IncomingRequest('POST', path, named, own, bytes),
            )
        finally:
            own.close()
            callers.close()

    def counted(self, name: str, label: str) -> int:
        """Return a counter."""
        return self.context.metrics.counters[name, label]
