"""Registry of user-facing messages.

Messages are templates for `str.format`; code passes the values by name.
"""

from typing import Final

BAD_JSON: Final = 'The request body is not valid JSON: {reason}.'
BAD_FIELD: Final = 'Field {path}: {reason}.'
UNKNOWN_ROUTE: Final = 'No route is named {name}.'
UNKNOWN_OPERATION: Final = 'Service {service} has no operation {operation}.'
KEY_CONFLICT: Final = (
    'The idempotency key was used before with another request body.'
)
STALE_NODE: Final = (
    'This node has had no fresh state for {age:.1f} s and takes no new work.'
)
NO_ENDPOINT: Final = 'No endpoint of {target} can take the request now.'
DEADLINE_UNREACHABLE: Final = (
    'The request cannot be answered before its deadline of {deadline_ms} ms.'
)
DEADLINE_PASSED: Final = 'The deadline passed before the answer was complete.'
CALLER_LIMIT: Final = 'Caller {caller} is over its limit on route {route}.'
QUARANTINED: Final = (
    'This request crashed more than one engine and is quarantined.'
)
DRAINING: Final = 'The process is draining and takes no new work.'
WITHDRAWN: Final = 'The endpoint is withdrawn and takes no new work.'
CONTROL_UNREACHABLE: Final = 'The control state cannot be reached.'
OUTCOME_UNKNOWN: Final = (
    'The operation was sent and its outcome is not known; it is not repeated.'
)
ANSWER_INCOMPLETE: Final = 'The answer ended before it was complete.'
UNKNOWN_QUERY: Final = 'No query is named {name}.'
NO_CONTROL_HOSTS: Final = (
    'No control host is given: use --control or KINGCUPTRESTLE_CONTROL.'
)
UNUSABLE_KEY: Final = 'The shared key cannot be used: {reason}.'
