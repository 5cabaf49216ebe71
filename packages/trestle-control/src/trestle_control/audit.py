"""Audit trail: the decisions on the fleet and their causes, by name.

A record is stored under every name that it concerns: an endpoint host, a
content digest, `order-N`, `version-N` or a request id. The number of names
and the number of records per name are bounded; the oldest are dropped first.
"""

from typing import Final

from trestle_control.state import AuditRecord, ControlState

MAX_RECORDS_PER_NAME: Final = 50
_MAX_NAMES: Final = 5000


class AuditTrail:
    """Writes the audit records of one command."""

    def __init__(self, state: ControlState, log_index: int) -> None:
        """Write into `state`; `log_index` is that of the command."""
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
    # Re-insertion moves the name to the end; the first one is the oldest.
    records = audit.pop(name, [])
    records.append(entry)
    audit[name] = records[-MAX_RECORDS_PER_NAME:]
    if len(audit) > _MAX_NAMES:
        audit.pop(next(iter(audit)))
