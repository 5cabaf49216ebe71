"""Digests: content of named sets, request bodies and prompt pieces."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any, Final

import msgspec
from xxhash import xxh3_64, xxh3_64_intdigest

PIECE_TOKENS: Final = 2000
_DIGEST_BYTES: Final = 16


def canonical_json(content: Any) -> bytes:
    """Encode with sorted keys, so that equal content gives equal bytes."""
    return msgspec.json.encode(content, order='deterministic')


def content_digest(content: bytes) -> str:
    """Return the hex digest that identifies a body or a named set."""
    return blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score wins."""
    return xxh3_64_intdigest(f'{key}\n{name}'.encode())


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by their rendezvous score for a key."""
    return sorted(
        names, key=lambda name: rendezvous_score(key, name), reverse=True
    )


def piece_digests(prompt: str, limit: int) -> list[str]:
    """Digest each leading run of whole pieces of a prompt.

    A token is a word between blanks; digest n covers the words of pieces
    0 to n, so equal digests mean equal prefixes. At most `limit` digests.
    """
    words = prompt.split()
    hasher = xxh3_64()
    digests: list[str] = []
    pieces = min(limit, len(words) // PIECE_TOKENS)
    for piece in range(pieces):
        start = piece * PIECE_TOKENS
        text = ' '.join(words[start : start + PIECE_TOKENS])
        hasher.update((text if piece == 0 else f' {text}').encode())
        digests.append(hasher.hexdigest())
    return digests
