"""Answers of back ends that say something of themselves, over socket pairs."""

from collections.abc import Callable
from typing import Any, Final
from unittest.mock import patch

from gevent.socket import SHUT_WR, socket, socketpair

from testbed.direct_runs import DEMAND, make_context, make_request
from trestle_core.metrics import Metrics
from trestle_entry.direct.backend_calls import OpenAnswer, open_answer
from trestle_entry.direct.backend_exchange import (
    BackendConnection,
    BrokenAnswerError,
)
from trestle_entry.direct.connection_pool import ConnectionPool
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.wire_types import SendOptions
from trestle_links.direct_messages import Backend
from trestle_platform.replica_http import backend_wire

_READ_BYTES: Final = 65_536
_SEAL: Final = 'Kingcuptrestle-Server-Seal: s'
_NOT_RUN: Final = 'Kingcuptrestle-Not-Executed: 1'
_EARLIER_ID: Final = 'r0'
# Status, id of the request, and further headers.
ANSWERS: Final[dict[str, tuple[int, str, str]]] = {
    '200 with a seal': (200, 'r1', _SEAL),
    '200 of a stream': (
        200,
        'r1',
        f'{_SEAL}\r\nContent-Type: text/event-stream',
    ),
    '200 without a seal': (200, 'r1', 'X-Other: 1'),
    '500': (500, 'r1', _SEAL),
    '503 not run': (503, 'r1', _NOT_RUN),
    '429 not run': (429, 'r1', _NOT_RUN),
    '200 to another request': (200, 'r9', _SEAL),
    '421 of another back end': (421, 'r1', _NOT_RUN),
    'its earlier answer once more': (200, _EARLIER_ID, _SEAL),
}


class SaidAnswers:
    """An entry, and the end of its next connection at a back end."""

    def __init__(self, backends: int) -> None:
        """Let the entry know so many back ends of a service."""
        self.context: DirectContext = make_context({})
        self.context.backend_wire = backend_wire()
        self.backends = [
            Backend(
                f'backend-{number}',
                'llm',
                f'127.0.0.1:{number}',
                'z',
                False,
                '',
                4,
            )
            for number in range(1, backends + 1)
        ]
        self.context.fleet.replace_list(self.backends)
        self.back_end: socket | None = None

    def send(
        self,
        number: int,
        answer: bytes = b'',
        while_connecting: Callable[[], Any] | None = None,
    ) -> OpenAnswer | None:
        """Send a request to a back end; return None if its answer is broken."""
        backend = self.backends[number - 1]

        def acquire(*_call: Any, **_options: Any) -> BackendConnection:
            back_end, own_end = socketpair()
            self.back_end = back_end
            if while_connecting:
                while_connecting()
            back_end.sendall(answer)
            back_end.shutdown(SHUT_WR)
            connection = BackendConnection(
                own_end, backend.address, backend.instance
            )
            connection.answered_ids.append(_EARLIER_ID)
            return connection

        options = SendOptions(backend.instance, 1000)
        request = make_request(DEMAND)
        with patch.object(ConnectionPool, 'acquire', acquire):
            try:
                return open_answer(
                    self.context, request, backend, options, at_most_once=True
                )
            except BrokenAnswerError:
                return None

    def sent_bytes(self) -> bytes:
        """Return what has reached the back end."""
        assert self.back_end
        return bytes(self.back_end.recv(_READ_BYTES))


def said_answer(name: str, said: str) -> bytes:
    """Return the bytes of an answer that has one header more."""
    status, request_id, further = ANSWERS[name]
    return (
        f'HTTP/1.1 {status} Status\r\n{said}\r\n{further}\r\n'
        f'Kingcuptrestle-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def counters(context: DirectContext) -> dict[tuple[str, str], int]:
    """Return the counters of an entry."""
    metrics: Metrics = context.metrics
    return dict(metrics.counters)
