"""Continuous batching of the fake engine."""

from bisect import insort
from collections.abc import Callable
from typing import Final, NamedTuple

from gevent import sleep
from gevent.event import Event
from gevent.queue import Queue

from testbed.engine_cache import PrefixCache, piece_digests

FINISHED: Final = -1
INTERRUPTED: Final = -2
# How many prompt tokens one step may read, by the engine's role.
PREFILL_CHUNK_TOKENS: Final = {'prefill': 4096, 'mixed': 512, 'decode': 64}


class Rates(NamedTuple):
    """Speeds: prompt tokens/s, milliseconds of a decode step, batch size."""

    prefill_tokens_per_second: float
    decode_step_ms: float
    max_batch: int


class Job(NamedTuple):
    """One request as its caller asked for it."""

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    has_cache: bool


class Sequence:
    """A request in the engine: its unread prompt tokens and its output."""

    def __init__(self, job: Job, arrival: int) -> None:
        self.job = job
        self.order = (job.priority, arrival)
        self.words = job.prompt.split()
        self.prefill_left = len(self.words) + job.resume_from
        self.next_token = job.resume_from
        self.output: Queue[int] = Queue()

    def emit(self) -> bool:
        """Put out the next token; tell whether the answer is finished."""
        if self.next_token < self.job.max_tokens:
            self.output.put(self.next_token)
            self.next_token += 1
        finished = self.next_token >= self.job.max_tokens
        if finished:
            self.output.put(FINISHED)
        return finished


def rank(sequence: Sequence) -> tuple[int, int]:
    """Return the key of the queue's order: priority, then arrival."""
    return sequence.order


class Batch:
    """The queue and the running requests of one engine."""

    def __init__(
        self,
        rates: Rates,
        cache: PrefixCache,
        role: str,
        after_token: Callable[[Job], None],
    ) -> None:
        self.rates = rates
        self.cache = cache
        self.role = role
        self.after_token = after_token
        self.slow = 1.0
        self.serving = True
        self.arrivals = 0
        self.queued: list[Sequence] = []
        self.running: list[Sequence] = []
        self.wake = Event()

    def submit(self, job: Job) -> Sequence:
        """Queue a request behind those that are as urgent."""
        self.arrivals += 1
        sequence = Sequence(job, self.arrivals)
        insort(self.queued, sequence, key=rank)
        self.wake.set()
        return sequence

    def cancel(self, request_id: str) -> bool:
        """Free a request at once; tell whether there was one."""
        members = [
            sequence
            for sequence in self.queued + self.running
            if sequence.job.request_id == request_id
        ]
        for sequence in members:
            self.release(sequence)
        return bool(members)

    def release(self, sequence: Sequence) -> None:
        """Take a request out of the engine and end its output."""
        for group in (self.queued, self.running):
            if sequence in group:
                group.remove(sequence)
                sequence.output.put(INTERRUPTED)

    def stop_serving(self) -> int:
        """Interrupt all requests and tell how many there were."""
        self.serving = False
        members = self.queued + self.running
        for sequence in members:
            self.release(sequence)
        return len(members)

    def prefill_queue_tokens(self) -> int:
        """Return the prompt tokens that are still to be read."""
        return sum(
            sequence.prefill_left for sequence in self.queued + self.running
        )

    def run(self) -> None:
        """Run steps for ever."""
        while True:
            self.admit()
            if self.running:
                self.step()
            else:
                self.wake.clear()
                self.wake.wait()

    def admit(self) -> None:
        """Move the most urgent queued requests into the batch."""
        while self.queued and len(self.running) < self.rates.max_batch:
            sequence = self.queued.pop(0)
            digests = piece_digests(sequence.words)
            cached = self.cache.matched_tokens(digests)
            if sequence.job.has_cache:
                cached = sequence.prefill_left
            sequence.prefill_left = max(sequence.prefill_left - cached, 1)
            insort(self.running, sequence, key=rank)

    def step(self) -> None:
        """Read a chunk of prompts and decode one token of each answer."""
        decoding = [
            sequence for sequence in self.running if not sequence.prefill_left
        ]
        prompt_tokens, ready = self.prefill()
        seconds = prompt_tokens / self.rates.prefill_tokens_per_second
        if decoding:
            seconds += self.rates.decode_step_ms / 1000
        sleep(seconds * self.slow)
        for sequence in ready:
            self.cache.store(piece_digests(sequence.words))
        for emitter in decoding + ready:
            self.emit(emitter)

    def prefill(self) -> tuple[int, list[Sequence]]:
        """Read one chunk; return its tokens and the prompts read to the end."""
        budget = PREFILL_CHUNK_TOKENS[self.role]
        left = budget
        ready = []
        for sequence in self.running:
            if sequence.prefill_left and left:
                taken = min(left, sequence.prefill_left)
                sequence.prefill_left -= taken
                left -= taken
                if not sequence.prefill_left:
                    ready.append(sequence)
        return budget - left, ready

    def emit(self, sequence: Sequence) -> None:
        """Put out a token of a request that was not cancelled meanwhile."""
        if sequence not in self.running:
            return
        if sequence.emit():
            self.running.remove(sequence)
        self.after_token(sequence.job)
