"""Routes of entries that dispatch directly, in the product's own terms.

A table is checked whole when it is built: a route that names an unknown
service, two routes at one place, weights that add up to nothing or a time
limit of nothing make no table. The index finds a route by host and longest
prefix in as many steps as the path has slashes, however many routes there
are.
"""

from enum import Enum
from typing import Final, NamedTuple

from trestle_core.customers import CustomerTable
from trestle_core.errorcodes import INVALID_SET
from trestle_core.errors import TrestleError

# Where a document does not tell: 18 KB a token at 200 Gbit/s.
_COMMON_MS_PER_TOKEN: Final = 0.0007
_BITS: Final = 8
# Of one Mbit/s.
_BITS_PER_MS: Final = 1000


class Repeat(str, Enum):
    """What may be repeated on a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class EngineTraits(NamedTuple):
    """What all engines of a pool share.

    `kv_tokens` is the memory of one, in tokens; a token takes `token_bytes`
    of it and moves over links of `link_mbps`.
    """

    kv_tokens: int
    token_bytes: int
    link_mbps: float

    @property
    def ms_per_token_moved(self) -> float:
        """Time that a token takes between engines of a zone, ms."""
        if not self.token_bytes or not self.link_mbps:
            return _COMMON_MS_PER_TOKEN
        return self.token_bytes * _BITS / (self.link_mbps * _BITS_PER_MS)


class Service(NamedTuple):
    """A pool of back ends; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineTraits | None


class Share(NamedTuple):
    """A part of a route's requests and the service that gets it."""

    service: str
    weight: int


class Route(NamedTuple):
    """One route; times in ms. `priority` 0 is the most urgent.

    Requests of a public route need no key of a customer.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: int
    target_ms: int
    gap_ms: int
    priority: int
    max_attempts: int
    resumable: bool
    shares: tuple[Share, ...]
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request of this route may run twice."""
        if self.repeat is Repeat.STREAM:
            return self.resumable
        return self.repeat is Repeat.SAFE


class CallerLimits(NamedTuple):
    """What callers may send, in bytes, and how long they may take, in ms."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


DEFAULT_LIMITS: Final = CallerLimits(16_384, 4_194_304, 3_000, 15_000)


class RouteTable:
    """A version of the routes, with its index."""

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: CallerLimits,
        customers: CustomerTable | None = None,
    ) -> None:
        """Check and index the routes; raises `TrestleError`.

        Without a table of customers, requests need no key.
        """
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            _check_route(route, services)
            prefixes = self.by_host.setdefault(route.host, {})
            if route.prefix in prefixes:
                raise _invalid(f'two routes at {route.host}{route.prefix}')
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            route = prefixes.get(path[: end + 1])
            if route:
                return route
        return None


def pick_share(route: Route, draw: float) -> str:
    """Return the service for a draw in [0, 1) by the route's weights."""
    total = sum(share.weight for share in route.shares)
    place = draw * total
    for share in route.shares:
        place -= share.weight
        if place < 0:
            return share.service
    return route.shares[-1].service


def _check_route(route: Route, services: dict[str, Service]) -> None:
    place = f'route {route.name}'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        raise _invalid(f'{place}: the prefix must begin and end with a slash')
    if route.timeout_ms <= 0:
        raise _invalid(f'{place}: the time limit is 0')
    if not route.shares or sum(share.weight for share in route.shares) <= 0:
        raise _invalid(f'{place}: the weights add up to 0')
    if any(share.weight < 0 for share in route.shares):
        raise _invalid(f'{place}: a weight is below 0')
    for share in route.shares:
        if share.service not in services:
            raise _invalid(f'{place}: unknown service {share.service}')


def _invalid(reason: str) -> TrestleError:
    return TrestleError(INVALID_SET, reason)
