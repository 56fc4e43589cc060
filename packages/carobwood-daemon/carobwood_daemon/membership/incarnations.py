"""Incarnation numbers, which distinguish the starts of a VM."""

import time


def new_incarnation():
    """Return a number that grows with each start of the VM.

    It is the wall-clock time in milliseconds, read once at the start. If
    the clock is stepped back between two starts, ``Directory`` raises the
    number above that of the earlier start as soon as a peer reports it.
    """
    return time.time_ns() // 1_000_000
