"""The two binaries: kingcuptrestled and kingcuptrestle."""
