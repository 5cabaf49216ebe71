"""Open-loop workload tool: one JSON record for each caller's request.

A request is sent when it is due, whether earlier ones were answered or not,
and its times count from then. Several of these programs share a schedule, so
that the client is not what is measured.
"""

from gevent import monkey

monkey.patch_all()

from dataclasses import dataclass, field
from json import dumps
from pathlib import Path
from time import monotonic
from typing import Annotated, Final, TextIO

from cappa import Arg, parse
from gevent import sleep, spawn
from gevent.pool import Group

from testbed.callers import (
    Answer,
    Completion,
    call_service,
    complete,
)
from testbed.firm_workloads import FIRMS, Arrival, schedule, with_greedy_caller
from testbed.serving import JsonObject

# A caller waits a little longer than its answer is useful.
PATIENCE_SECONDS: Final = 3.0


@dataclass(kw_only=True)
class Options:
    """Sends a firm's seeded workload to the entries."""

    entry: Annotated[list[str], Arg(long=True, help='ip:port')] = field(
        default_factory=list
    )
    firm: Annotated[str, Arg(long=True)] = 'medena'
    seed: Annotated[int, Arg(long=True)] = 1
    seconds: Annotated[float, Arg(long=True)] = 30
    load: Annotated[float, Arg(long=True, help='Multiplies rates.')] = 1
    greedy: Annotated[
        bool, Arg(long=True, help='One caller sends ten times its share.')
    ] = False
    start: Annotated[
        float, Arg(long=True, help='Monotonic seconds of the start.')
    ] = 0
    clients: Annotated[int, Arg(long=True, help='Programs in all.')] = 1
    client: Annotated[int, Arg(long=True, help='This one, from 0.')] = 0
    records: Annotated[Path, Arg(long=True, help='JSON lines to write.')]


def run_arrival(address: str, arrival: Arrival, late: float) -> JsonObject:
    """Send one request, `late` seconds after it was due; return its record."""
    timeout = arrival.deadline_seconds + PATIENCE_SECONDS
    request = arrival.request
    if isinstance(request, Completion):
        answer = complete(address, request, timeout)
    else:
        answer = call_service(address, request, timeout)
    correct = request.correct(answer)
    seconds = answer.seconds + late
    return {
        'at': arrival.at,
        'label': arrival.label,
        'caller': request.caller,
        'key': '' if isinstance(request, Completion) else request.key,
        'status': answer.status,
        'verdict': answer.verdict,
        'code': answer.code,
        'request_id': answer.request_id,
        'correct': correct,
        # An answer with a wrong or missing token must never look whole.
        'false': answer.whole and not correct,
        'useful': correct and seconds <= arrival.deadline_seconds,
        'seconds': seconds,
        'late': round(late, 4),
        'first_token': answer.first_token_seconds,
        'gaps': token_gaps(answer),
    }


def token_gaps(answer: Answer) -> list[float]:
    """Return the seconds between an answer's events, to 0.1 ms."""
    times = answer.token_times
    return [
        round(later - earlier, 4)
        for earlier, later in zip(times, times[1:], strict=False)
    ]


def run_schedule(
    options: Options, arrivals: list[Arrival], stream: TextIO
) -> None:
    """Send each arrival when it is due; write its record at its end."""
    group = Group()

    def send_and_record(number: int, late: float) -> None:
        address = options.entry[number % len(options.entry)]
        record = run_arrival(address, arrivals[number], late)
        stream.write(f'{dumps(record)}\n')

    own = range(options.client, len(arrivals), options.clients)
    for number in own:
        due = options.start + arrivals[number].at
        sleep(max(0, due - monotonic()))
        group.add(spawn(send_and_record, number, monotonic() - due))
    group.join()


def main() -> None:
    """Run this program's share of the schedule."""
    options = parse(Options)
    firm = FIRMS[options.firm]
    if options.greedy:
        firm = with_greedy_caller(firm)
    arrivals = schedule(firm, options.seed, options.seconds, options.load)
    options.start = options.start or monotonic()
    with options.records.open('w', encoding='utf-8') as stream:
        run_schedule(options, arrivals, stream)


if __name__ == '__main__':
    main()
