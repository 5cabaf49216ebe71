"""The work that this entry has at each back end."""

from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import Event

from trestle_entry.direct.prompt_queue import PromptQueue
from trestle_links.load_messages import MAX_LOAD_FIGURE, BackendLoad


class OwnLoads:
    """Prompts and running requests, and which back ends have changed."""

    def __init__(self) -> None:
        """Start without work."""
        self.queues: dict[str, PromptQueue] = {}
        self.running: defaultdict[str, int] = defaultdict(int)
        self.kv_tokens: defaultdict[str, int] = defaultdict(int)
        # Back ends whose load has changed since it was last reported.
        self.unreported: set[str] = set()
        # Set when there is something to report.
        self.changed = Event()

    def load_of(self, instance: str) -> BackendLoad:
        """Return the work at a back end, as far as that can be told."""
        running = self.running.get(instance, 0)
        queue = self.queues.get(instance)
        return BackendLoad(
            instance,
            running,
            len(queue.prompts) if queue else 0,
            min(queue.tokens if queue else 0, MAX_LOAD_FIGURE),
            min(self.kv_tokens.get(instance, 0), MAX_LOAD_FIGURE),
        )

    def take_unreported(self) -> list[BackendLoad]:
        """Return the loads that have changed since the last call."""
        changed = [self.load_of(instance) for instance in self.unreported]
        self.unreported.clear()
        return changed

    def all_loads(self) -> list[BackendLoad]:
        """Return the load of every back end with work."""
        names = {*self.running, *self.queues}
        loads = [self.load_of(instance) for instance in names]
        return [load for load in loads if load.running or load.prompts]

    def add_running(
        self, instance: str, amount: int, kv_tokens: int = 0
    ) -> None:
        """Count requests that start, or with negative figures end."""
        self.running[instance] += amount
        self.kv_tokens[instance] += kv_tokens
        if not self.running[instance]:
            self.running.pop(instance)
            self.kv_tokens.pop(instance)
        self._mark(instance)

    @contextmanager
    def track_request(self, instance: str) -> Iterator[None]:
        """Count a request as running at a back end in the block."""
        self.add_running(instance, 1)
        try:
            yield
        finally:
            self.add_running(instance, -1)

    @contextmanager
    def track_prefill(self, instance: str, tokens: int) -> Iterator[None]:
        """Count a prompt in the prefill queue of an engine in the block."""
        queue = self.queues.setdefault(instance, PromptQueue())
        prompt_id = queue.add(tokens)
        self._mark(instance)
        try:
            yield
        finally:
            queue.remove(prompt_id)
            self._mark(instance)

    def keep_only(self, instances: set[str]) -> None:
        """Drop the empty queues of all other engines."""
        for instance in set(self.queues) - instances:
            if not self.queues[instance].prompts:
                self.queues.pop(instance)

    def _mark(self, instance: str) -> None:
        self.unreported.add(instance)
        self.changed.set()
