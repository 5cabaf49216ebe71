"""The identity, term and vote of this member on disk.

A member that lost a vote could vote twice in one term, and two leaders could
commit different commands at one index. So a term or a vote is synced before
any message carries it, and an identity is synced before it is announced. An
empty data folder gets a new incarnation: the votes under the old one are
lost, so the group must not count the host as the same member.
"""

from pathlib import Path
from typing import Final, NamedTuple, Self
from uuid import uuid4

from gevent.lock import RLock
from msgpack import packb, unpackb
from msgspec import convert

from trestle_control.durable_files import (
    read_checked_file,
    write_checked_file,
)
from trestle_control.folder_work import FolderWork

_FILE_NAME: Final = 'vote'


class VoteRecord(NamedTuple):
    """The durable identity, term and vote of a member.

    `voted_for` is the incarnation that received the vote in `term`, or empty.
    `is_original` is true of a data folder that was made at the first start of
    the whole system, so it was never lost.
    """

    host: str
    incarnation: str
    term: int
    voted_for: str
    is_original: bool = False


class VoteFile:
    """The synced vote record of this member."""

    def __init__(self, path: Path, record: VoteRecord) -> None:
        """Wrap a record that is already on disk."""
        self.path = path
        self.record = record
        self.lock = RLock()
        self.folder_work = FolderWork()

    @classmethod
    def open(
        cls, folder: Path, host: str, *, is_original: bool = False
    ) -> Self:
        """Read the file, or create one with a new incarnation.

        Raises `DamagedLogError` and `OSError`.
        """
        path = folder / _FILE_NAME
        if path.exists():
            record = convert(unpackb(read_checked_file(path)), VoteRecord)
            return cls(path, record)
        record = VoteRecord(host, uuid4().hex, 0, '', is_original)
        write_checked_file(path, packb(record))
        return cls(path, record)

    def store(self, term: int, voted_for: str) -> None:
        """Sync a term and a vote, then update `record`.

        Raises `StorageFailedError`.
        """
        record = self.record._replace(term=term, voted_for=voted_for)
        packed: bytes = packb(record)
        self.folder_work.run(lambda: write_checked_file(self.path, packed))
        self.record = record
