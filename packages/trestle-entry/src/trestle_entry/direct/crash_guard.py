"""Keeps a request that crashes back ends from reaching all of them.

A request that a back end broke off with a reset, or that could not be
reached any more right after, is counted under a digest of its place and
body. After the second such end the digest is barred for a while, on every
entry, since entries tell each other.
"""

from hashlib import blake2b
from time import monotonic
from typing import Final

CRASHES_TO_BLOCK: Final = 3
_BLOCK_SECONDS: Final = 60.0
_DIGEST_BYTES: Final = 8
_MAX_DIGESTS: Final = 500


class CrashGuard:
    """Digests of requests whose back ends ended."""

    def __init__(self) -> None:
        """Know none."""
        self.crashes: dict[str, dict[str, float]] = {}

    def record(self, digest: str, instance: str) -> str:
        """Note that a back end ended under a request; return the notice."""
        notice = f'{digest}:{instance}'
        self.record_notices([notice])
        return notice

    def record_notices(self, notices: list[str]) -> None:
        """Take notices, this entry's or others'."""
        now = monotonic()
        for notice in notices:
            digest, _, instance = notice.partition(':')
            self.crashes.setdefault(digest, {}).setdefault(instance, now)
        while len(self.crashes) > _MAX_DIGESTS:
            self.crashes.pop(next(iter(self.crashes)))

    def is_blocked(self, digest: str) -> bool:
        """Tell whether a request has ended too many back ends."""
        crashes = self.crashes.get(digest)
        if not crashes or len(crashes) < CRASHES_TO_BLOCK:
            return False
        return monotonic() - max(crashes.values()) < _BLOCK_SECONDS


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest under which a request is counted."""
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    hashed.update(f'{method} {target}\n'.encode('latin-1'))
    hashed.update(body)
    return hashed.hexdigest()
