"""Errors of the replicated log and its storage."""

from trestle_core.errorcodes import (
    COMMIT_UNKNOWN,
    DAMAGED_LOG,
    NO_QUORUM,
    NOT_LEADER,
    OLD_DATA_FOLDER,
    STORAGE_FAILED,
)
from trestle_core.errors import TrestleError
from trestle_core.verdict import Verdict


class DamagedLogError(TrestleError):
    """Synced content of the data folder is unreadable; the start is refused."""

    def __init__(self, reason: str) -> None:
        """`reason` names the file and the offset."""
        super().__init__(DAMAGED_LOG, reason)


class StorageFailedError(TrestleError):
    """A write or a sync failed; its records are not acknowledged."""

    def __init__(self, reason: str) -> None:
        """The records may or may not be on the disk."""
        super().__init__(STORAGE_FAILED, reason, Verdict.MAY_HAVE_RUN)


class OldDataFolderError(TrestleError):
    """The data folder is older than what this member acknowledged from it."""

    def __init__(self, reason: str) -> None:
        """`reason` names what was acknowledged and what was found."""
        super().__init__(OLD_DATA_FOLDER, reason)


class NotLeaderError(TrestleError):
    """This member is not the leader; the command was not proposed."""

    def __init__(self, leader_address: str | None) -> None:
        """`leader_address` is None while no leader is known."""
        super().__init__(NOT_LEADER, f'The leader is {leader_address}.')
        self.leader_address = leader_address


class CommitUnknownError(TrestleError):
    """The command was proposed; it may still commit."""

    def __init__(self, reason: str = '') -> None:
        """The verdict is `MAY_HAVE_RUN`, since it may still commit."""
        super().__init__(COMMIT_UNKNOWN, reason, Verdict.MAY_HAVE_RUN)


class NoQuorumError(TrestleError):
    """No quorum confirmed the read in time."""

    def __init__(self) -> None:
        """The default verdict applies, since a read has no effect."""
        super().__init__(NO_QUORUM)
