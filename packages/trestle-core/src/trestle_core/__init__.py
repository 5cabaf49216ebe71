"""Settings, named sets, verdicts, error codes, logs, metrics and life cycle."""
