"""The third-party packages of a source tree: made for this Python or anew.

A folder of packages holds compiled parts, which only the kind of Python and
machine that made them can load. A stamp, written after all is installed, names
the kind and the requirements. The standard library only is imported here, since
this module runs where the packages are missing.
"""

import sys
from collections.abc import Callable
from hashlib import sha256
from pathlib import Path
from shutil import rmtree
from subprocess import run
from sysconfig import get_config_var
from typing import Final

_OLDEST_PYTHON: Final = (3, 11)
# As messages name it.
NEEDED_PYTHON: Final = 'Python 3.11 or newer'
_STAMP_NAME: Final = '.made-for'
_PIP: Final = ('-m', 'pip', 'install', '-q', '--disable-pip-version-check')


def python_kind() -> str:
    """Return the kind of Python and machine, such as `cpython-311-x86_64`."""
    tag = get_config_var('SOABI') or sys.implementation.cache_tag
    return str(tag)


def has_supported_python() -> bool:
    """Return whether this Python can run the system."""
    return sys.version_info >= _OLDEST_PYTHON


def prepare(
    folder: Path,
    requirements: Path,
    install: Callable[[Path, Path], None],
) -> bool:
    """Fill a folder with the packages unless they are there and usable.

    Returns whether it was filled. `install` raises what it likes if it fails;
    the folder then counts as not made.
    """
    wanted = _stamp(requirements)
    stamp_file = folder / _STAMP_NAME
    if stamp_file.exists() and stamp_file.read_text() == wanted:
        return False
    # Parts of two kinds in one folder hide each other.
    if folder.exists():
        rmtree(folder)
    folder.mkdir(parents=True)
    install(folder, requirements)
    stamp_file.write_text(wanted)
    return True


def install_by_pip(folder: Path, requirements: Path) -> None:
    """Install into a folder; raises `CalledProcessError`."""
    target = ('--target', str(folder), '-r', str(requirements))
    run((sys.executable, *_PIP, *target), check=True)


def explain_failed_import(error: ImportError) -> str:
    """Return one line on packages that cannot be imported, with the mend."""
    return (
        f'The packages cannot be imported by this Python, {python_kind()}: '
        f'{error}. Run the build command of deploy/system.toml again, with the '
        f'Python that starts the programs ({NEEDED_PYTHON}).'
    )


def _stamp(requirements: Path) -> str:
    digest = sha256(requirements.read_bytes()).hexdigest()
    return f'{python_kind()} {digest}\n'
