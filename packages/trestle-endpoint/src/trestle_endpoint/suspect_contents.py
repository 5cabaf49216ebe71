"""Reports engine crashes and coordinates runs of suspect contents.

The control state counts the crashes of each content. This process reports
the contents that ran at each crash, with retries until the report is
committed, and clears a suspect content whose answer has finished. A suspect
runs only while this process holds it, so that no two engines run it at the
same time.
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

_SUBMIT_TIMEOUT_SECONDS: Final = 5.0
_RETRY_SECONDS: Final = 0.5
_HOLD_POLL_SECONDS: Final = 0.1
_VIEW_TIMEOUT_SECONDS: Final = 2.0
_VIEW_POLL_SECONDS: Final = 0.01

Reply = TypeVar('Reply')

_log = part_logger('contents')


class Submit(Protocol):
    """Submits a command to the control state; see `ControlClient.submit`."""

    def __call__(
        self, command: Message, reply_type: type[Reply], timeout_seconds: float
    ) -> Reply:
        """Return the reply, or raise `TrestleError`."""


class SuspectContents:
    """The suspect and quarantined contents in the cached control state."""

    def __init__(
        self,
        host: str,
        incarnation: str,
        submit: Submit,
        suspects: Callable[[], set[str]],
        quarantined: Callable[[], set[str]],
    ) -> None:
        """Start with no pending crash reports."""
        self.host = host
        self.incarnation = incarnation
        self.submit = submit
        self.suspects = suspects
        self.quarantined = quarantined
        # Crash reports whose effect has not reached the cached view yet.
        self.pending_reports = 0
        self.reports_settled = Event()
        self.reports_settled.set()

    def is_suspect(self, content: str) -> bool:
        """Return whether a content is suspected of crashing an engine."""
        return content in self.suspects()

    def is_quarantined(self, content: str) -> bool:
        """Return whether a content is barred from running."""
        return content in self.quarantined()

    def report_crash(self, crash: EngineCrash) -> None:
        """Report a crash in the background until the report is committed."""
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
        """Wait until no pending crash report can quarantine a content."""
        self.reports_settled.wait()

    def acquire_hold(self, content: str) -> None:
        """Wait until this process has the exclusive right to run a suspect.

        Raises `TrestleError` with the code `quarantined` when another crash
        has led to the quarantine of the content.
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
        """Give up the right to run a suspect once no report is pending."""
        spawn(self._release, DropSuspect(content, self.host, self.incarnation))

    def clear_if_suspect(self, content: str, request_id: str) -> None:
        """Clear a suspect content whose answer has finished."""
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
    """Submit a command, with retries until it has a reply, and return it."""
    while True:
        try:
            return submit(command, reply_type, _SUBMIT_TIMEOUT_SECONDS)
        except TrestleError as error:
            name = type(command).__name__
            _log.warning('{} is not committed yet, retrying: {}.', name, error)
            sleep(_RETRY_SECONDS)
