"""Permits, order gate, answers and the engine and service adapters."""
