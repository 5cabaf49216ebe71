"""Registry of error codes.

A code fixes the HTTP status and the verdicts that it may carry, so that no
part of the system can answer `not-run` with a code that does not prove it.
Each code has a page in docs/operators/errors/.
"""

from typing import Final, NamedTuple

from trestle_core.verdict import Verdict


class ErrorCode(NamedTuple):
    """One entry of the registry."""

    code: str
    status: int
    verdicts: frozenset[Verdict]
    summary: str


ERROR_CODES: Final[dict[str, ErrorCode]] = {}


def _register(
    code: str,
    status: int,
    summary: str,
    *verdicts: Verdict,
) -> ErrorCode:
    entry = ErrorCode(code, status, frozenset(verdicts), summary)
    ERROR_CODES[code] = entry
    return entry


def _refusal(code: str, status: int, summary: str) -> ErrorCode:
    return _register(code, status, summary, Verdict.NOT_RUN)


def _in_doubt(code: str, status: int, summary: str) -> ErrorCode:
    return _register(
        code,
        status,
        summary,
        Verdict.NOT_RUN,
        Verdict.MAY_HAVE_RUN,
    )


# Refusals before the key of a call is looked up: `not-run`, but for a call
# with a key, of which an earlier send may have run.
BAD_REQUEST: Final = _in_doubt('bad-request', 400, 'The request is malformed.')
UNKNOWN_ROUTE: Final = _in_doubt('unknown-route', 404, 'No such route.')
NOT_FOUND: Final = _in_doubt('not-found', 404, 'No such page or object.')
BODY_TOO_LARGE: Final = _in_doubt('body-too-large', 413, 'Body over the limit.')
HEADERS_TOO_LARGE: Final = _in_doubt(
    'headers-too-large', 431, 'Headers over the limit.'
)
DRAINING: Final = _in_doubt('draining', 503, 'The process is draining.')

# Refusals: nothing was started.
UNKNOWN_KEY: Final = _refusal(
    'unknown-key', 401, 'The request has no key of a customer.'
)
WRONG_METHOD: Final = _refusal('wrong-method', 405, 'Method not allowed.')
KEY_CONFLICT: Final = _refusal(
    'key-conflict', 409, 'The key stands for another request body.'
)
QUARANTINED: Final = _refusal(
    'quarantined', 422, 'The request crashed engines and is quarantined.'
)
CALLER_LIMIT: Final = _refusal('caller-limit', 429, 'Caller over its limit.')
OVERLOADED: Final = _refusal('overloaded', 503, 'Queues are full.')
DEADLINE_UNREACHABLE: Final = _refusal(
    'deadline-unreachable', 503, 'The deadline cannot be met.'
)
STALE_NODE: Final = _refusal('stale-node', 503, 'The node lacks fresh state.')
WITHDRAWN: Final = _refusal('withdrawn', 503, 'The endpoint is withdrawn.')
NO_ENDPOINT: Final = _refusal('no-endpoint', 503, 'No endpoint is available.')
STREAM_UNKNOWN: Final = _refusal(
    'stream-unknown', 503, 'The origin of the stream is not known.'
)
RETRY_BUDGET: Final = _refusal(
    'retry-budget', 503, 'The retry budget of the route is spent.'
)
PERMIT_UNUSABLE: Final = _refusal(
    'permit-unusable', 409, 'The permit is unknown, used or expired.'
)

# Failures whose verdict depends on how far the request came.
CONTROL_UNREACHABLE: Final = _in_doubt(
    'control-unreachable', 503, 'The control state cannot be reached.'
)
LINK_DOWN: Final = _in_doubt('link-down', 502, 'The link to a peer broke.')
CALL_TIMEOUT: Final = _in_doubt('call-timeout', 504, 'A peer did not answer.')
DEADLINE_PASSED: Final = _in_doubt(
    'deadline-passed', 504, 'The deadline passed.'
)
CANCELLED: Final = _in_doubt('cancelled', 499, 'The caller went away.')
ENGINE_CRASHED: Final = _in_doubt(
    'engine-crashed', 502, 'The engine stopped while it ran the request.'
)
ENGINE_REFUSED: Final = _in_doubt(
    'engine-refused', 502, 'The engine refused the request.'
)
CRASH_SUSPECT: Final = _refusal(
    'crash-suspect', 503, 'Back ends crashed under such requests.'
)
SUSPECT_HELD: Final = _refusal(
    'suspect-held', 409, 'Another endpoint runs the suspect content.'
)
KV_UNAVAILABLE: Final = _refusal(
    'kv-unavailable', 503, 'The KV cache of the ticket cannot be had.'
)
ANSWER_INCOMPLETE: Final = _in_doubt(
    'answer-incomplete', 502, 'The answer ended early.'
)
OUTCOME_UNKNOWN: Final = _register(
    'outcome-unknown',
    502,
    'The operation was sent; its outcome is not known.',
    Verdict.MAY_HAVE_RUN,
)
INTERNAL: Final = _in_doubt('internal', 500, 'Unexpected error.')

# Control state and operators' commands.
NOT_LEADER: Final = _refusal('not-leader', 503, 'Another member leads.')
COMMIT_UNKNOWN: Final = _register(
    'commit-unknown',
    504,
    'The command was proposed; whether it committed is not known.',
    Verdict.MAY_HAVE_RUN,
)
NO_QUORUM: Final = _refusal('no-quorum', 503, 'No quorum of members answers.')
VERSION_CONFLICT: Final = _refusal(
    'version-conflict', 409, 'Another set was published as this version.'
)
INVALID_SET: Final = _refusal('invalid-set', 400, 'The named set has errors.')
INVALID_SETTINGS: Final = _refusal(
    'invalid-settings', 400, 'The settings file has errors.'
)
DAMAGED_LOG: Final = _refusal(
    'damaged-log', 500, 'A record before the tail of the log is damaged.'
)
STORAGE_FAILED: Final = _in_doubt(
    'storage-failed', 500, 'The disk refused a write or a sync.'
)
OLD_DATA_FOLDER: Final = _refusal(
    'old-data-folder', 500, 'The data folder lacks what it acknowledged.'
)
WRONG_MEMBER: Final = _refusal(
    'wrong-member', 409, 'The message is for another member identity.'
)
MEMBERS_REFUSED: Final = _refusal(
    'members-refused', 409, 'The control hosts left would be no quorum.'
)
DATA_FOLDER_IN_USE: Final = _refusal(
    'data-folder-in-use', 500, 'Another process uses the data folder.'
)
BAD_FRAME: Final = _refusal('bad-frame', 400, 'A frame could not be read.')
BAD_HANDSHAKE: Final = _refusal(
    'bad-handshake', 401, 'The peer does not hold the shared key.'
)
STALE_ORDER: Final = _refusal(
    'stale-order', 409, 'A newer fencing number was seen.'
)
ORDER_OUTSTANDING: Final = _refusal(
    'order-outstanding', 409, 'The engine has not finished its last order.'
)
