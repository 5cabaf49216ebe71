"""Queries: read-only views of the control state as JSON-ready values.

The command server completes a read barrier before it runs a query, so the
answer is at least as new as the request. `nodes` are based on periodic
reports and lag by about a second.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from msgspec import to_builtins
from msgspec.json import decode

from trestle_control.node_table import NodeTable
from trestle_control.published_set import published_set_reader
from trestle_control.rollout import rollout_status
from trestle_control.state import ControlState
from trestle_links.watch_messages import NodeReport


class QueryContext(NamedTuple):
    """The state and the other sources that queries read."""

    state: ControlState
    nodes: NodeTable
    replica_status: Callable[[], Any]


Query = Callable[[QueryContext, str], Any]


def status_query(context: QueryContext, _name: str) -> Any:
    """Return the group status, the version in force and table sizes."""
    state = context.state
    reports = context.nodes.reports()
    return {
        'replica': _to_json_ready(context.replica_status()),
        'set_version': state.set_version,
        'nodes': len(reports),
        'nodes_in_force': _in_force(reports, state.set_version),
        'endpoints': len(state.endpoints),
        'serving': sum(
            endpoint.serving for endpoint in state.endpoints.values()
        ),
        'withdrawn': [
            _to_json_ready(withdrawal)
            for withdrawal in state.withdrawals.values()
        ],
        'claims': len(state.registers),
        'orders_outstanding': [
            _to_json_ready(order)
            for order in state.orders.values()
            if order.state.value == 'issued'
        ],
        'usage': _usage(state),
        'rollouts': _rollouts(state),
        'quarantined': [
            record.content
            for record in state.contents.values()
            if record.quarantined
        ],
        'suspects': sum(
            not record.quarantined for record in state.contents.values()
        ),
    }


def _usage(state: ControlState) -> dict[str, int]:
    """Return the last windows of usage, and how many are not accepted."""
    return {
        'recorded': state.usage_recorded,
        'confirmed': state.usage_confirmed,
        'waiting': len(state.usage_waiting),
    }


def _rollouts(state: ControlState) -> list[Any]:
    named_set = published_set_reader(state)()
    pools = named_set.pools if named_set else {}
    return [
        _to_json_ready(rollout_status(state, name, pool))
        for name, pool in pools.items()
    ]


def set_query(context: QueryContext, _name: str) -> Any:
    """Return the set in force with its version and digest."""
    current = context.state.current_set
    if current is None:
        return {'version': 0, 'digest': '', 'operator': '', 'content': {}}
    return {
        'version': current.version,
        'digest': current.digest,
        'operator': current.operator,
        'content': decode(context.state.set_content),
    }


def endpoints_query(context: QueryContext, name: str) -> Any:
    """Return the endpoints; `name` limits them to a host or a target."""
    return [
        _to_json_ready(endpoint)
        for endpoint in context.state.endpoints.values()
        if not name or name in {endpoint.host, endpoint.target}
    ]


def order_query(context: QueryContext, name: str) -> Any:
    """Return the last order of an endpoint, or null."""
    return _to_json_ready(context.state.orders.get(name))


def nodes_query(context: QueryContext, _name: str) -> Any:
    """Return the last report of every node.

    A host that has just started waits for those of the others.
    """
    context.nodes.wait_until_complete()
    return [_to_json_ready(report) for report in context.nodes.reports()]


def explain_query(context: QueryContext, name: str) -> Any:
    """Return the records under a name, and the claims of a key or id."""
    state = context.state
    records = [_to_json_ready(record) for record in state.audit.get(name, [])]
    claims = [
        {
            'service': claim_key.service,
            'caller': claim_key.caller,
            'key': claim_key.key,
            'opened': register.opened,
            'refused': register.refused,
            'claim': _without_body(_to_json_ready(register.claim)),
        }
        for claim_key, register in state.registers.entries()
        if name == claim_key.key or name in register.request_ids
    ]
    return {'name': name, 'records': records, 'claims': claims}


QUERIES: Final[dict[str, Query]] = {
    'status': status_query,
    'set': set_query,
    'endpoints': endpoints_query,
    'order': order_query,
    'nodes': nodes_query,
    'explain': explain_query,
}


def _in_force(reports: list[NodeReport], version: int) -> int:
    return sum(report.set_version >= version for report in reports)


def _to_json_ready(value: Any) -> Any:
    """Convert named tuples to objects with their field names as keys."""
    if isinstance(value, tuple) and hasattr(value, '_asdict'):
        fields = value._asdict()
        return {name: _to_json_ready(entry) for name, entry in fields.items()}
    if isinstance(value, list):
        return [_to_json_ready(entry) for entry in value]
    return to_builtins(value)


def _without_body(claim: Any) -> Any:
    outcome = claim['outcome'] if claim else None
    if outcome:
        outcome['body_bytes'] = len(outcome.pop('body'))
    return claim
