"""Callers of a whole system: streamed completions and service calls."""

from collections.abc import Iterator, Mapping
from json import dumps, loads
from time import monotonic
from typing import Any, Final, NamedTuple

from testbed.answers import expected_answer
from testbed.calls import closing_client
from testbed.fake_service import expected_receipt
from testbed.serving import JsonObject

EVENT_PREFIX: Final = b'data: {'
DATA_CHARACTERS: Final = 6
# What a caller knows when its connection broke before an answer came.
UNANSWERED: Final = 'unanswered'


class Answer(NamedTuple):
    """What a caller got; times are seconds since it sent its request.

    `whole` tells that the answer has its finish marker; `token_times` holds
    the arrival of each event with text.
    """

    status: int
    verdict: str
    code: str
    request_id: str
    text: str
    whole: bool
    token_times: tuple[float, ...]
    seconds: float
    replayed: bool = False

    @property
    def first_token_seconds(self) -> float | None:
        """Seconds to the first token, None if no token came."""
        return self.token_times[0] if self.token_times else None


class Completion(NamedTuple):
    """A streamed completion as a caller asks for it."""

    caller: str
    model: str
    prompt: str
    max_tokens: int

    def correct(self, answer: Answer) -> bool:
        """Tell whether an answer is whole and right by its content."""
        expected = expected_answer(self.prompt, self.max_tokens)
        return answer.whole and answer.text == expected


class ServiceCall(NamedTuple):
    """One call of a plain service."""

    caller: str
    service: str
    operation: str
    key: str
    body: JsonObject

    def correct(self, answer: Answer) -> bool:
        """Tell whether the answer carries the receipt of this call."""
        if not answer.whole:
            return False
        content = loads(answer.text)
        receipt = expected_receipt(self.operation, content['key'], self.body)
        key_kept = not self.key or content['key'] == self.key
        return bool(key_kept and content['receipt'] == receipt)


def complete(
    address: str, completion: Completion, timeout_seconds: float
) -> Answer:
    """Stream a completion from an entry and return what came of it."""
    body = completion._asdict()
    caller = body.pop('caller')
    headers = {'Caller': caller, 'Content-Type': 'application/json'}
    return send(
        address,
        '/v1/completions',
        {**body, 'stream': True},
        headers,
        timeout_seconds,
    )


def call_service(
    address: str, call: ServiceCall, timeout_seconds: float
) -> Answer:
    """Call a service through an entry; an empty key is not sent."""
    headers = {'Caller': call.caller, 'Content-Type': 'application/json'}
    if call.key:
        headers['Idempotency-Key'] = call.key
    path = f'/services/{call.service}/{call.operation}'
    return send(address, path, call.body, headers, timeout_seconds)


def send(
    address: str,
    path: str,
    body: JsonObject,
    headers: Mapping[str, str],
    timeout_seconds: float,
) -> Answer:
    """Send one request; a broken connection gives an unanswered one."""
    began = monotonic()
    try:
        with closing_client(address, timeout_seconds) as client:
            response = client.request(
                'POST', path, dumps(body).encode(), dict(headers)
            )
            return read_answer(response, began)
    except (OSError, ValueError):
        return lost_answer(UNANSWERED, monotonic() - began)


def lost_answer(code: str, seconds: float) -> Answer:
    """Return the answer of a request about which nothing is known."""
    return Answer(0, 'may-have-run', code, '', '', False, (), seconds)


def read_answer(response: Any, began: float) -> Answer:
    """Read an answer to its end, as a stream or in one piece."""
    answer = Answer(
        response.status_code,
        response.get('request-verdict') or '',
        '',
        response.get('x-request-id') or '',
        '',
        False,
        (),
        0,
        bool(response.get('idempotent-replayed')),
    )
    if 'event-stream' in (response.get('content-type') or ''):
        answer = read_stream(answer, read_events(response), began)
    else:
        text = response.read().decode()
        whole = response.status_code == 200
        code = '' if whole else loads(text).get('code', '')
        answer = answer._replace(text=text, whole=whole, code=code)
    return answer._replace(seconds=monotonic() - began)


def read_events(response: Any) -> Iterator[JsonObject]:
    """Yield the server-sent events of an answer."""
    while line := response.readline(b'\n'):
        if line.startswith(EVENT_PREFIX):
            yield loads(line[DATA_CHARACTERS:])


def read_stream(
    answer: Answer, events: Iterator[JsonObject], began: float
) -> Answer:
    """Join a stream's tokens up to its finish marker or its error."""
    texts: list[str] = []
    times: list[float] = []
    finish = None
    for event in events:
        if 'error' in event:
            return answer._replace(
                code=event['code'],
                verdict=event['verdict'],
                text=''.join(texts),
                token_times=tuple(times),
            )
        choice = event['choices'][0]
        finish = choice['finish_reason'] or finish
        if choice['text']:
            texts.append(choice['text'])
            times.append(monotonic() - began)
    return answer._replace(
        text=''.join(texts), whole=bool(finish), token_times=tuple(times)
    )
