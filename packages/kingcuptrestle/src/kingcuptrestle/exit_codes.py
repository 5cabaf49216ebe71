"""Exit codes of the operator command line, a stable interface for scripts.

| code | meaning |
|---|---|
| 0 | done, or the result was printed |
| 1 | refused: nothing was changed |
| 2 | the arguments, settings or named set are invalid |
| 3 | no control host could be reached; nothing was changed |
| 4 | sent, but the outcome is unknown; the command is safe to repeat |
| 5 | published, but not in force on every node within the wait |
"""

from typing import Final

from trestle_core.errorcodes import (
    CONTROL_UNREACHABLE,
    INVALID_SET,
    INVALID_SETTINGS,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict

DONE: Final = 0
REFUSED: Final = 1
INVALID_INPUT: Final = 2
UNREACHABLE: Final = 3
IN_DOUBT: Final = 4
NOT_IN_FORCE: Final = 5


def exit_code_of(error: TrestleError) -> int:
    """Return the exit code for an error."""
    if error.verdict is not Verdict.NOT_RUN:
        return IN_DOUBT
    if error.code is CONTROL_UNREACHABLE:
        return UNREACHABLE
    if error.code in {INVALID_SET, INVALID_SETTINGS}:
        return INVALID_INPUT
    return REFUSED
