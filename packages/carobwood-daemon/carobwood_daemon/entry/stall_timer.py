"""How long a stream has waited for its next complete event.

An engine that stalls may go on sending a byte now and then, which resets the
timeout of each read.
"""

import contextlib

from carobwood import clocks
from carobwood import errors


class StallTimer:
    """Adds up the time of reads since the last progress.

    Time in which the caller takes what was read is not counted.
    """

    def __init__(self, seconds, clock=clocks.now):
        """Create the timer.

        Args:
            seconds: time without progress after which a stream has stalled.
            clock: function that returns the monotonic time in seconds.
        """
        self._seconds = seconds
        self._clock = clock
        self._waited_seconds = 0.0
        self._is_overdue = False

    @property
    def waited_seconds(self):
        """Time of the reads since the last progress."""
        return self._waited_seconds

    def check(self):
        """Check before a read that the stream has not stalled.

        What has come by then is still read, once, as this VM may have been
        held up.

        Raises:
            StreamBroken: it has.
        """
        was_overdue = self._is_overdue
        self._is_overdue = self._waited_seconds > self._seconds
        if was_overdue and self._is_overdue:
            raise errors.StreamBroken(
                'no complete event within the stall timeout'
            )

    @contextlib.contextmanager
    def reading(self):
        """Count the time of a read."""
        started_at = self._clock()
        yield
        self._waited_seconds += self._clock() - started_at

    def note_progress(self):
        """Begin anew, as a complete event has come."""
        self._waited_seconds = 0.0
        self._is_overdue = False
