"""Blocks requests that crash back ends before they reach all of them.

A request whose answer a back end broke off is counted under a digest of its
method, target and body. When it has interrupted `CRASHES_TO_BLOCK` instances,
the digest is blocked for a while. Entries exchange their notices, so the block
applies to all of them.
"""

from hashlib import blake2b
from time import monotonic
from typing import Final

from trestle_core.logs import part_logger

CRASHES_TO_BLOCK: Final = 3
_BLOCK_SECONDS: Final = 60.0
_DIGEST_BYTES: Final = 8
_MAX_DIGESTS: Final = 500

_log = part_logger('crashes')


class CrashGuard:
    """Back ends that crashed, by the digest of the request."""

    def __init__(self) -> None:
        """Start empty."""
        self.crashes: dict[str, dict[str, float]] = {}

    def record(self, digest: str, instance: str) -> str:
        """Record a back end that crashed under a request; return the notice."""
        notice = f'{digest}:{instance}'
        self.record_notices([notice])
        return notice

    def record_notices(self, notices: list[str]) -> None:
        """Record notices of this entry or of others."""
        now = monotonic()
        for notice in notices:
            digest, _, instance = notice.partition(':')
            crashes = self.crashes.setdefault(digest, {})
            if instance not in crashes:
                crashes[instance] = now
                _log.info(
                    'Content {} was broken off by {}, {} so far.',
                    digest,
                    instance,
                    len(crashes),
                )
        while len(self.crashes) > _MAX_DIGESTS:
            self.crashes.pop(next(iter(self.crashes)))

    def is_blocked(self, digest: str) -> bool:
        """Return whether a request has crashed too many back ends."""
        crashes = self.crashes.get(digest)
        if not crashes or len(crashes) < CRASHES_TO_BLOCK:
            return False
        return monotonic() - max(crashes.values()) < _BLOCK_SECONDS


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest under which the crashes of a request are counted."""
    hashed = blake2b(digest_size=_DIGEST_BYTES)
    hashed.update(f'{method} {target}\n'.encode('latin-1'))
    hashed.update(body)
    return hashed.hexdigest()
