"""Opens streams at plain services, which need no prompt to be prefilled.

A stream is never hedged: its events reach the caller as they come, and those
of two back ends are two runs.
"""

from functools import partial

from gevent import Timeout

from trestle_entry.direct.backend_calls import (
    CompleteAnswer,
    OpenAnswer,
    open_answer,
    remaining_ms,
)
from trestle_entry.direct.backend_choice import choose_backend
from trestle_entry.direct.backend_exchange import BrokenAnswerError
from trestle_entry.direct.request_sends import send_once
from trestle_entry.direct.stream_opens import (
    handle_failed_answer,
    is_declined,
)
from trestle_entry.direct.stream_run import StreamRun
from trestle_entry.direct.wire_types import OK, SendOptions
from trestle_links.direct_messages import Backend


def open_at_service(run: StreamRun) -> OpenAnswer | CompleteAnswer:
    """Send to one back end after the other until one answers.

    Raises `TrestleError`.
    """
    while True:
        answered = _try(run, choose_backend(run))
        if answered is not None:
            return answered


def _try(
    run: StreamRun, backend: Backend
) -> OpenAnswer | CompleteAnswer | None:
    """Send once; return None to try another back end."""
    try:
        opened = send_once(run, backend.instance, partial(_send, run, backend))
        if opened is None or is_declined(run, opened):
            run.count_at('')
            return None
    except BaseException:
        run.count_at('')
        raise
    run.runs += 1
    if opened.head.status == OK:
        return opened
    return handle_failed_answer(run, opened)


def _send(run: StreamRun, backend: Backend) -> OpenAnswer:
    options = SendOptions(
        backend.instance,
        remaining_ms(run.request.deadline),
        resume_from=run.events.last_id,
    )
    software = backend.software or 'no version'
    run.trace.add('send', f'{backend.instance}: {software}')
    run.count_at(backend.instance)
    sent_ms = run.context.loads.usage.clock.unix_ms()
    try:
        opened = open_answer(
            run.context,
            run.request,
            backend,
            options,
            at_most_once=not run.route.is_idempotent,
        )
    except (BrokenAnswerError, Timeout):
        # It may have begun.
        run.note_begun(sent_ms)
        raise
    if not opened.head.is_declined:
        run.note_begun(sent_ms)
    return opened
