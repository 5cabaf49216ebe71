"""The daemon `kingcuptrestled` and the operator command `kingcuptrestle`."""
