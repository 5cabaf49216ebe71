"""Finds where a stream goes on that a caller takes up.

What two software versions write does not fit together, so such a request goes
to the service and the version that began the stream, and nowhere else. That is
a matter of records only: what is listed now tells nothing about a stream that
began before. This entry knows its own streams; the leader knows those of all.
"""

from collections.abc import Callable
from time import monotonic
from typing import Final

from gevent import sleep

from trestle_core.errorcodes import NO_ENDPOINT, STALE_NODE, STREAM_UNKNOWN
from trestle_core.errors import TrestleError
from trestle_core.route_table import Repeat, Route
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.replies import RefusedError
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.wire_types import CallerRequest
from trestle_links.connection import LinkDownError
from trestle_links.control_client import ControlClient
from trestle_links.link import Link, LinkPool
from trestle_links.stream_messages import (
    FindStream,
    FoundStream,
    StreamOrigin,
    stream_key,
)

# A leader that takes longer is as good as lost.
_ASK_SECONDS: Final = 0.3
_POLL_SECONDS: Final = 0.02
# Time for a leader to be elected or to be told by the entries.
_RETRY_SECONDS: Final = 0.5


def is_take_up(request: CallerRequest, route: Route) -> bool:
    """Return whether a caller already holds events of the stream it wants."""
    holds_events = request.resumed_request or request.resume_from
    return route.repeat is Repeat.STREAM and bool(holds_events)


def find_origin(
    context: DirectContext,
    request: CallerRequest,
    route: Route,
    trace: RequestTrace,
) -> StreamOrigin:
    """Return where a stream that is taken up must go on.

    Raises `RefusedError` if that is not known, or not allowed by the route.
    """
    origin = context.loads.streams.find(request.resumed_request)
    source = 'own'
    if origin is None:
        source = 'leader'
        origin = _ask_leader(context, request)
    if origin is None:
        context.metrics.count('stream_take_ups', 'unknown')
        raise RefusedError(
            STREAM_UNKNOWN, 'nobody knows who began the stream', _RETRY_SECONDS
        )
    context.metrics.count('stream_take_ups', source)
    trace.add(
        'taken up', f'{origin.service} {origin.software}, known by {source}'
    )
    _check_route(route, origin)
    _wait_for_list(context)
    return origin


def _wait_for_list(context: DirectContext) -> None:
    """Let an entry that was out of step learn what back ends run now.

    Raises `RefusedError` if that takes too long.
    """
    until = monotonic() + _ASK_SECONDS
    while not context.knows_software:
        if monotonic() > until:
            context.metrics.count('stream_take_ups', 'old-list')
            raise RefusedError(
                STALE_NODE, 'the list of back ends is too old', _RETRY_SECONDS
            )
        sleep(_POLL_SECONDS)


def _ask_leader(
    context: DirectContext, request: CallerRequest
) -> StreamOrigin | None:
    if not request.resumed_request:
        return None
    try:
        return context.ask_origin(stream_key(request.resumed_request))
    except TrestleError as error:
        context.metrics.count('stream_take_ups', 'unreachable')
        raise RefusedError(
            STREAM_UNKNOWN,
            f'the leader did not tell who began the stream: {error.message}',
            _RETRY_SECONDS,
        ) from error


def _check_route(route: Route, origin: StreamOrigin) -> None:
    services = {share.service for share in route.shares if share.weight}
    if not route.resumable or origin.service not in services:
        raise RefusedError(
            NO_ENDPOINT,
            f'the route does not let a stream of {origin.service} go on',
            _RETRY_SECONDS,
        )


def leader_origins(
    control: ControlClient, links: LinkPool
) -> Callable[[int], StreamOrigin | None]:
    """Return the call that asks the leader for the origin of a stream.

    The call raises `TrestleError` if the leader cannot be asked.
    """

    def ask(key: int) -> StreamOrigin | None:
        link = _connected_leader(control, links)
        return link.call(FindStream(key), FoundStream, _ASK_SECONDS).origin

    return ask


def _connected_leader(control: ControlClient, links: LinkPool) -> Link:
    """Return the link to the leader, which the stream of loads connects.

    An entry that has just started, or changes the leader, waits for that a
    moment. Raises `LinkDownError`.
    """
    until = monotonic() + _ASK_SECONDS
    while True:
        link = links.link_to(control.leader_address)
        if link.is_connected:
            return link
        if monotonic() > until:
            raise LinkDownError('no leader is connected', sent=False)
        sleep(_POLL_SECONDS)
