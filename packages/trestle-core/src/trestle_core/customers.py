"""Customers, and the keys by which entries tell whose a request is.

Keys are kept as digests only, so that none can reach a log line, a metric or
an error.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final, NamedTuple, Self

from trestle_core.errorcodes import INVALID_SET
from trestle_core.errors import TrestleError

_DIGEST_BYTES: Final = 16


class Customer(NamedTuple):
    """A customer; unless `priority` is None, it replaces that of the route."""

    name: str
    priority: int | None = None


class CustomerKeys(NamedTuple):
    """A customer and all its keys."""

    customer: Customer
    keys: list[str]


class PresentedKey(NamedTuple):
    """The key of a request as a digest, or why it has none."""

    digest: bytes = b''
    flaw: str = 'missing'


def key_digest(key: str) -> bytes:
    """Return the digest that stands for a key."""
    return blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()


class CustomerTable:
    """The customers of one version of the routes."""

    def __init__(self, by_digest: dict[bytes, Customer]) -> None:
        """Keep the customer of each key."""
        self.by_digest = by_digest

    @classmethod
    def from_config(cls, entries: Iterable[CustomerKeys]) -> Self:
        """Index the keys.

        Raises `TrestleError` for a customer without a name or with that of
        another one, for an empty key, and for a key of two customers.
        """
        by_digest: dict[bytes, Customer] = {}
        names: set[str] = set()
        for customer, keys in entries:
            if not customer.name or customer.name in names:
                raise _invalid(f'customer {customer.name!r} has no own name')
            names.add(customer.name)
            for key in keys:
                _add_key(by_digest, customer, key)
        return cls(by_digest)

    def find(self, presented: PresentedKey) -> Customer | None:
        """Return the customer that holds a key."""
        return self.by_digest.get(presented.digest)


def _add_key(
    by_digest: dict[bytes, Customer], customer: Customer, key: str
) -> None:
    if not key:
        raise _invalid(f'customer {customer.name} has an empty key')
    holder = by_digest.setdefault(key_digest(key), customer)
    if holder is not customer:
        raise _invalid(
            f'customers {holder.name} and {customer.name} share a key'
        )


def _invalid(reason: str) -> TrestleError:
    return TrestleError(INVALID_SET, reason)
