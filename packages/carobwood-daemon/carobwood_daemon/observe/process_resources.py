"""What a VM's process takes of its memory, descriptors and threads.

A process that is killed for its memory writes nothing. The lines and levels
of the seconds before tell it from others that end without a planned stop.
"""

import os
import pathlib
import resource
import threading

from carobwood import clocks
from carobwood import events

SAMPLE_PERIOD_SECONDS = 1.0
# Share of the memory limit beyond which a warning is logged.
MEMORY_SHARE = 0.8
# Least time between two warnings.
LOG_PERIOD_SECONDS = 10.0

_STATUS = pathlib.Path('/proc/self/statm')
_DESCRIPTORS = '/proc/self/fd'


class ResourceWatch:
    """Samples this process and warns if its memory runs short."""

    def __init__(self, metrics, memory_limit_bytes, buffers, clock=clocks.now):
        """Create the watch.

        Args:
            metrics: the ``Metrics`` that get the levels.
            memory_limit_bytes: memory that the VM may use.
            buffers: the ``BufferBudget`` of the VM.
            clock: function that returns the monotonic time in seconds.
        """
        self._metrics = metrics
        self._memory_limit_bytes = memory_limit_bytes
        self._buffers = buffers
        self._clock = clock
        self._logged_at = float('-inf')

    def sample(self):
        """Set the levels, and log a warning if memory runs short."""
        try:
            resident = _resident_bytes()
            descriptors = len(os.listdir(_DESCRIPTORS))
        except OSError:
            # No descriptor is left, which the listeners log.
            return
        gauge = self._metrics.gauge
        gauge('resident_bytes', resident)
        gauge('memory_limit_bytes', self._memory_limit_bytes)
        gauge('open_descriptors', descriptors)
        gauge(
            'descriptor_limit', resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        gauge('threads', threading.active_count())
        if resident >= MEMORY_SHARE * self._memory_limit_bytes:
            self._warn(resident)

    def _warn(self, resident):
        now = self._clock()
        if now - self._logged_at < LOG_PERIOD_SECONDS:
            return
        self._logged_at = now
        events.emit(
            events.MEMORY_SHORT,
            resident=resident,
            limit=self._memory_limit_bytes,
            buffered=self._buffers.used_bytes,
            threads=threading.active_count(),
        )


def _resident_bytes():
    pages = int(_STATUS.read_text().split()[1])
    return pages * resource.getpagesize()
