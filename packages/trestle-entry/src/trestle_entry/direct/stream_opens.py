"""Opens a stream at a back end, whoever chooses it, and opens it again.

What a back end answers in place of a stream is either a reason to try another
one or the answer to the caller.
"""

from collections.abc import Callable

from trestle_core.errorcodes import ANSWER_INCOMPLETE
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict
from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    OpenAnswer,
    read_answer,
)
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.request_sends import (
    broken_answer_error,
    note_broken,
    within_deadline,
)
from trestle_entry.direct.stream_run import StreamRun
from trestle_entry.direct.wire_types import MISDIRECTED, SERVER_ERROR

# Sends a request until a back end answers it. Raises `TrestleError`.
OpenAt = Callable[[], OpenAnswer | CompleteAnswer]


def open_stream(run: StreamRun, open_at: OpenAt) -> OpenAnswer | CompleteAnswer:
    """Open the stream, or return the back end's error answer.

    Raises `TrestleError`.
    """
    try:
        with within_deadline(run):
            return open_at()
    except BaseException:
        release_places(run)
        raise


def reopen_stream(open_at: OpenAt) -> OpenAnswer:
    """Resume the stream at another back end after the last complete event.

    Raises `TrestleError`.
    """
    opened = open_at()
    if isinstance(opened, CompleteAnswer):
        raise TrestleError(
            ANSWER_INCOMPLETE,
            'another back end failed to resume the stream',
            Verdict.MAY_HAVE_RUN,
        )
    return opened


def release_places(run: StreamRun) -> None:
    """Count a request no longer at any back end."""
    run.count_at('')
    run.hold_place('')


def is_declined(run: StreamRun, opened: OpenAnswer) -> bool:
    """Return whether a back end declined the request, and record it."""
    if not opened.head.is_declined:
        return False
    instance = opened.backend.instance
    read_answer(run.context, opened)
    run.trace.add('declined', f'{instance}: {opened.head.status}')
    run.avoided.add(instance)
    run.context.fleet.note_declined(
        instance, is_full=opened.head.status != MISDIRECTED
    )
    return True


def handle_failed_answer(
    run: StreamRun, opened: OpenAnswer
) -> CompleteAnswer | None:
    """Read an answer that is no stream; return None to try another back end.

    Raises `TrestleError` if it breaks off.
    """
    instance = opened.backend.instance
    try:
        answer = read_answer(run.context, opened)
    except BrokenAnswerError as error:
        note_broken(run, instance, error)
        raise broken_answer_error(error) from error
    finally:
        run.count_at('')
    run.trace.add('failed', f'{instance}: {answer.head.status}')
    if answer.head.status >= SERVER_ERROR:
        if run.service.engine:
            run.context.fleet.note_failed(instance, str(answer.head.status))
        run.avoided.add(instance)
        if run.may_try_another:
            return None
    return answer
