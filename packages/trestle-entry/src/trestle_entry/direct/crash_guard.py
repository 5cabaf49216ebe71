"""Keeps a request that crashes back ends from reaching all of them.

A request that a back end broke off with a reset, or that could not be
reached any more right after, is counted under a digest of its place and
body. After the second such end the digest is barred for a while, on every
entry, since entries tell each other.
"""

from hashlib import blake2b
from time import monotonic
from typing import Final

CRASHES_TO_BAR: Final = 3
_KEPT_SECONDS: Final = 60.0
_DIGEST_BYTES: Final = 8
_MOST_KEPT: Final = 500


class CrashGuard:
    """Digests of requests whose back ends ended."""

    def __init__(self) -> None:
        """Know none."""
        self.ends: dict[str, dict[str, float]] = {}

    def note(self, digest: str, instance: str) -> str:
        """Note that a back end ended under a request; return the notice."""
        notice = f'{digest}:{instance}'
        self.take([notice])
        return notice

    def take(self, notices: list[str]) -> None:
        """Take notices, this entry's or others'."""
        now = monotonic()
        for notice in notices:
            digest, _, instance = notice.partition(':')
            self.ends.setdefault(digest, {}).setdefault(instance, now)
        while len(self.ends) > _MOST_KEPT:
            self.ends.pop(next(iter(self.ends)))

    def is_barred(self, digest: str) -> bool:
        """Tell whether a request has ended too many back ends."""
        ends = self.ends.get(digest)
        if not ends or len(ends) < CRASHES_TO_BAR:
            return False
        return monotonic() - max(ends.values()) < _KEPT_SECONDS


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest under which a request is counted."""
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    hashed.update(f'{method} {target}\n'.encode('latin-1'))
    hashed.update(body)
    return hashed.hexdigest()
