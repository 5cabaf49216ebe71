"""Entry point of the daemon `kingcuptrestled`.

The standard library must be patched for gevent before anything else is
imported, so this module has no top-level imports from the system's packages.
"""

from importlib import import_module

from gevent.monkey import patch_all


def main() -> None:
    """Patch the standard library, then run the daemon."""
    patch_all()
    import_module('kingcuptrestle.daemon').run_daemon()
