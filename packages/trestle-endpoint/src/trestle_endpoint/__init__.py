"""The endpoint process: permits, orders, answers and target adapters."""
