"""The process of the system, `kingcuptrestled`.

The standard library is patched for gevent before anything else is imported,
so this module imports nothing of the system itself.
"""

from importlib import import_module

from gevent.monkey import patch_all


def main() -> None:
    """Patch the standard library, then run the process."""
    patch_all()
    import_module('kingcuptrestle.daemon').run_daemon()
