"""Sums of the loads of all entries, kept up to date change by change.

A change replaces what one entry has at a few back ends, so its cost does not
depend on the number of entries.
"""

from trestle_links.load_messages import BackendLoad


class LoadTotals:
    """The loads of each entry, their sums, and the sums that have changed."""

    def __init__(self) -> None:
        """Start without entries."""
        self.by_host: dict[str, dict[str, BackendLoad]] = {}
        self.totals: dict[str, BackendLoad] = {}
        self.changed: set[str] = set()

    def apply(self, host: str, loads: list[BackendLoad]) -> None:
        """Replace what an entry has at some back ends."""
        known = self.by_host.setdefault(host, {})
        for load in loads:
            earlier = known.pop(load.instance, BackendLoad(load.instance))
            if any(load[1:]):
                known[load.instance] = load
            self._add(load, earlier)

    def drop(self, host: str) -> None:
        """Remove an entry with its loads."""
        nothing = [BackendLoad(name) for name in self.by_host.get(host, {})]
        self.apply(host, nothing)
        self.by_host.pop(host, None)

    def take_changed(self) -> list[BackendLoad]:
        """Return the sums that have changed since the last call."""
        taken = [
            self.totals.get(instance, BackendLoad(instance))
            for instance in self.changed
        ]
        self.changed.clear()
        return taken

    def all_totals(self) -> list[BackendLoad]:
        """Return the sums of all back ends with work."""
        return list(self.totals.values())

    def running(self) -> dict[str, int]:
        """Return the running requests by back end."""
        return {
            instance: load.running
            for instance, load in self.totals.items()
            if load.running
        }

    def _add(self, load: BackendLoad, earlier: BackendLoad) -> None:
        instance = load.instance
        total = self.totals.get(instance, BackendLoad(instance))
        total = BackendLoad(
            instance,
            total.running + load.running - earlier.running,
            total.prompts + load.prompts - earlier.prompts,
            total.tokens + load.tokens - earlier.tokens,
            total.kv_tokens + load.kv_tokens - earlier.kv_tokens,
        )
        if any(total[1:]):
            self.totals[instance] = total
        else:
            self.totals.pop(instance, None)
        self.changed.add(instance)
