"""Fake model engine: completions, orders, cache events, load and faults."""

from gevent import monkey

monkey.patch_all()

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from json import dumps
from os import _exit
from pathlib import Path
from typing import Annotated, Final
from uuid import uuid4

from cappa import Arg, parse
from gevent import sleep, spawn

from testbed.answers import token_source
from testbed.engine_batch import FINISHED, INTERRUPTED, Batch, Job, Rates
from testbed.engine_batch import Sequence as RunningSequence
from testbed.engine_cache import PrefixCache
from testbed.engine_kv import KvTickets
from testbed.engine_orders import Order, Orders, read_order
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

CRASH_WORD: Final = 'CRASHENGINE'
CRASH_STATUS: Final = 3
ANSWER_FAULTS: Final = ('none', 'crossed', 'cut', 'duplicate-finish')
DONE_LINE: Final = b'data: [DONE]\n\n'


@dataclass(kw_only=True)
class Options(ServerOptions):
    """Fake model engine."""

    model: Annotated[str, Arg(long=True)] = 'model'
    version: Annotated[str, Arg(long=True)] = '1'
    role: Annotated[str, Arg(long=True)] = 'mixed'
    prefill_rate: Annotated[
        float, Arg(long=True, help='Prompt tokens per second.')
    ] = 40000
    decode_ms: Annotated[
        float, Arg(long=True, help='Milliseconds of a decode step.')
    ] = 10
    max_batch: Annotated[int, Arg(long=True)] = 64
    cache_pieces: Annotated[
        int, Arg(long=True, help='Pieces of 2,000 tokens.')
    ] = 200
    fencing: Annotated[bool, Arg(long='--fencing/--no-fencing')] = True
    order_seconds: Annotated[float, Arg(long=True)] = 2
    load_lag: Annotated[float, Arg(long=True, help='Seconds.')] = 0.5
    event_lag: Annotated[float, Arg(long=True, help='Seconds.')] = 0.5
    event_loss: Annotated[float, Arg(long=True, help='Share from 0 to 1.')] = (
        0.05
    )
    ticket_seconds: Annotated[float, Arg(long=True)] = 10
    kv_rate: Annotated[float, Arg(long=True, help='Tokens per second.')] = (
        500000
    )
    crash_in_order: Annotated[bool, Arg(long=True)] = False
    seed: Annotated[int, Arg(long=True)] = 1
    record: Annotated[
        Path | None, Arg(long=True, help='JSON lines of orders and requests.')
    ] = None


class FakeEngine:
    """The engine's parts and its state as its interface tells it."""

    def __init__(self, options: Options) -> None:
        self.incarnation = uuid4().hex
        self.model = options.model
        self.version = options.version
        self.adapters: list[str] = []
        self.answer_fault = 'none'
        self.record = Recorder(options.record)
        self.cache = PrefixCache(
            options.cache_pieces,
            options.event_lag,
            options.event_loss,
            options.seed,
        )
        rates = Rates(
            options.prefill_rate, options.decode_ms, options.max_batch
        )
        self.batch = Batch(rates, self.cache, options.role, self.after_token)
        self.tickets = KvTickets(options.ticket_seconds, options.kv_rate)
        self.orders = Orders(
            options.fencing,
            options.order_seconds,
            self.record,
            self.begin_order,
            self.finish_order,
        )
        self.orders.crash_in_order = options.crash_in_order
        self.loads: deque[JsonObject] = deque(maxlen=2)
        self.load_lag_seconds = options.load_lag
        self.load_sequence = 0

    def after_token(self, job: Job) -> None:
        """Crash once a prompt that crashes engines got a token."""
        if CRASH_WORD in job.prompt:
            self.record.append(event='crash', request_id=job.request_id)
            _exit(CRASH_STATUS)

    def begin_order(self, order: Order) -> int:
        """Stop serving unless an adapter is loaded; count the cut requests."""
        if order.kind == 'load-adapter':
            return 0
        return self.batch.stop_serving()

    def finish_order(self, order: Order, succeeded: bool) -> None:
        """Put an order into effect and serve again."""
        self.batch.serving = True
        if not succeeded:
            return
        if order.kind == 'set-role':
            self.batch.role = order.argument
        elif order.kind == 'load-adapter':
            self.adapters.append(order.argument)
        else:
            name, _, version = order.argument.partition('/')
            self.model = name
            self.version = version
            self.cache.clear()

    def sample_load(self) -> None:
        """Keep the last two load reports, half a lag apart."""
        while True:
            self.load_sequence += 1
            self.loads.append(self.current_load())
            sleep(max(self.load_lag_seconds / 2, 0.01))

    def current_load(self) -> JsonObject:
        """Return the load report of this moment."""
        return {
            'incarnation': self.incarnation,
            'sequence': self.load_sequence,
            'queued': len(self.batch.queued),
            'running': len(self.batch.running),
            'prefill_queue_tokens': self.batch.prefill_queue_tokens(),
            'cache_pieces_used': len(self.cache.pieces),
            'cache_pieces_total': self.cache.capacity,
            'role': self.batch.role,
        }

    def show_load(self, call: Call) -> Reply:
        """Answer with the older of the kept load reports."""
        return Reply(HTTPStatus.OK, self.loads[0])

    def show_state(self, call: Call) -> Reply:
        """Answer with the engine's present state."""
        return accept(
            incarnation=self.incarnation,
            role=self.batch.role,
            model=self.model,
            version=self.version,
            adapters=self.adapters,
            fencing=self.orders.fencing,
            order=self.orders.status(),
        )

    def show_events(self, call: Call) -> Reply:
        """Answer with the cache events after a sequence number."""
        after = int(call.query.get('after', 0))
        return accept(
            incarnation=self.incarnation, events=self.cache.events_after(after)
        )

    def take_order(self, call: Call) -> Reply:
        """Begin or refuse an order."""
        order = read_order(call.body)
        if order is None:
            return refuse(HTTPStatus.BAD_REQUEST, 'malformed-order')
        return self.orders.take(order)

    def cancel(self, call: Call) -> Reply:
        """Free a request at once."""
        request_id = str(call.body.get('request_id'))
        return accept(cancelled=self.batch.cancel(request_id))

    def set_fault(self, call: Call) -> Reply:
        """Change speed, answers or orders from now on."""
        fault = call.body.get('answers', self.answer_fault)
        if fault not in ANSWER_FAULTS:
            return refuse(HTTPStatus.BAD_REQUEST, 'unknown-fault')
        self.answer_fault = fault
        self.batch.slow = float(call.body.get('slow', self.batch.slow))
        for name in ('crash_in_order', 'fail_orders'):
            if name in call.body:
                setattr(self.orders, name, bool(call.body[name]))
        return accept(answers=fault, slow=self.batch.slow)

    def complete(self, call: Call) -> Reply | Iterator[bytes]:
        """Run a completion, streamed or whole."""
        refusal = self.refusal(call.body)
        if refusal:
            return refusal
        job = self.read_job(call.body)
        self.record.append(
            event='request',
            request_id=job.request_id,
            resume_from=job.resume_from,
        )
        # A request that arrives again replaces its earlier self, as when
        # its caller resumes over a new connection.
        self.batch.cancel(job.request_id)
        sequence = self.batch.submit(job)
        if call.body.get('stream'):
            return self.stream(sequence)
        return self.whole_answer(sequence)

    def refusal(self, body: JsonObject) -> Reply | None:
        """Return why a completion can't run, None if it can."""
        if not self.batch.serving:
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'order-running')
        if body.get('model') != self.model:
            return refuse(HTTPStatus.NOT_FOUND, 'unknown-model')
        if body.get('adapter') and body['adapter'] not in self.adapters:
            return refuse(HTTPStatus.NOT_FOUND, 'unknown-adapter')
        if not isinstance(body.get('prompt'), str):
            return refuse(HTTPStatus.BAD_REQUEST, 'malformed-prompt')
        return None

    def read_job(self, body: JsonObject) -> Job:
        """Return the request of a completion's body."""
        prompt = body['prompt']
        request_id = str(body.get('request_id') or uuid4().hex)
        ticket = body.get('kv_ticket')
        self.tickets.note_prompt(request_id, prompt)
        return Job(
            request_id,
            prompt,
            int(body.get('max_tokens', 16)),
            int(body.get('priority', 0)),
            int(body.get('resume_from', 0)),
            bool(ticket) and self.tickets.claim(str(ticket), prompt),
        )

    def source_of(self, job: Job) -> Job:
        """Return the job whose answer is sent: another one when crossed."""
        if self.answer_fault != 'crossed':
            return job
        others = [
            sequence.job
            for sequence in self.batch.running
            if sequence.job.request_id != job.request_id
        ]
        stranger = job._replace(request_id='stranger', prompt='stranger')
        return others[0] if others else stranger

    def last_token(self, job: Job) -> int:
        """Return where the stream ends: halfway when it is cut."""
        if self.answer_fault == 'cut':
            return (job.resume_from + job.max_tokens) // 2
        return job.max_tokens

    def whole_answer(self, sequence: RunningSequence) -> Reply:
        """Wait for an answer's end and send it in one piece."""
        job = sequence.job
        source = self.source_of(job)
        if wait_for_end(sequence) == INTERRUPTED:
            return refuse(HTTPStatus.SERVICE_UNAVAILABLE, 'interrupted')
        token = token_source(source.prompt)
        numbers = range(job.resume_from, self.last_token(job))
        text = ''.join(token(number) for number in numbers)
        reason = None if self.answer_fault == 'cut' else 'length'
        choice = {'index': 0, 'text': text, 'finish_reason': reason}
        return accept(id=source.request_id, choices=[choice])

    def stream(self, sequence: RunningSequence) -> Iterator[bytes]:
        """Yield the tokens that each step puts out."""
        source = self.source_of(sequence.job)
        token = token_source(source.prompt)
        last = self.last_token(sequence.job)
        try:
            while (number := sequence.output.get()) >= 0 and number < last:
                yield encode_event(source.request_id, number, token(number))
        finally:
            # The caller went away or the stream was cut by a fault.
            self.batch.release(sequence)
        if number == FINISHED:
            finish = encode_event(source.request_id, last, '', 'length')
            yield finish
            if self.answer_fault == 'duplicate-finish':
                yield finish
            yield DONE_LINE


def wait_for_end(sequence: RunningSequence) -> int:
    """Wait until a request's output ends and return how it ended."""
    number = 0
    while number >= 0:
        number = sequence.output.get()
    return number


def encode_event(
    request_id: str, number: int, text: str, finish_reason: str | None = None
) -> bytes:
    """Return a server-sent event with one token or the finish marker."""
    choice = {'index': 0, 'text': text, 'finish_reason': finish_reason}
    event = dumps({'id': request_id, 'index': number, 'choices': [choice]})
    return f'data: {event}\n\n'.encode()


def make_routes(engine: FakeEngine) -> dict[str, Handler]:
    """Return the engine's HTTP routes."""
    return {
        'POST /v1/completions': engine.complete,
        'POST /admin/cancel': engine.cancel,
        'GET /admin/load': engine.show_load,
        'GET /admin/state': engine.show_state,
        'POST /admin/orders': engine.take_order,
        'GET /admin/cache-events': engine.show_events,
        'POST /admin/kv/export': engine.tickets.export,
        'POST /admin/kv/import': engine.tickets.take,
        'GET /kv/': engine.tickets.fetch,
        'POST /fault': engine.set_fault,
    }


def main() -> None:
    """Run the engine until SIGTERM."""
    options = parse(Options)
    engine = FakeEngine(options)
    spawn(engine.batch.run)
    spawn(engine.sample_load)
    serve(make_application(make_routes(engine)), options)


if __name__ == '__main__':
    main()
