"""Crash-causing contents: reports of crashes and of finished suspects.

The control state counts the crashes of a content. This process reports what
ran at each crash, again until it is committed, and clears a suspect whose
answer finished.
"""

from collections.abc import Callable
from time import monotonic
from typing import Any, Final, Protocol, TypeVar

from gevent import sleep, spawn
from gevent.event import Event

from trestle_core.errorcodes import QUARANTINED, SUSPECT_HELD
from trestle_core.errors import TrestleError
from trestle_core.logs import part_logger
from trestle_core.texts import QUARANTINED as QUARANTINED_TEXT
from trestle_endpoint.engine_monitor import EngineCrash
from trestle_links.codec import Message
from trestle_links.fleet_messages import (
    ClearSuspect,
    CommandReply,
    CrashReply,
    ReportCrash,
)
from trestle_links.suspect_messages import DropSuspect, HoldSuspect

_SUBMIT_SECONDS: Final = 5.0
_RETRY_SECONDS: Final = 0.5
_HOLD_POLL_SECONDS: Final = 0.1
_VIEW_TIMEOUT_SECONDS: Final = 2.0
_VIEW_POLL_SECONDS: Final = 0.01

Reply = TypeVar('Reply')

_log = part_logger('contents')


class Submit(Protocol):
    """Sends a command to the control state; see `ControlClient.submit`."""

    def __call__(
        self, command: Message, reply_type: type[Reply], timeout_seconds: float
    ) -> Reply:
        """Return the reply, or raise `TrestleError`."""


class SuspectContents:
    """Suspects and quarantined contents, as the control view has them."""

    def __init__(
        self,
        host: str,
        incarnation: str,
        submit: Submit,
        suspects: Callable[[], set[str]],
        quarantined: Callable[[], set[str]],
    ) -> None:
        """Hold no contents of its own."""
        self.host = host
        self.incarnation = incarnation
        self.submit = submit
        self.suspects = suspects
        self.quarantined = quarantined
        # Crashes whose effect on the view is not known yet.
        self.pending_reports = 0
        self.reports_settled = Event()
        self.reports_settled.set()

    def is_suspect(self, content: str) -> bool:
        """Tell whether a content ran on an engine that crashed."""
        return content in self.suspects()

    def is_quarantined(self, content: str) -> bool:
        """Tell whether a content may not run."""
        return content in self.quarantined()

    def report_crash(self, crash: EngineCrash) -> None:
        """Report a crash until the control state has committed it."""
        report = ReportCrash(
            endpoint=self.host,
            crash_id=crash.crash_id,
            contents=[running.content for running in crash.running],
            request_ids=[running.request_id for running in crash.running],
        )
        self.pending_reports += 1
        self.reports_settled.clear()
        spawn(self._submit_report, report)

    def wait_for_reports(self) -> None:
        """Wait until no crash here could still quarantine a content."""
        self.reports_settled.wait()

    def acquire_hold(self, content: str) -> None:
        """Wait until this process alone may run a suspect.

        Raises `quarantined` when another crash named the content meanwhile.
        """
        command = HoldSuspect(content, self.host, self.incarnation)
        while True:
            reply = submit_with_retries(self.submit, command, CommandReply)
            if reply.accepted:
                return
            if reply.code != SUSPECT_HELD.code:
                raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
            sleep(_HOLD_POLL_SECONDS)

    def release_hold(self, content: str) -> None:
        """Let another process run a suspect, once no crash is uncounted."""
        spawn(self._release, DropSuspect(content, self.host, self.incarnation))

    def clear_finished(self, content: str, request_id: str) -> None:
        """Clear a suspect whose answer finished."""
        if self.is_suspect(content):
            spawn(
                submit_with_retries,
                self.submit,
                ClearSuspect(content, request_id),
                CommandReply,
            )

    def _release(self, command: DropSuspect) -> None:
        self.wait_for_reports()
        submit_with_retries(self.submit, command, CommandReply)

    def _submit_report(self, report: ReportCrash) -> None:
        reply = submit_with_retries(self.submit, report, CrashReply)
        view_deadline = monotonic() + _VIEW_TIMEOUT_SECONDS
        while monotonic() < view_deadline:
            if self.quarantined().issuperset(reply.quarantined):
                break
            sleep(_VIEW_POLL_SECONDS)
        self.pending_reports -= 1
        if not self.pending_reports:
            self.reports_settled.set()


def submit_with_retries(
    submit: Submit, command: Message, reply_type: type[Any]
) -> Any:
    """Submit a command until it has a reply, and return that."""
    while True:
        try:
            return submit(command, reply_type, _SUBMIT_SECONDS)
        except TrestleError as error:
            name = type(command).__name__
            _log.warning('{} is not committed yet: {}.', name, error)
            sleep(_RETRY_SECONDS)
