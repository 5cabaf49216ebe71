"""Callers' HTTP, admission, routing, retries and answer streams."""
