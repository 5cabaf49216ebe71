"""The parts that all requests of an entry process share."""

from collections import defaultdict
from typing import NamedTuple

from trestle_core.errorcodes import UNKNOWN_ROUTE
from trestle_core.errors import TrestleError
from trestle_core.metrics import Metrics
from trestle_core.namedset import ModelRoute, NamedSet, Route, ServiceRoute
from trestle_core.settings import EntrySettings
from trestle_core.texts import UNKNOWN_ROUTE as UNKNOWN_ROUTE_TEXT
from trestle_entry.choosing import Choose
from trestle_entry.content_gate import ContentGate
from trestle_entry.estimates import Estimates
from trestle_entry.offered_work import OfferedWork
from trestle_entry.request_records import RequestRecords
from trestle_entry.retry_budget import RetryBudgets
from trestle_entry.waiting_room import WaitingRoom
from trestle_links.control_client import ControlClient
from trestle_links.link import LinkPool


class WaitingRooms:
    """Waiting rooms by target name."""

    def __init__(self, limit: int) -> None:
        """Make rooms of `limit` places on first use."""
        self.limit = limit
        self.by_target: dict[str, WaitingRoom] = {}

    def of(self, target: str) -> WaitingRoom:
        """Return the room of a target."""
        room = self.by_target.get(target)
        if room is None:
            room = WaitingRoom(self.limit)
            self.by_target[target] = room
        return room


class Inflight:
    """Requests in work: in all, and by caller and route."""

    def __init__(self) -> None:
        """Start with none."""
        self.total = 0
        self.by_caller: defaultdict[tuple[str, str], int] = defaultdict(int)

    def add(self, caller: str, route: str) -> None:
        """Count a request that was admitted."""
        self.total += 1
        self.by_caller[caller, route] += 1

    def remove(self, caller: str, route: str) -> None:
        """Count a request that ended."""
        self.total -= 1
        self.by_caller[caller, route] -= 1
        if not self.by_caller[caller, route]:
            self.by_caller.pop((caller, route))


class EntryContext(NamedTuple):
    """Everything a request needs, made once by the application."""

    settings: EntrySettings
    control: ControlClient
    links: LinkPool
    metrics: Metrics
    estimates: Estimates
    choose: Choose
    rooms: WaitingRooms
    budgets: RetryBudgets
    inflight: Inflight
    records: RequestRecords
    offered: OfferedWork
    gate: ContentGate


def named_set_of(context: EntryContext) -> NamedSet:
    """Return the set in force; raises `unknown-route` when there is none."""
    named_set = context.control.view.named_set
    if named_set is None:
        raise TrestleError(UNKNOWN_ROUTE, 'No named set is published.')
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
    return named_set_of(context).routes.get(name)


def _unknown_route(name: str) -> TrestleError:
    return TrestleError(UNKNOWN_ROUTE, UNKNOWN_ROUTE_TEXT.format(name=name))
