"""How much of the room each customer may fill when it is short.

Answers a crowd of one customer that would take the room of the others: the
requests of all wait in the same queues at the engines. A customer that asks for
more than its share is refused a little before the queues are full, and earlier
if it also gets more, so that what it leaves is there for the single requests of
the others. While the queues are short, nobody is refused.

The shares are those over all entries, as the leader tells them. Without a
leader the last ones hold for a while.
"""

from math import inf
from time import monotonic
from typing import Final

from trestle_core.customers import Customer
from trestle_links.usage_messages import CustomerShare

# Part of the room that customers who ask for more than their share leave to the
# others, and what one that gets far more than its share leaves besides.
_RESERVED_PART: Final = 0.1
_EXCESS_PART: Final = 0.1
_VALID_SECONDS: Final = 10.0


def room_part(ratio: float) -> float:
    """Return the part of the room for a customer that asks for too much.

    `ratio` is what it gets, as a multiple of its share.
    """
    return 1 - _RESERVED_PART - _EXCESS_PART * (1 - 1 / max(1.0, ratio))


class CustomerShares:
    """The customers that ask for more than their share."""

    def __init__(self) -> None:
        """Start with equal customers."""
        self.ratios: dict[str, float] = {}
        self.told_at = -inf

    def follow(self, shares: list[CustomerShare]) -> None:
        """Replace what is known by what the leader tells."""
        self.ratios = {share.customer: share.ratio for share in shares}
        self.told_at = monotonic()

    def room_of(self, customer: Customer | None) -> float:
        """Return the part of the room that a customer may fill."""
        if customer is None or monotonic() - self.told_at > _VALID_SECONDS:
            return 1.0
        ratio = self.ratios.get(customer.name)
        return 1.0 if ratio is None else room_part(ratio)
