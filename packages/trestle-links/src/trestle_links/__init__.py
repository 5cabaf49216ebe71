"""Authenticated msgpack streams between the processes."""
