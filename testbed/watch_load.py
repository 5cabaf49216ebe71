"""Many state streams in one process, as the nodes of a fleet hold them.

Appends a JSON line to a file whenever all streams hold a new version, with
the monotonic time in seconds.
"""

from gevent import monkey

monkey.patch_all()

from json import dumps
from pathlib import Path
from time import monotonic
from typing import Annotated

from cappa import Arg, command, parse
from gevent import sleep

from trestle_core.metrics import Metrics
from trestle_core.settings import EntrySettings
from trestle_links.control_client import ControlClient
from trestle_links.handshake import read_key
from trestle_links.link import Identity

POLL_SECONDS = 0.005
FIGURES = 8


@command
class WatchLoad:
    """Hold state streams until the process is ended."""

    first: Annotated[int, Arg(long=True, help='Number of the first node.')]
    streams: Annotated[int, Arg(long=True)]
    key_file: Annotated[str, Arg(long=True)]
    control: Annotated[str, Arg(long=True, help='Addresses with commas.')]
    address_file: Annotated[str, Arg(long=True, help='File of the lines.')]


def start_client(options: WatchLoad, number: int) -> ControlClient:
    """Start the stream of one node."""
    settings = EntrySettings(
        host=f'node-{number}',
        zone='plovdiv-a',
        key_file=options.key_file,
        control=options.control.split(','),
    )
    me = Identity(settings.host, read_key(options.key_file), Metrics())
    client = ControlClient.from_config(settings, me, 'entry', [], me.metrics)
    for name in range(FIGURES):
        client.figures[f'figure-{name}'] = 1000.5
    client.start()
    return client


def main() -> None:
    """Report each version that has reached every stream."""
    options = parse(WatchLoad)
    clients = [
        start_client(options, options.first + number)
        for number in range(options.streams)
    ]
    reached = 0
    with Path(options.address_file).open('a', encoding='utf-8') as lines:
        while True:
            sleep(POLL_SECONDS)
            lowest = min(client.view.set_version for client in clients)
            if lowest > reached:
                reached = lowest
                line = {'version': lowest, 'at': monotonic()}
                lines.write(f'{dumps(line)}\n')
                lines.flush()


if __name__ == '__main__':
    main()
