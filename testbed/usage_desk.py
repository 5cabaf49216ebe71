"""Stand-in for the platform's desk that takes reports of usage."""

from typing import Any, NamedTuple

from msgspec.json import decode


class ToldUsage(NamedTuple):
    """A report of usage that the platform got."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class UsageDesk:
    """Accepts every report and keeps it."""

    def __init__(self) -> None:
        """Start without a report."""
        self.reports: list[ToldUsage] = []

    def take(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one report (WSGI)."""
        body = decode(environ['wsgi.input'].read())
        self.reports.append(
            ToldUsage(
                body['windowSeq'],
                body['counts'],
                environ['HTTP_KINGCUPTRESTLE_DUTY_HOLDER'],
                int(environ['HTTP_KINGCUPTRESTLE_FENCING_TOKEN']),
            )
        )
        start_response('200 OK', [('Content-Length', '0')])
        return []
