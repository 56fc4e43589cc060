"""How the C library keeps the memory that a VM has freed.

Load pattern: many large messages that end at different times on many
threads. By default, glibc raises the size from which a block is a mapping of
its own, up to 32 MB, once such blocks are freed. What is freed later stays
with the process then, in the heap of each thread.
"""

import ctypes

# Size from which blocks are returned to the kernel as they are freed.
LARGE_BLOCK_BYTES = 128 * 1024
# Number of the parameter in glibc's ``mallopt``.
_M_MMAP_THRESHOLD = -3


def return_large_blocks():
    """Return the memory of large blocks to the kernel when it is freed.

    Returns:
        Whether the C library has taken the setting.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        # Not glibc.
        return False
    return bool(set_option(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
