"""Retry budgets: extra dispatches as a share of the requests of a route.

Each request deposits a fraction, each retry spends a whole token. When every
endpoint is slow at once, retries add at most that share of load.
"""

from typing import Final

_RESERVE_TOKENS: Final = 3.0
_LIMIT_TOKENS: Final = 20.0
_PERCENT: Final = 100


class RetryBudget:
    """The tokens of one route."""

    def __init__(self) -> None:
        """Start with a small reserve, so that a quiet route may retry."""
        self.tokens = _RESERVE_TOKENS

    def deposit(self, retry_percent: int) -> None:
        """Credit one request."""
        earned = retry_percent / _PERCENT
        self.tokens = min(_LIMIT_TOKENS, self.tokens + earned)

    def spend(self) -> bool:
        """Take one token; false when the budget is spent."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryBudgets:
    """Budgets by route name."""

    def __init__(self) -> None:
        """Start with no routes."""
        self.by_route: dict[str, RetryBudget] = {}

    def of(self, route: str) -> RetryBudget:
        """Return the budget of a route, made on first use."""
        return self.by_route.setdefault(route, RetryBudget())
