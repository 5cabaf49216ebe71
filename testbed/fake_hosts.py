"""Fake platform host list, which tells changes late."""

from gevent import monkey

monkey.patch_all()

from dataclasses import dataclass, field
from time import monotonic
from typing import Annotated, NamedTuple

from cappa import Arg, parse

from testbed.serving import (
    Call,
    Reply,
    ServerOptions,
    accept,
    make_application,
    serve,
)


@dataclass(kw_only=True)
class Options(ServerOptions):
    """Fake host list."""

    host: Annotated[list[str], Arg(long=True, help='A live host.')] = field(
        default_factory=list
    )
    lag: Annotated[float, Arg(long=True, help='Seconds.')] = 1


class HostChange(NamedTuple):
    """A host's new state from a monotonic time on; `gone` removes it."""

    shown_from: float
    host: str
    state: str


class HostList:
    """All changes so far, each shown after the lag."""

    def __init__(self, lag_seconds: float, hosts: list[str]) -> None:
        self.lag_seconds = lag_seconds
        self.changes = [HostChange(0, host, 'live') for host in hosts]

    def change(self, call: Call) -> Reply:
        """Change the state of the host that the path names."""
        state = str(call.body.get('state', 'leaving'))
        shown_from = monotonic() + self.lag_seconds
        self.changes.append(HostChange(shown_from, call.rest, state))
        return accept(host=call.rest, state=state)

    def show(self, call: Call) -> Reply:
        """Answer with the list as it was a lag ago."""
        now = monotonic()
        states = {
            change.host: change.state
            for change in self.changes
            if change.shown_from <= now
        }
        hosts = [
            {'host': host, 'state': state}
            for host, state in states.items()
            if state != 'gone'
        ]
        return accept(hosts=hosts)


def main() -> None:
    """Run the host list until SIGTERM."""
    options = parse(Options)
    hosts = HostList(options.lag, options.host)
    routes = {'GET /hosts': hosts.show, 'POST /hosts/': hosts.change}
    serve(make_application(routes), options)


if __name__ == '__main__':
    main()
