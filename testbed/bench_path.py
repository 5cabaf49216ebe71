"""Cost of the path: added time to first token, entry CPU, idle memory.

The same streams are sent to the fake engines directly and through one
entry; what the client itself costs is in both figures.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from os import getloadavg, sysconf
from pathlib import Path
from statistics import median
from sys import stdout
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Final, NamedTuple

from gevent.pool import Group

from testbed.bench_system import publish
from testbed.callers import Answer, Completion, complete
from testbed.cluster import Cluster, Endpoint, Layout
from testbed.processes import Process, Processes

POOL: Final = 'model'
ENGINES: Final = 8
DECODE_MS: Final = 40
OUTPUT_TOKENS: Final = 100
WARM_SECONDS: Final = 2.0
RUN_SECONDS: Final = 10.0
TIMEOUT_SECONDS: Final = 30.0
LATENCY_STREAMS: Final = 100
CPU_STREAMS: Final = 200
MS_PER_SECOND: Final = 1000
US_PER_SECOND: Final = 1_000_000
KB_PER_MB: Final = 1024
ROUNDS: Final = 3
CLOCK_TICKS: Final = sysconf('SC_CLK_TCK')


class Streams(NamedTuple):
    """Answers after the time to warm up, and the tokens of all answers."""

    answers: list[Answer]
    tokens: int

    def first_token_ms(self) -> float:
        """Return the median time to the first token in milliseconds."""
        times = [one.first_token_seconds for one in self.answers]
        assert None not in times
        return median(time or 0 for time in times) * MS_PER_SECOND


def layout() -> Layout:
    """Return a small fleet whose engines are never the bottleneck."""
    options = (f'--decode-ms={DECODE_MS}', '--prefill-rate=1000000')
    endpoints = tuple(
        Endpoint(f'engine-{number}', 'zone-a', POOL, options)
        for number in range(1, ENGINES + 1)
    )
    quiet = {'log_level': 'WARNING'}
    return Layout(
        ('zone-a',),
        endpoints,
        entries=1,
        settings={'entry': quiet, 'endpoint': quiet, 'control': quiet},
    )


@contextmanager
def started_system() -> Iterator[Cluster]:
    """Yield the fleet, ready to serve its one route."""
    content = {
        'pools': {POOL: {'model': 'model', 'version': '1', 'plan': POOL}},
        'plans': {POOL: {}},
        'routes': {POOL: {'kind': 'model', 'pool': POOL}},
    }
    with (
        TemporaryDirectory(prefix='trestle-path-') as folder,
        Processes(Path(folder)) as processes,
    ):
        cluster = Cluster.from_config(processes, layout())
        publish(cluster, content)
        yield cluster


def run_streams(addresses: Sequence[str], streams: int) -> Streams:
    """Keep some streams in flight and return the whole answers."""
    answers: list[Answer] = []
    tokens = 0
    began = monotonic()
    end = began + WARM_SECONDS + RUN_SECONDS

    def keep_streaming(number: int) -> None:
        nonlocal tokens
        address = addresses[number % len(addresses)]
        caller = f'caller-{number}'
        while monotonic() < end:
            prompt = f'{caller} asks at {monotonic()}'
            completion = Completion(caller, POOL, prompt, OUTPUT_TOKENS)
            answer = complete(address, completion, TIMEOUT_SECONDS)
            assert completion.correct(answer), answer
            tokens += OUTPUT_TOKENS
            if monotonic() > began + WARM_SECONDS:
                answers.append(answer)

    group = Group()
    for number in range(streams):
        group.spawn(keep_streaming, number)
    group.join(raise_error=True)
    return Streams(answers, tokens)


def cpu_seconds(process: Process) -> tuple[float, float]:
    """Return the processor time of a process: its own and the kernel's."""
    text = Path(f'/proc/{process.popen.pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return int(fields[11]) / CLOCK_TICKS, int(fields[12]) / CLOCK_TICKS


def resident_mb(process: Process) -> float:
    """Return a process's resident memory in megabytes."""
    path = Path(f'/proc/{process.popen.pid}/status')
    lines = path.read_text(encoding='utf-8').splitlines()
    size = next(line for line in lines if line.startswith('VmRSS'))
    return int(size.split()[1]) / KB_PER_MB


def show_memory(cluster: Cluster) -> None:
    """Print the resident memory of one idle process of each role."""
    for host in ('entry-1', 'control-1', 'engine-1'):
        size = resident_mb(cluster.process(host))
        stdout.write(f'idle {host}: {size:.1f} MB resident\n')


def show_added_time(cluster: Cluster) -> None:
    """Print the time to first token, directly and through the entry."""
    engines = [
        cluster.process(endpoint.backend).address
        for endpoint in cluster.layout.endpoints
    ]
    entry = cluster.http_address('entry-1')
    for _ in range(ROUNDS):
        direct = run_streams(engines, LATENCY_STREAMS).first_token_ms()
        through = run_streams([entry], LATENCY_STREAMS).first_token_ms()
        stdout.write(
            f'{LATENCY_STREAMS} streams: first token after {direct:.1f} ms '
            f'directly, {through:.1f} ms through the entry: '
            f'{through - direct:.1f} ms added (machine load '
            f'{getloadavg()[0]:.1f})\n'
        )
        stdout.flush()


def show_cpu(cluster: Cluster) -> None:
    """Print the entry's processor time for each token it relayed."""
    entry = cluster.process('entry-1')
    for _ in range(ROUNDS):
        before = cpu_seconds(entry)
        streams = run_streams([entry.address], CPU_STREAMS)
        own, kernel = [
            (after - earlier) / streams.tokens * US_PER_SECOND
            for after, earlier in zip(cpu_seconds(entry), before, strict=True)
        ]
        stdout.write(
            f'{CPU_STREAMS} streams: {streams.tokens} tokens, '
            f'{own + kernel:.1f} us of entry CPU for each, {kernel:.1f} of '
            f'it in the kernel (machine load {getloadavg()[0]:.1f})\n'
        )
        stdout.flush()


def main() -> None:
    """Print all figures."""
    with started_system() as cluster:
        show_memory(cluster)
        show_added_time(cluster)
        show_cpu(cluster)


if __name__ == '__main__':
    main()
