"""Retry budgets: they limit retries to a share of a route's requests.

Each request deposits a fraction of a token, each retry spends one token. Even
if all endpoints are slow, retries add at most that share of load.
"""

from typing import Final

_INITIAL_TOKENS: Final = 3.0
_MAX_TOKENS: Final = 20.0
_PERCENT: Final = 100


class RetryBudget:
    """The token bucket of one route."""

    def __init__(self) -> None:
        """Start with a few tokens, so that a route with few requests can retry."""
        self.tokens = _INITIAL_TOKENS

    def deposit(self, retry_percent: int) -> None:
        """Add the share of one request."""
        earned = retry_percent / _PERCENT
        self.tokens = min(_MAX_TOKENS, self.tokens + earned)

    def spend(self) -> bool:
        """Take one token; return False when the budget is exhausted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryBudgets:
    """Budgets by route name."""

    def __init__(self) -> None:
        """Start with no routes."""
        self.by_route: dict[str, RetryBudget] = {}

    def for_route(self, route: str) -> RetryBudget:
        """Return the budget of a route, created on first use."""
        return self.by_route.setdefault(route, RetryBudget())
