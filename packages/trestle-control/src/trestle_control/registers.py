"""The registers of idempotency keys, each stored as packed bytes.

Registers are the largest table: there is one for each booking within the
retention time. An unpacked register takes several times the memory, so only
the few that a command uses are unpacked.

The table is ordered by the last write, so expiry reads only its beginning.
"""

from collections.abc import Iterator
from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import convert

from trestle_links.claim_messages import Claim, ClaimKey


class Register(NamedTuple):
    """The write-once register of one idempotency key.

    Attempts up to `refused` cannot claim. `touched_ms` is the state's
    clock at the last command on the key.
    """

    body_digest: str
    opened: int
    refused: int
    claim: Claim | None
    request_ids: list[str]
    touched_ms: int


class RegisterTable:
    """Packed registers by packed key, the least recently written first."""

    def __init__(self) -> None:
        """Start empty."""
        self.packed: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        """Return the number of registers."""
        return len(self.packed)

    def get(self, claim_key: ClaimKey) -> Register | None:
        """Return the register of a key."""
        packed_register = self.packed.get(_pack(claim_key))
        return (
            None
            if packed_register is None
            else _unpack_register(packed_register)
        )

    def entries(self) -> Iterator[tuple[ClaimKey, Register]]:
        """Return all registers, the least recently written first."""
        for packed_key, packed in self.packed.items():
            claim_key = convert(unpackb(packed_key), ClaimKey)
            yield claim_key, _unpack_register(packed)

    def write(self, claim_key: ClaimKey, register: Register) -> None:
        """Set a register and move it to the end."""
        packed_key = _pack(claim_key)
        self.packed.pop(packed_key, None)
        self.packed[packed_key] = _pack(register)

    def drop(self, claim_key: ClaimKey) -> None:
        """Remove a register."""
        self.packed.pop(_pack(claim_key), None)


def _pack(row: ClaimKey | Register) -> bytes:
    packed: bytes = packb(row, use_bin_type=True)
    return packed


def _unpack_register(packed: bytes) -> Register:
    return convert(unpackb(packed, raw=False), Register)
