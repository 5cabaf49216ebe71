"""A small fleet of engines with a published set, its callers and orders."""

from json import dumps
from time import monotonic
from typing import Any, Final, NamedTuple

from gevent import Greenlet, spawn
from msgspec.json import decode

from testbed.answers import expected_answer
from testbed.calls import closing_client, http_call, stream_events
from testbed.cluster import Cluster, Endpoint, Layout
from testbed.processes import Processes, poll_until
from testbed.serving import JsonObject
from trestle_core.errorcodes import ORDER_OUTSTANDING
from trestle_core.metrics import Metrics
from trestle_links.control_calls import ControlCaller
from trestle_links.fleet_messages import IssueOrder, OrderReply
from trestle_links.handshake import read_key
from trestle_links.link import Identity
from trestle_links.watch_messages import ReadState, StateReply

ZONES: Final = ('plovdiv-a', 'plovdiv-b', 'asenovgrad', 'pazardzhik')
POOL: Final = 'certificate-reader'
ROUTE: Final = 'certificate-grades'
LIMIT_SECONDS: Final = 30.0
CALL_SECONDS: Final = 5.0
ORDER_TIMEOUT_MS: Final = 4000
ENDS: Final = {'order done': 'done', 'order failed': 'failed'}
PUBLISHED: Final[JsonObject] = {
    'plans': {'goodput-first': {}},
    'pools': {
        POOL: {'model': 'model', 'version': '1', 'plan': 'goodput-first'}
    },
    'routes': {
        ROUTE: {'kind': 'model', 'pool': POOL, 'retry_percent': 100},
    },
}


class Answer(NamedTuple):
    """What a caller got; `error` is empty for a whole answer."""

    prompt: str
    tokens: int
    text: str
    finish: str
    error: JsonObject
    request_id: str
    ended_at: float

    def is_whole(self) -> bool:
        """Tell whether it is the whole answer to this very prompt."""
        expected = expected_answer(self.prompt, self.tokens)
        return self.finish == 'length' and self.text == expected


class Fleet:
    """Engines `reader-1`, `reader-2` and so on, and who uses them."""

    def __init__(self, cluster: Cluster) -> None:
        """Keep the cluster and a caller of its control hosts."""
        self.cluster = cluster
        key = read_key(str(cluster.key_file))
        addresses = [
            f'@{cluster.address_file(h)}' for h in cluster.control_hosts
        ]
        me = Identity('test', key, Metrics.empty())
        self.control = ControlCaller(addresses, me)
        # Fencing numbers of the orders issued here last, by host.
        self.issued: dict[str, int] = {}

    @classmethod
    def from_config(
        cls,
        processes: Processes,
        engines: int,
        options: tuple[str, ...] = (),
        links: tuple[str, ...] = (),
        **settings: object,
    ) -> 'Fleet':
        """Start a fleet, publish its set and wait until all are ready."""
        endpoints = tuple(
            Endpoint(f'reader-{one}', ZONES[one % len(ZONES)], POOL, options)
            for one in range(1, engines + 1)
        )
        settings = {'order_timeout_ms': ORDER_TIMEOUT_MS, **settings}
        layout = Layout(
            ZONES, endpoints, links=links, settings={'endpoint': settings}
        )
        fleet = cls(Cluster.from_config(processes, layout))
        fleet.publish(PUBLISHED)
        fleet.cluster.wait_ready()
        return fleet

    def publish(self, named_set: JsonObject) -> None:
        """Publish a set by the operators' program."""
        folder = self.cluster.folder / 'set'
        folder.mkdir(exist_ok=True)
        (folder / 'set.json').write_text(dumps(named_set), encoding='utf-8')
        self.operate('publish', str(folder))

    def operate(self, *arguments: str) -> str:
        """Run a command of the operators' program, which must succeed."""
        done = self.cluster.operate(*arguments)
        assert done.returncode == 0, done.stdout + done.stderr
        return done.stdout

    def query(self, query: str, name: str = '') -> Any:
        """Return the answer of a linearizable query."""
        ask = ReadState(query, name)
        reply = self.control.call(ask, StateReply, CALL_SECONDS)
        return decode(reply.content)

    def leader(self) -> str:
        """Return the control host that leads."""

        def lead() -> str:
            return str(self.query('status')['replica']['leader'])

        return poll_until(lead, LIMIT_SECONDS, 'a leader')

    def issue(self, host: str, kind: str, argument: str) -> int:
        """Issue an order and return its fencing number."""
        command = IssueOrder(host, kind, argument, 'test')

        def issued() -> OrderReply | None:
            reply = self.control.call(command, OrderReply, CALL_SECONDS)
            if reply.code == ORDER_OUTSTANDING.code:
                # A rollout asks a process that started anew for its model.
                return None
            assert reply.accepted and reply.order, reply
            return reply

        reply = poll_until(issued, LIMIT_SECONDS, f'an order for {host}')
        assert reply and reply.order
        self.issued[host] = reply.order.fencing
        return reply.order.fencing

    def wait_order(self, host: str) -> str:
        """Wait for the end of the order issued last here; return its state."""
        name = f'order-{self.issued[host]}'

        def ended() -> str:
            records = self.query('explain', name)['records']
            kinds = [str(record['kind']) for record in records]
            return next((ENDS[kind] for kind in kinds if kind in ENDS), '')

        return poll_until(ended, LIMIT_SECONDS, f'the order of {host}')

    def engine_call(
        self, host: str, path: str, body: JsonObject | None = None
    ) -> Any:
        """Call the fake engine of a host."""
        address = self.cluster.process(f'{host}.engine').address
        method = 'POST' if body else 'GET'
        return http_call(address, method, path, body)[1]

    def wait_order_runs(self, host: str) -> None:
        """Wait until the engine itself shows a running order."""

        def runs() -> bool:
            order = self.engine_call(host, '/admin/state')['order']
            return bool(order) and order['state'] == 'running'

        poll_until(runs, LIMIT_SECONDS, f'an order runs on {host}')

    def ask(
        self, prompt: str, tokens: int, entry: str = 'entry-1'
    ) -> 'Greenlet[..., Answer]':
        """Start a caller that streams one answer."""
        return spawn(
            stream_answer, self.cluster.http_address(entry), prompt, tokens
        )

    def running(self) -> dict[str, float]:
        """Return how many requests each endpoint process runs."""
        hosts = [one.host for one in self.cluster.layout.endpoints]
        return {host: self.gauge(host, 'running') for host in hosts}

    def busiest(self) -> str:
        """Return the endpoint host that runs most requests."""
        running = self.running()
        return max(running, key=running.__getitem__)

    def wait_begun(self, count: int) -> None:
        """Wait until the engines have begun so many requests.

        On a busy machine the first may end before the last begins, so they
        need not run at one moment.
        """

        def begun() -> bool:
            records = self.recorded('request')
            ids = {line['request_id'].partition('.')[0] for line in records}
            return len(ids) >= count

        poll_until(begun, LIMIT_SECONDS, f'{count} requests begin')

    def gauge(self, host: str, series: str) -> float:
        """Return a series of a daemon's metrics, 0 if it has none."""
        events = http_text(self.cluster.http_address(host), '/metrics')
        for line in events.splitlines():
            name, _, number = line.rpartition(' ')
            if name == f'kingcuptrestle_{series}':
                return float(number)
        return 0

    def restart(self, host: str) -> None:
        """Start an ended daemon or fake again, as the platform would."""
        self.cluster.processes.restart(host)

    def wait_ready(self, host: str) -> None:
        """Wait until a daemon's readiness page passes."""
        self.cluster.wait_ready([host])

    def recorded(self, event: str) -> list[JsonObject]:
        """Return the recorded events of a kind of all engines."""
        return [
            {**line, 'host': endpoint.host}
            for endpoint in self.cluster.layout.endpoints
            for line in self.cluster.record(endpoint.host)
            if line['event'] == event
        ]

    def close(self) -> None:
        """Close the links of this caller."""
        self.control.close()


def stream_answer(address: str, prompt: str, tokens: int) -> Answer:
    """Stream one completion; a broken connection is an error too."""
    body = {
        'model': ROUTE,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    answer = Answer(prompt, tokens, '', '', {}, '', 0)
    try:
        for event in stream_events(address, '/v1/completions', body):
            answer = _with_event(answer, event)
    except OSError as error:
        answer = answer._replace(error={'code': f'connection: {error}'})
    return answer._replace(ended_at=monotonic())


def http_text(address: str, path: str) -> str:
    """Return the text of a page."""
    with closing_client(address, CALL_SECONDS) as client:
        return bytes(client.request('GET', path).read()).decode()


def _with_event(answer: Answer, event: JsonObject) -> Answer:
    if 'error' in event:
        return answer._replace(error=event['error'])
    choice = event['choices'][0]
    return answer._replace(
        text=answer.text + choice['text'],
        finish=choice['finish_reason'] or '',
        request_id=event['id'],
    )
