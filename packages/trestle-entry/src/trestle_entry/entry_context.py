"""The state that all requests of an entry process share."""

from collections import defaultdict
from typing import NamedTuple

from trestle_core.errorcodes import UNKNOWN_ROUTE
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.namedset import ModelRoute, NamedSet, Route, ServiceRoute
from trestle_core.settings import EntrySettings
from trestle_core.texts import UNKNOWN_ROUTE as UNKNOWN_ROUTE_TEXT
from trestle_entry.content_gate import ContentGate
from trestle_entry.estimates import Estimates
from trestle_entry.offered_load import OfferedLoad
from trestle_entry.request_queue import RequestQueue
from trestle_entry.request_records import RequestRecords
from trestle_entry.retry_budget import RetryBudgets
from trestle_entry.routing_policies import RoutingPolicy
from trestle_links.control_client import ControlClient
from trestle_links.link import LinkPool


class RequestQueues:
    """Request queues by target name."""

    def __init__(self, limit: int) -> None:
        """Set the limit of waiting requests of each queue."""
        self.limit = limit
        self.by_target: dict[str, RequestQueue] = {}

    def for_target(self, target: str) -> RequestQueue:
        """Return the queue of a target, created on first use."""
        queue = self.by_target.get(target)
        if queue is None:
            queue = RequestQueue(self.limit)
            self.by_target[target] = queue
        return queue


class Inflight:
    """Counts of requests in flight: in total, by caller and route."""

    def __init__(self) -> None:
        """Start with none."""
        self.total = 0
        self.by_caller: defaultdict[tuple[str, str], int] = defaultdict(int)

    def add(self, caller: str, route: str) -> None:
        """Count a request that was admitted."""
        self.total += 1
        self.by_caller[caller, route] += 1

    def remove(self, caller: str, route: str) -> None:
        """Stop counting a request that has ended."""
        self.total -= 1
        self.by_caller[caller, route] -= 1
        if not self.by_caller[caller, route]:
            self.by_caller.pop((caller, route))


class EntryContext(NamedTuple):
    """Everything that requests share, created once by the application."""

    settings: EntrySettings
    control: ControlClient
    links: LinkPool
    metrics: Metrics
    estimates: Estimates
    policy: RoutingPolicy
    queues: RequestQueues
    budgets: RetryBudgets
    inflight: Inflight
    records: RequestRecords
    offered_load: OfferedLoad
    content_gate: ContentGate


def current_named_set(context: EntryContext) -> NamedSet:
    """Return the set in force; raises `unknown-route` when there is none."""
    named_set = context.control.view.named_set
    if named_set is None:
        raise TrestleError(UNKNOWN_ROUTE, 'No named set has been published.')
    return named_set


def model_route(context: EntryContext, name: str) -> ModelRoute:
    """Return a model route of the set in force; raises `unknown-route`."""
    route = _route(context, name)
    if isinstance(route, ModelRoute):
        return route
    raise _unknown_route(name)


def service_route(context: EntryContext, name: str) -> ServiceRoute:
    """Return a service route of the set in force; raises `unknown-route`."""
    route = _route(context, name)
    if isinstance(route, ServiceRoute):
        return route
    raise _unknown_route(name)


def _route(context: EntryContext, name: str) -> Route | None:
    return current_named_set(context).routes.get(name)


def _unknown_route(name: str) -> TrestleError:
    return TrestleError(UNKNOWN_ROUTE, UNKNOWN_ROUTE_TEXT.format(name=name))
