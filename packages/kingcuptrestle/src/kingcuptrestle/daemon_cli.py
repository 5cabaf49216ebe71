"""Entry point of the daemon `kingcuptrestled`.

The standard library must be patched for gevent before anything else is
imported, so this module has no top-level imports from the system's packages.
A hang-up signal is ignored until an application handles it: its default would end
a process that only starts.
"""

from importlib import import_module
from signal import SIG_IGN, SIGHUP, signal


def main() -> None:
    """Patch the standard library, then run the daemon."""
    signal(SIGHUP, SIG_IGN)
    import_module('gevent.monkey').patch_all()
    import_module('kingcuptrestle.daemon').run_daemon()
