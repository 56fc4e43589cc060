"""Reads the body of a response until its end, a timeout or a caller that left.

An endpoint that sends without end always has bytes to read, and one that
sends a byte now and then resets the timeout of each read. Both the time and
the caller are therefore looked at before each read.

What has come by the end of the time is still read, as this VM may have been
held up meanwhile. It may take many reads; their number is bounded once.
"""

import io

from carobwood import errors

from ..entry import request_body

from . import endpoint_connections

# What one read takes at least of that which has come.
LATE_READ_BYTES = io.DEFAULT_BUFFER_SIZE
# Late reads beside those of what the kernel holds: of what was read with the
# head, and of the end of the connection.
FURTHER_LATE_READS = 2


class AnswerReader:
    """Reads the body of one response to one caller."""

    def __init__(self, connection, caller, read_timeout):
        """Create the reader.

        Args:
            connection: the ``EndpointConnection`` whose head was read.
            caller: the ``CallerRequest``.
            read_timeout: seconds that a read may take once the connection
                is readable.
        """
        self._connection = connection
        self._caller = caller
        self._read_timeout = read_timeout
        # Reads that may be made after the time, or None before its end.
        self._late_reads = None

    @property
    def has_ended(self):
        """Whether there is nothing more to read."""
        return self._connection.has_ended

    @property
    def declared_length(self):
        """Length of the whole body in bytes, or None if it is not known."""
        return self._connection.declared_length

    def read(self, timeout):
        """Wait for bytes, read once and return what they hold of the body.

        Args:
            timeout: seconds until the reading has to end. What has come by
                then is still read by the calls that follow.

        Returns:
            Bytes of the body; they may be none before its end.

        Raises:
            CallerLeft: the caller disconnected.
            EndpointFailed: the body is truncated or malformed.
            EndpointTimeout: the body did not go on in time.
        """
        self._count_late_reads(timeout)
        if self._late_reads == 0:
            return self._end_in_time()
        wait_seconds = max(0.0, timeout)
        trailer_seconds = self._connection.trailer_seconds_left
        if trailer_seconds is not None:
            wait_seconds = min(wait_seconds, trailer_seconds)
        match self._connection.wait(self._caller.socket, wait_seconds):
            case endpoint_connections.WaitResult.CALLER_LEFT:
                raise errors.CallerLeft(
                    'the caller disconnected during the response'
                )
            case endpoint_connections.WaitResult.TIMED_OUT:
                return self._end_in_time()
        return self._connection.read_available(self._read_timeout)

    def _count_late_reads(self, timeout):
        if timeout > 0:
            self._late_reads = None
        elif self._late_reads is None:
            unread = request_body.count_unread_bytes(self._connection.socket)
            reads = -(-unread // LATE_READ_BYTES)
            self._late_reads = reads + FURTHER_LATE_READS
        else:
            self._late_reads = max(0, self._late_reads - 1)

    def _end_in_time(self):
        """End the body, whose time is over, if its content is whole."""
        if self._connection.trailer_seconds_left is None:
            raise errors.EndpointTimeout(
                'no further part of the body came in time'
            )
        self._connection.give_up_trailer()
        return b''
