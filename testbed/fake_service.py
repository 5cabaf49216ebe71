"""Fake plain service that records every execution."""

from gevent import monkey

monkey.patch_all()

from dataclasses import dataclass
from http import HTTPStatus
from json import dumps
from os import _exit
from pathlib import Path
from typing import Annotated, Final

from cappa import Arg, parse
from gevent import sleep
from gevent.event import Event
from xxhash import xxh3_64_hexdigest

from testbed.serving import (
    Call,
    Handler,
    JsonObject,
    Recorder,
    Reply,
    ServerOptions,
    accept,
    make_application,
    refuse,
    serve,
)

MODES: Final = (
    'none',
    'delay',
    'hang',
    'crash-before',
    'crash-after',
    'drop-answer',
    'error',
)
CRASH_STATUS: Final = 3


@dataclass(kw_only=True)
class Options(ServerOptions):
    """Fake plain service."""

    record: Annotated[
        Path, Arg(long=True, help='JSON lines, one for each execution.')
    ]


def body_digest(body: JsonObject) -> str:
    """Return a digest that does not depend on the order of the keys."""
    return xxh3_64_hexdigest(dumps(body, sort_keys=True).encode())


def expected_receipt(operation: str, key: str, body: JsonObject) -> str:
    """Return the receipt that the service gives for a call."""
    text = f'{operation} {key} {body_digest(body)}'
    return xxh3_64_hexdigest(text.encode())


class FakeService:
    """The service's fault mode and its record."""

    def __init__(self, record: Recorder) -> None:
        self.record = record
        self.mode = 'none'
        self.seconds = float(0)
        self.changed = Event()

    def set_fault(self, call: Call) -> Reply:
        """Change what happens to the calls that follow."""
        mode = call.body.get('mode', 'none')
        if mode not in MODES:
            return refuse(HTTPStatus.BAD_REQUEST, 'unknown-mode')
        self.mode = mode
        self.seconds = float(call.body.get('seconds', 0))
        self.changed.set()
        self.changed = Event()
        return accept(mode=mode)

    def operate(self, call: Call) -> Reply:
        """Execute a call; delay and crash-before act before the record."""
        mode = self.mode
        if mode == 'delay':
            sleep(self.seconds)
        if mode == 'crash-before':
            _exit(CRASH_STATUS)
        key = call.header('Idempotency-Key')
        receipt = expected_receipt(call.rest, key, call.body)
        self.record.append(
            key=key,
            caller=call.header('Caller'),
            operation=call.rest,
            request_id=call.header('Request-Id'),
            body_digest=body_digest(call.body),
        )
        if mode == 'error':
            return refuse(HTTPStatus.INTERNAL_SERVER_ERROR, 'failed')
        self.withhold_answer(mode, call)
        return accept(operation=call.rest, key=key, receipt=receipt)

    def withhold_answer(self, mode: str, call: Call) -> None:
        """Crash, hang or close the connection of an executed call."""
        if mode == 'crash-after':
            _exit(CRASH_STATUS)
        if mode == 'hang':
            # The answer is written only when the mode changes.
            self.changed.wait()
        if mode == 'drop-answer':
            call.drop_connection()


def make_routes(service: FakeService) -> dict[str, Handler]:
    """Return the service's HTTP routes."""
    return {
        'POST /operations/': service.operate,
        'POST /fault': service.set_fault,
        'GET /healthz': lambda call: accept(status='ok'),
    }


def main() -> None:
    """Run the service until SIGTERM."""
    options = parse(Options)
    service = FakeService(Recorder(options.record))
    serve(make_application(make_routes(service)), options)


if __name__ == '__main__':
    main()
