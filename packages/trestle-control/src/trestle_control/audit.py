"""Explaining records: why the fleet changed, by name.

A record stands under every name that it concerns: an endpoint host, a
content digest, `order-N`, `version-N` or a request id. The number of names
and of records for a name are bounded; the oldest go first.
"""

from typing import Final

from trestle_control.state import AuditRecord, ControlState

RECORDS_PER_NAME: Final = 50
_NAMES_LIMIT: Final = 5000


class Story:
    """Writes the records of one command."""

    def __init__(self, state: ControlState, log_index: int) -> None:
        """Bind the state and the log index of the command."""
        self.state = state
        self.log_index = log_index

    def record(
        self, names: list[str], kind: str, cause: str, detail: str = ''
    ) -> None:
        """Append a record under each name."""
        entry = AuditRecord(
            self.log_index, self.state.unix_ms, kind, cause, detail
        )
        for name in names:
            _append(self.state.audit, name, entry)


def _append(
    audit: dict[str, list[AuditRecord]], name: str, entry: AuditRecord
) -> None:
    # Re-insertion keeps the names that changed last at the end.
    records = audit.pop(name, [])
    records.append(entry)
    audit[name] = records[-RECORDS_PER_NAME:]
    if len(audit) > _NAMES_LIMIT:
        audit.pop(next(iter(audit)))
