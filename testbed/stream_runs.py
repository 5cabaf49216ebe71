"""Streams of model requests at engines without a network.

Engines hold scripts: how many events they send, and how the answer ends.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple
from unittest.mock import patch

from gevent import sleep

from testbed.direct_runs import make_context, make_match, make_request
from trestle_core.errors import TrestleError
from trestle_core.turns import Turn
from trestle_entry.direct import (
    model_dispatch,
    plain_streams,
    stream_opens,
    stream_relay,
)
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.backend_exchange import (
    BrokenAnswerError,
    NotSentError,
)
from trestle_entry.direct.direct_context import DirectContext
from trestle_entry.direct.prompt_prefill import KvHandle
from trestle_entry.direct.replies import DirectReply
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.stream_relay import serve_stream
from trestle_entry.direct.wire_types import (
    AnswerHead,
    CallerRequest,
    ModelDemand,
    PromptPart,
    SendOptions,
)
from trestle_links.direct_messages import Backend

ROLES: Final = {'read': 'prefill', 'write': 'decode'}
EVENTS: Final = 6
DEMAND: Final = ModelDemand(
    'm', 1500, 6, (PromptPart(1, 400), PromptPart(2, 1100))
)


def _read_nothing(*_call: Any) -> KvHandle | None:
    return None


class Script(NamedTuple):
    """How an engine answers: so many events, then a break, or to the end.

    Without `status` 200 it fails with a text for a body. `body` replaces the
    events. `opening` comes before all else, a read for each of its pieces. Each
    read takes `pause_seconds`. One that is unreachable gets nothing.
    """

    breaks_after: int | None = None
    status: int = 200
    is_declined: bool = False
    body: bytes | None = None
    pause_seconds: float = 0
    is_unreachable: bool = False
    opening: tuple[bytes, ...] = ()


class StreamSend(NamedTuple):
    """A request that an engine got."""

    instance: str
    software: str
    resume_from: str


class Relayed(NamedTuple):
    """What the caller of a stream got."""

    status: int
    body: bytes
    whole: bool

    @property
    def ids(self) -> list[int]:
        """The ids of the events, in order."""
        return [
            int(line[3:])
            for line in self.body.splitlines()
            if line.startswith(b'id:')
        ]


class ScriptedAnswer:
    """The body of an engine's answer, one event at each read."""

    def __init__(self, pieces: list[bytes], *, breaks: bool) -> None:
        """Start before the first piece."""
        self.pieces = pieces
        self.breaks = breaks
        self.received = b''
        self.message_complete = False
        self.has_trailing_bytes = False

    def drain_body(self) -> bytes:
        """Return what was read since the last call."""
        drained = self.received
        self.received = b''
        return drained

    def should_close(self) -> bool:
        """Let no connection be kept."""
        return True


class ScriptedConnection:
    """A connection without a socket."""

    has_repeated = False

    def __init__(self, pause_seconds: float) -> None:
        """Let each read take so long."""
        self.pause_seconds = pause_seconds
        self.turn = Turn()

    def read_more(self, answer: ScriptedAnswer) -> None:
        """Read one piece, or reach the end of the script."""
        sleep(self.pause_seconds)
        if answer.pieces:
            answer.received += answer.pieces.pop(0)
        elif answer.breaks:
            raise BrokenAnswerError('the script breaks off')
        else:
            answer.message_complete = True

    def close(self) -> None:
        """Close nothing."""


class StreamEngines:
    """An entry with engines `ROLE-SOFTWARE-NUMBER`, and what they got."""

    def __init__(
        self, counts: dict[str, int], *, are_engines: bool = True
    ) -> None:
        """Set up `counts` back ends of each role and software version.

        Those that are no engines belong to a plain service.
        """
        self.are_engines = are_engines
        self.context = make_context({}, resends=50)
        self.scripts: dict[str, Script] = {}
        self.sends: list[StreamSend] = []
        self.list_engines(counts)

    def list_engines(self, counts: dict[str, int]) -> None:
        """Replace the list; keys are such as `write-v1`."""
        self.context.fleet.replace_list(
            [
                backend_named(f'{kind}-{number}', is_engine=self.are_engines)
                for kind, count in counts.items()
                for number in range(count)
            ]
        )

    def open(self, *call: Any, **_options: Any) -> OpenAnswer:
        """Answer a request by the script of its engine."""
        _, request, backend, options = call
        script = self.scripts.get(backend.instance, Script())
        if script.is_unreachable:
            raise NotSentError('nobody listens there')
        self.sends.append(_note_send(backend, options))
        first = int(options.resume_from or 0) + 1
        last = EVENTS
        if script.breaks_after is not None:
            last = min(EVENTS, script.breaks_after)
        pieces = [
            f'id: {number}\ndata: {backend.software}\n\n'.encode()
            for number in range(first, last + 1)
        ]
        head = AnswerHead(
            script.status,
            request.request_id,
            True,
            script.is_declined,
            False,
            True,
            0,
            [],
        )
        if script.body is not None:
            pieces = [script.body]
        connection: Any = ScriptedConnection(script.pause_seconds)
        answer: Any = ScriptedAnswer(
            [*script.opening, *pieces], breaks=script.breaks_after is not None
        )
        return OpenAnswer(connection, answer, head, backend)

    def serve(
        self,
        software: str | None = None,
        read: Callable[..., KvHandle | None] = _read_nothing,
        **changes: Any,
    ) -> Relayed:
        """Serve one request to its end; raises `TrestleError` if refused.

        With a software version, only that one may serve it; `read` stands for
        the prefill of its prompt.
        """
        request = make_request(DEMAND)._replace(**changes)
        with self.scripted(self.open, read):
            reply = self.reply_to(request, software)
            return _relay(reply.status, reply.body)

    def first_piece(self) -> bytes:
        """Serve one request; return what its caller gets first."""
        with self.scripted(self.open, _read_nothing):
            body: Any = self.reply_to(make_request(DEMAND)).body
            first: bytes = next(iter(body))
            body.close()
            return first

    def reply_to(
        self, request: CallerRequest, software: str | None = None
    ) -> DirectReply:
        """Begin to serve a request."""
        matched = make_match(attempts=4)._replace(software=software)
        if not self.are_engines:
            service = matched.service._replace(engine=None)
            matched = matched._replace(service=service)
        trace = RequestTrace(request.request_id, request.arrived_at)
        return serve_stream(self.context, request, matched, trace)

    @contextmanager
    def scripted(
        self,
        opens: Callable[..., OpenAnswer],
        read: Callable[..., KvHandle | None],
    ) -> Iterator[None]:
        """Let engines answer by scripts."""
        with (
            patch.object(model_dispatch, 'prefill_prompt', read),
            patch.object(model_dispatch, 'open_answer', opens),
            patch.object(plain_streams, 'open_answer', opens),
            patch.object(stream_opens, 'read_answer', _read_failure),
            patch.object(stream_relay, 'cancel_when_gone', _never_gone),
            patch.object(DirectContext, 'take_resend', lambda *_: True),
            patch.object(DirectContext, 'allows_resend', lambda *_: True),
        ):
            yield


def backend_named(name: str, *, is_engine: bool) -> Backend:
    """Return the back end of a name such as `write-v1-0`."""
    kind, software, _ = name.split('-')
    role = ROLES[kind] if is_engine else ''
    return Backend(name, 'llm', '127.0.0.1:1', 'z', False, role, 64, software)


def _note_send(backend: Backend, options: SendOptions) -> StreamSend:
    return StreamSend(backend.instance, backend.software, options.resume_from)


def _read_failure(
    _context: DirectContext, opened: OpenAnswer
) -> CompleteAnswer:
    return CompleteAnswer(opened.head, b'the engine failed\r\n\r\n')


@contextmanager
def _never_gone(_sock: Any) -> Iterator[None]:
    yield


def _relay(status: int, body: Any) -> Relayed:
    pieces: list[bytes] = []
    whole = True
    try:
        pieces.extend(body)
    except TrestleError:
        whole = False
    finally:
        if hasattr(body, 'close'):
            body.close()
    return Relayed(status, b''.join(pieces), whole)
