"""Demonstration: a whole system on loopback, through two failures.

Prints what it does, then a table with one line for each request. The exit
status is 0 only if every line holds.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from sys import exit as sys_exit
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Final, NamedTuple

from gevent import joinall, spawn

from testbed.bench_system import leader_of
from testbed.callers import (
    Answer,
    Completion,
    ServiceCall,
    call_service,
    complete,
)
from testbed.calls import http_call
from testbed.cluster import Cluster, numbered
from testbed.firm_workloads import words
from testbed.firms import DESK, medena_layout, publish_when_ready
from testbed.processes import Processes, poll_until

READERS: Final = 9
DESKS: Final = 4
READ: Final = 'certificate-grades'
QUERY: Final = 'lot-verdicts'
READ_TOKENS: Final = 12000
READ_ANSWER_TOKENS: Final = 250
QUERY_TOKENS: Final = 200
QUERY_ANSWER_TOKENS: Final = 24
BURST: Final = 8
READS_THROUGH_FAILURES: Final = 6
ANSWER_LIMIT_SECONDS: Final = 30.0
MS_PER_SECOND: Final = 1000


class Line(NamedTuple):
    """One row of the table."""

    name: str
    holds: bool
    verdict: str
    attempts: str
    first_token: str


class Demo:
    """The system, what was asked of it, and the rows so far."""

    def __init__(self, cluster: Cluster, began: float) -> None:
        self.cluster = cluster
        self.began = began
        self.lines: list[Line] = []
        self.entries = cycle(cluster.entry_hosts)
        self.random = Random(1)

    def say(self, text: str) -> None:
        """Print a step with the seconds since the start."""
        stdout.write(f'{monotonic() - self.began:5.1f} s  {text}\n')
        stdout.flush()

    def prompt(self, tokens: int) -> str:
        """Return a new prompt."""
        return ' '.join(words(self.random, tokens))

    def completion(self, model: str) -> Completion:
        """Return a new certificate read or lot query."""
        if model == READ:
            prompt = self.prompt(READ_TOKENS)
            return Completion('trader-1', READ, prompt, READ_ANSWER_TOKENS)
        prompt = self.prompt(QUERY_TOKENS)
        return Completion('busbar-clerk-1', QUERY, prompt, QUERY_ANSWER_TOKENS)

    def ask(self, name: str, model: str) -> Line:
        """Stream one completion through the next entry."""
        entry = next(self.entries)
        completion = self.completion(model)
        address = self.cluster.http_address(entry)
        answer = complete(address, completion, ANSWER_LIMIT_SECONDS)
        holds = completion.correct(answer) and answer.verdict == 'ran'
        return self.add_line(name, entry, answer, holds)

    def call(
        self, name: str, call: ServiceCall, replayed: bool = False
    ) -> Line:
        """Make one service call through the next entry."""
        entry = next(self.entries)
        address = self.cluster.http_address(entry)
        answer = call_service(address, call, ANSWER_LIMIT_SECONDS)
        holds = call.correct(answer) and answer.replayed == replayed
        if call.key:
            holds = holds and self.executions(call.key) == 1
        return self.add_line(name, entry, answer, holds)

    def executions(self, key: str) -> int:
        """Count how often the order desk ran a key, by its own record."""
        return sum(
            line['key'] == key
            for endpoint in self.cluster.layout.endpoints
            if endpoint.kind == 'service'
            for line in self.cluster.record(endpoint.host)
        )

    def add_line(
        self, name: str, entry: str, answer: Answer, holds: bool
    ) -> Line:
        """Note a request's answer with its attempts, as its entry tells."""
        address = self.cluster.http_address(entry)
        path = f'/requests/{answer.request_id}'
        _, record = http_call(address, 'GET', path)
        if not holds:
            self.say(f'{name} does not hold: {record}')
        verdict = answer.verdict + (f' {answer.code}' if answer.code else '')
        if answer.replayed:
            verdict += ' (replayed)'
        first = answer.first_token_seconds
        line = Line(
            name,
            holds,
            verdict,
            str(record.get('dispatches', '-')),
            '-' if first is None else f'{first * MS_PER_SECOND:.0f} ms',
        )
        self.lines.append(line)
        return line


def publish_set(demo: Demo) -> None:
    """Publish the Medena set, and wait until every process is ready."""
    publish_when_ready(demo.cluster)
    demo.say('the Medena set is published and every process is ready')


def side_by_side(work: list[Callable[[], Line]]) -> None:
    """Run requests at the same time and wait for all."""
    joinall([spawn(one) for one in work], raise_error=True)


def show_quiet_path(demo: Demo) -> None:
    """Read, query, reserve, resend and check, with nothing failing."""
    demo.say('a certificate read, streamed')
    demo.ask('certificate read', READ)
    demo.say(f'a burst of {BURST} lot queries')
    burst = range(1, BURST + 1)
    side_by_side([partial(demo.ask, f'query {n}', QUERY) for n in burst])
    demo.say('a reservation, its resend with the same key, a stock check')
    call = ServiceCall('busbar-clerk-1', DESK, 'reserve', 'demo-1', {'lot': 7})
    demo.call('reservation', call)
    demo.call('reservation, resent', call, replayed=True)
    stock = call._replace(operation='stock', key='')
    demo.call('stock check', stock)


def show_failures(demo: Demo) -> None:
    """Kill an endpoint process and the control leader under requests."""
    numbers = range(1, READS_THROUGH_FAILURES + 1)
    reads = [
        spawn(demo.ask, f'read {n} through failures', READ) for n in numbers
    ]
    kill_busy_endpoint(demo)
    leader = leader_of(demo.cluster)
    demo.cluster.process(leader).kill()
    demo.say(f'killed {leader}, the control leader')
    call = ServiceCall('trader-2', DESK, 'reserve', 'demo-2', {'lot': 8})
    demo.call('reservation, leader lost', call)
    joinall(reads, raise_error=True)


def kill_busy_endpoint(demo: Demo) -> None:
    """Kill the process of an endpoint that has just begun a read."""
    hosts = numbered('reader', READERS)
    before = {host: len(demo.cluster.record(host)) for host in hosts}

    def busy() -> list[str]:
        return [
            host
            for host in hosts
            if len(demo.cluster.record(host)) > before[host]
        ]

    host = poll_until(busy, ANSWER_LIMIT_SECONDS, 'a read on an engine')[0]
    demo.cluster.process(host).kill()
    demo.say(f'killed {host}, an endpoint process with a read on it')


def stop_gracefully(demo: Demo) -> bool:
    """Stop every process that is left; tell whether each ended cleanly."""
    alive = [
        process
        for process in demo.cluster.processes.started.values()
        if process.running()
    ]
    demo.cluster.processes.stop_all()
    unclean = [one.name for one in alive if one.wait() != 0]
    demo.say(f'stopped {len(alive)} processes')
    if unclean:
        demo.say(f'not stopped cleanly: {", ".join(unclean)}')
    return not unclean


def print_table(lines: list[Line]) -> None:
    """Print a row for each request."""
    row = '{:28} {:7} {:18} {:9} {}\n'
    stdout.write(
        row.format('request', 'answer', 'verdict', 'attempts', 'first token')
    )
    for line in sorted(lines):
        answer = 'whole' if line.holds else 'WRONG'
        stdout.write(row.format(line.name, answer, *line[2:]))


def main() -> int:
    """Run the demonstration; 0 if every line holds."""
    began = monotonic()
    stdout.write('starting the processes\n')
    with TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        cluster = Cluster.from_config(processes, medena_layout(READERS, DESKS))
        demo = Demo(cluster, began)
        demo.say(f'started {len(processes.started)} processes')
        publish_set(demo)
        show_quiet_path(demo)
        show_failures(demo)
        clean = stop_gracefully(demo)
        print_table(demo.lines)
        holds = clean and all(line.holds for line in demo.lines)
        demo.say('every line holds' if holds else 'A LINE DOES NOT HOLD')
    return int(not holds)


if __name__ == '__main__':
    sys_exit(main())
