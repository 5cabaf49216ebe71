"""The two firms of the brief as seeded, open-loop workloads.

Times are scaled: a swing of the mix, minutes long at the firms, takes
seconds here, for every policy alike.
"""

from collections.abc import Iterator, Mapping
from itertools import chain
from random import Random
from typing import Final, NamedTuple

from testbed.callers import Completion, ServiceCall
from testbed.serving import JsonObject

# Half a swing of the mix: a time of long reads, then of short queries.
HALF_SWING_SECONDS: Final = 8.0
SWING_SECONDS: Final = 2 * HALF_SWING_SECONDS
WORDS: Final = tuple(f'{number:03x}' for number in range(512))
QUESTION_TOKENS: Final = 24
MS_PER_SECOND: Final = 1000
# Shares that a greedy caller sends beside its own.
GREEDY_EXTRA: Final = 9


class ModelClass(NamedTuple):
    """Requests of one model route.

    `standing` tokens begin every prompt of the class. Each document is read
    `reads` times on average; none are shared if it is 0. An answer is useful
    within `deadline_seconds`. Rates are requests/s in the two halves of a
    swing.
    """

    route: str
    callers: tuple[str, ...]
    priority: int
    standing: int
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    reads: int
    deadline_seconds: float
    rates: tuple[float, float]


class ServiceClass(NamedTuple):
    """Calls of one operation; `keyed` calls run at most once."""

    operation: str
    callers: tuple[str, ...]
    keyed: bool
    deadline_seconds: float
    rate: float


class Firm(NamedTuple):
    """A firm's fleet and its requests."""

    name: str
    zones: tuple[str, ...]
    pool: str
    engines: int
    service: str
    services: int
    models: tuple[ModelClass, ...]
    operations: tuple[ServiceClass, ...]
    role_change_weight: float


class Arrival(NamedTuple):
    """One request of the schedule; `at` is seconds since its start."""

    at: float
    label: str
    deadline_seconds: float
    request: Completion | ServiceCall


TRADERS: Final = tuple(f'trader-{number}' for number in range(1, 7))
CLERKS: Final = tuple(f'busbar-clerk-{number}' for number in range(1, 5))
MILLS: Final = tuple(f'mill-{number}' for number in range(1, 9))
EXPORTERS: Final = tuple(f'exporter-{number}' for number in range(1, 5))

MEDENA: Final = Firm(
    name='medena',
    zones=('plovdiv-a', 'plovdiv-b', 'asenovgrad', 'pazardzhik'),
    pool='certificate-reader',
    engines=9,
    service='order-desk',
    services=4,
    models=(
        ModelClass(
            'certificate-grades',
            TRADERS + CLERKS,
            priority=6,
            standing=0,
            prompt_tokens=(12000, 28000),
            output_tokens=(32, 64),
            reads=4,
            deadline_seconds=8,
            rates=(10, 4),
        ),
        ModelClass(
            'lot-verdicts',
            TRADERS + CLERKS,
            priority=2,
            standing=0,
            prompt_tokens=(60, 400),
            output_tokens=(12, 32),
            reads=0,
            deadline_seconds=2.5,
            rates=(4, 12),
        ),
    ),
    operations=(
        ServiceClass('reserve', TRADERS + CLERKS, True, 4, 3),
        ServiceClass('stock', TRADERS + CLERKS, False, 2, 4),
    ),
    role_change_weight=1,
)
MALABAR: Final = Firm(
    name='malabar',
    zones=('kochi-a', 'kochi-b', 'alappuzha'),
    pool='order-assistant',
    engines=9,
    service='ledger',
    services=3,
    models=(
        ModelClass(
            'tender-checks',
            MILLS + EXPORTERS,
            priority=8,
            standing=8000,
            prompt_tokens=(8000, 20000),
            output_tokens=(48, 96),
            reads=2,
            deadline_seconds=16,
            rates=(7, 1),
        ),
        ModelClass(
            'letter-checks',
            MILLS + EXPORTERS,
            priority=5,
            standing=0,
            prompt_tokens=(1500, 4000),
            output_tokens=(24, 48),
            reads=0,
            deadline_seconds=6,
            rates=(5, 8),
        ),
        ModelClass(
            'weave-queries',
            MILLS + EXPORTERS,
            priority=2,
            standing=0,
            prompt_tokens=(40, 200),
            output_tokens=(12, 32),
            reads=0,
            deadline_seconds=2.5,
            rates=(8, 36),
        ),
    ),
    operations=(
        ServiceClass('book', MILLS, True, 4, 3),
        ServiceClass('lookup', MILLS + EXPORTERS, False, 2, 4),
    ),
    role_change_weight=8,
)
FIRMS: Final[Mapping[str, Firm]] = {'medena': MEDENA, 'malabar': MALABAR}


def named_set(firm: Firm) -> JsonObject:
    """Return the named set that a firm publishes for its workload."""
    routes: JsonObject = {
        one.route: {
            'kind': 'model',
            'pool': firm.pool,
            'priority': one.priority,
            'deadline_ms': int(one.deadline_seconds * MS_PER_SECOND),
            'first_token_ms': int(one.deadline_seconds * MS_PER_SECOND),
        }
        for one in firm.models
    }
    routes[firm.service] = {'kind': 'service', 'service': firm.service}
    operations = {
        one.operation: {'idempotent': not one.keyed} for one in firm.operations
    }
    plan = {'role_change_weight': firm.role_change_weight}
    pool = {'model': 'model', 'version': '1', 'plan': firm.name}
    return {
        'services': {firm.service: {'operations': operations}},
        'pools': {firm.pool: pool},
        'routes': routes,
        'plans': {firm.name: plan},
    }


def with_greedy_caller(firm: Firm) -> Firm:
    """Return a firm whose first caller sends ten times its share."""
    greedy = [
        model._replace(
            callers=model.callers[:1],
            rates=(
                model.rates[0] * GREEDY_EXTRA / len(model.callers),
                model.rates[1] * GREEDY_EXTRA / len(model.callers),
            ),
        )
        for model in firm.models
    ]
    return firm._replace(models=(*firm.models, *greedy))


def schedule(
    firm: Firm, seed: int, seconds: float, load: float
) -> list[Arrival]:
    """Return all arrivals of a run; `load` multiplies the model rates."""
    models = chain.from_iterable(
        model_arrivals(model, seed, seconds, load) for model in firm.models
    )
    operations = chain.from_iterable(
        service_arrivals(firm.service, operation, seed, seconds)
        for operation in firm.operations
    )
    return sorted(chain(models, operations), key=arrival_time)


def arrival_time(arrival: Arrival) -> float:
    """Return when an arrival is due."""
    return arrival.at


def poisson_times(random: Random, rate: float, end: float) -> Iterator[float]:
    """Yield the arrival times of a Poisson process."""
    at = random.expovariate(rate)
    while at < end:
        yield at
        at += random.expovariate(rate)


def model_arrivals(
    model: ModelClass, seed: int, seconds: float, load: float
) -> Iterator[Arrival]:
    """Yield a class's requests, thinned to the rate of each half swing."""
    random = Random(f'{seed} {model.route} {len(model.callers)}')
    peak = max(model.rates) * load
    number = 0
    for at in poisson_times(random, peak, seconds):
        rate = model.rates[int(at % SWING_SECONDS >= HALF_SWING_SECONDS)]
        if random.random() * peak >= rate * load:
            continue
        number += 1
        completion = Completion(
            random.choice(model.callers),
            model.route,
            prompt_of(model, random, seed, number),
            random.randint(*model.output_tokens),
        )
        yield Arrival(at, model.route, model.deadline_seconds, completion)


def prompt_of(model: ModelClass, random: Random, seed: int, number: int) -> str:
    """Return a prompt: standing text, a document, a question of its own."""
    standing = words(Random(model.route), model.standing)
    source = Random(random.random())
    if model.reads:
        document = number // model.reads - random.randint(0, 2)
        source = Random(f'{seed} {model.route} {document}')
    text = words(source, source.randint(*model.prompt_tokens))
    question = words(random, QUESTION_TOKENS)
    return ' '.join((*standing, *text, *question))


def words(random: Random, count: int) -> list[str]:
    """Return random words; each is one token."""
    return random.choices(WORDS, k=count)


def service_arrivals(
    service: str, operation: ServiceClass, seed: int, seconds: float
) -> Iterator[Arrival]:
    """Yield the calls of an operation, each with a key of its own."""
    random = Random(f'{seed} {operation.operation}')
    for at in poisson_times(random, operation.rate, seconds):
        number = random.getrandbits(64)
        key = f'{operation.operation}-{number:x}' if operation.keyed else ''
        call = ServiceCall(
            random.choice(operation.callers),
            service,
            operation.operation,
            key,
            {'lot': number % 1000},
        )
        yield Arrival(at, operation.operation, operation.deadline_seconds, call)
