"""Tickets by which fake engines hand KV cache to one another."""

from collections import OrderedDict
from http import HTTPStatus
from time import monotonic
from typing import Any, Final, NamedTuple
from uuid import uuid4

from gevent import sleep
from xxhash import xxh3_64_hexdigest

from testbed.calls import http_call
from testbed.serving import Call, Reply, accept, refuse

KEPT_ENTRIES: Final = 1000


class Export(NamedTuple):
    """KV cache of one prompt, kept until a deadline in seconds."""

    digest: str
    tokens: int
    deadline: float


def remember(entries: OrderedDict[str, Any], key: str, entry: object) -> None:
    """Keep an entry and forget the oldest ones over the limit."""
    entries[key] = entry
    while len(entries) > KEPT_ENTRIES:
        entries.popitem(last=False)


class KvTickets:
    """Exports by ticket and imports that wait for their request."""

    def __init__(self, ticket_seconds: float, tokens_per_second: float) -> None:
        self.ticket_seconds = ticket_seconds
        self.tokens_per_second = tokens_per_second
        self.prompts: OrderedDict[str, str] = OrderedDict()
        self.exports: OrderedDict[str, Export] = OrderedDict()
        self.imports: OrderedDict[str, str] = OrderedDict()

    def note_prompt(self, request_id: str, prompt: str) -> None:
        """Remember whose KV cache the engine holds."""
        remember(self.prompts, request_id, prompt)

    def export(self, call: Call) -> Reply:
        """Give a ticket, which names this engine and the export."""
        prompt = self.prompts.get(str(call.body.get('request_id')))
        if prompt is None:
            return refuse(HTTPStatus.NOT_FOUND, 'unknown-request')
        export_id = uuid4().hex
        entry = Export(
            xxh3_64_hexdigest(prompt.encode()),
            len(prompt.split()),
            monotonic() + self.ticket_seconds,
        )
        remember(self.exports, export_id, entry)
        port = call.environ['SERVER_PORT']
        return accept(ticket=f'127.0.0.1:{port}/{export_id}')

    def fetch(self, call: Call) -> Reply:
        """Serve another engine that imports by ticket."""
        entry = self.exports.get(call.rest)
        if entry is None or entry.deadline < monotonic():
            return refuse(HTTPStatus.NOT_FOUND, 'unknown-ticket')
        return accept(digest=entry.digest, tokens=entry.tokens)

    def take(self, call: Call) -> Reply:
        """Import by ticket, as long as the tokens take to move."""
        ticket = str(call.body.get('ticket'))
        address, _, export_id = ticket.partition('/')
        try:
            found = fetch_export(address, export_id)
        except (OSError, ValueError):
            found = None
        if found is None:
            return refuse(HTTPStatus.NOT_FOUND, 'unknown-ticket')
        sleep(found[1] / self.tokens_per_second)
        remember(self.imports, ticket, found[0])
        return accept(tokens=found[1])

    def claim(self, ticket: str, prompt: str) -> bool:
        """Use an import up; tell whether it holds this prompt."""
        return self.imports.pop(ticket, '') == xxh3_64_hexdigest(
            prompt.encode()
        )


def fetch_export(address: str, export_id: str) -> tuple[str, int] | None:
    """Ask another engine for an export's digest and tokens."""
    status, content = http_call(address, 'GET', f'/kv/{export_id}')
    if status != HTTPStatus.OK:
        return None
    return content['digest'], content['tokens']
