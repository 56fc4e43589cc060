"""Claims on ports, shared by the test processes of a machine.

A VM that is killed and started again needs the port that it had. Meanwhile
nothing listens on it, so another test process would take it for unused.
"""

import fcntl
import os
import pathlib
import tempfile

# The claim on a port is a lock on the byte of that number.
_PATH = pathlib.Path(tempfile.gettempdir()) / f'carobwood-ports-{os.getuid()}'

# Closing any descriptor of the file would end the claims of the process.
_file = open(_PATH, 'ab')


def claim(port):
    """Claim a port until this process ends.

    Claiming it again in the same process succeeds.

    Returns:
        Whether no other process has claimed it.
    """
    try:
        fcntl.lockf(_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def release(port):
    """Give a claim of this process up."""
    fcntl.lockf(_file, fcntl.LOCK_UN, 1, port)
