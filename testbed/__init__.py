"""Small fakes, fault proxy and process harness for tests, demo and bench."""
