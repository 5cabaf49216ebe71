"""Statuses that promise that a request did not run and never will.

A back end that did not run a request says so in its answer's head. Without
that, such a status is no proof, and a caller that trusts it would have a request
run twice that may run once only. Its answer is then replaced by a failure of
our own, without the back end's seal.
"""

from trestle_core.errorcodes import OUTCOME_UNKNOWN
from trestle_core.errors import TrestleError
from trestle_core.route_table import Route
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_calls import CompleteAnswer
from trestle_entry.direct.replies import PROMISES


def check_promise(route: Route, answer: CompleteAnswer) -> CompleteAnswer:
    """Return the answer of a back end that did not decline a request.

    Raises `TrestleError` if it would promise what is not known. A request that
    may run twice can be sent again after any failure.
    """
    status = answer.head.status
    if status in PROMISES and not route.is_idempotent:
        raise TrestleError(
            OUTCOME_UNKNOWN,
            f'the back end answered {status}, but not that it ran nothing',
            Verdict.MAY_HAVE_RUN,
        )
    return answer
