"""Replicated log, control state and role policy."""
