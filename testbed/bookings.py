"""A small ledger system, its bookings and the record that judges them."""

from json import dumps, loads
from typing import Final

from testbed.callers import Answer, ServiceCall, call_service
from testbed.calls import http_call
from testbed.cluster import Cluster, Endpoint, Layout
from testbed.fleet import Fleet
from testbed.processes import Processes, poll_until
from testbed.serving import JsonObject

ZONES: Final = ('kochi-a', 'kochi-b', 'alappuzha')
LEDGER: Final = 'ledger'
ENTRIES: Final = ('entry-1', 'entry-2')
CONTROL_LINKS: Final = tuple(f'entry-1>control-{one}' for one in (1, 2, 3))
OPERATOR_LINK: Final = 'operator>control-1'
# Every link between the first control host and the others.
PEER_LINKS: Final = (
    'control-1>control-2',
    'control-1>control-3',
    'control-2>control-1',
    'control-3>control-1',
)
DISPATCH_LINK: Final = 'entry>ledger-1'
CALL_SECONDS: Final = 15.0
LIMIT_SECONDS: Final = 20.0
DEADLINE_MS: Final = 4000
CALLER: Final = 'mill'
PUBLISHED: Final[JsonObject] = {
    'services': {
        LEDGER: {
            'operations': {
                'book': {'idempotent': False, 'timeout_ms': DEADLINE_MS},
                'lookup': {'idempotent': True, 'timeout_ms': DEADLINE_MS},
            }
        }
    },
    'routes': {
        LEDGER: {
            'kind': 'service',
            'service': LEDGER,
            'deadline_ms': DEADLINE_MS,
            'caller_concurrency': 64,
        }
    },
}


class Bookings:
    """Ledgers `ledger-1` and so on behind two entries."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cluster = fleet.cluster

    @classmethod
    def from_config(
        cls, processes: Processes, ledgers: int, **settings: JsonObject
    ) -> 'Bookings':
        """Start the system, publish its set and wait until all are ready."""
        endpoints = tuple(
            Endpoint(f'ledger-{one}', ZONES[one % 3], LEDGER, kind='service')
            for one in range(1, ledgers + 1)
        )
        layout = Layout(
            ZONES,
            endpoints,
            links=(*CONTROL_LINKS, *PEER_LINKS, OPERATOR_LINK, DISPATCH_LINK),
            settings=settings,
        )
        cluster = Cluster.from_config(processes, layout)
        cluster.wait_ready(cluster.control_hosts)
        bookings = cls(Fleet(cluster))
        bookings.fleet.publish(PUBLISHED)
        cluster.wait_ready()
        return bookings

    def book(
        self,
        key: str,
        entry: str = 'entry-1',
        sacks: int = 10,
        timeout_seconds: float = CALL_SECONDS,
    ) -> Answer:
        """Send a booking through an entry."""
        call = ServiceCall(CALLER, LEDGER, 'book', key, {'sacks': sacks})
        address = self.cluster.http_address(entry)
        return call_service(address, call, timeout_seconds)

    def executions(self, key: str) -> list[JsonObject]:
        """Return what the services have recorded of a key."""
        return [
            line
            for endpoint in self.cluster.layout.endpoints
            for line in self.cluster.record(endpoint.host)
            if line['key'] == key
        ]

    def wait_executed(self, key: str) -> None:
        """Wait until a service has recorded the key."""
        poll_until(lambda: self.executions(key), LIMIT_SECONDS, f'{key} runs')

    def wait_claimed(self, key: str) -> None:
        """Wait until a claim of the key is committed."""

        def claimed() -> bool:
            claims = self.fleet.query('explain', key)['claims']
            return bool(claims and claims[0]['claim'])

        poll_until(claimed, LIMIT_SECONDS, f'claim of {key}')

    def set_service(self, mode: str, **fields: object) -> None:
        """Put a fault on the service of the first ledger."""
        address = self.cluster.process('ledger-1.service').address
        body = {'mode': mode, **fields}
        status, answer = http_call(address, 'POST', '/fault', body)
        assert status == 200, answer

    def set_control_links(self, mode: str, **fields: object) -> None:
        """Put a fault on the links of the first entry to control."""
        for link in CONTROL_LINKS:
            self.cluster.set_link(link, mode, **fields)

    def limit_caller(self, concurrency: int) -> None:
        """Publish a limit of bookings that an entry runs at once."""
        route = {**PUBLISHED['routes'][LEDGER]}
        route['caller_concurrency'] = concurrency
        named_set = {**PUBLISHED, 'routes': {LEDGER: route}}
        folder = write_set(self.cluster, named_set, 'limited')
        self.fleet.operate('publish', folder, '--wait')

    def restart(self, name: str) -> None:
        """Start an ended process again and wait until all are ready."""
        self.cluster.processes.restart(name)
        self.cluster.wait_ready()

    def close(self) -> None:
        """Close the links of this caller."""
        self.fleet.close()


def receipt_of(answer: Answer) -> str:
    """Return the receipt of an answered booking."""
    return str(loads(answer.text)['receipt'])


def write_set(cluster: Cluster, named_set: JsonObject, name: str) -> str:
    """Write a set into a folder of its own and return the folder."""
    folder = cluster.folder / name
    folder.mkdir(exist_ok=True)
    (folder / 'set.json').write_text(dumps(named_set), encoding='utf-8')
    return str(folder)
