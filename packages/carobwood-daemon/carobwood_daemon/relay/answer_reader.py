"""Reads the body of a response until its end, a timeout or a caller that left.

An endpoint that sends without end always has bytes to read, and one that
sends a byte now and then resets the timeout of each read. Both the time and
the caller are therefore looked at before each read.
"""

from carobwood import errors

from . import endpoint_connections


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
        self._is_overdue = False

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
                then is still read, once, as this VM may have been held up.

        Returns:
            Bytes of the body; they may be none before its end.

        Raises:
            CallerLeft: the caller disconnected.
            EndpointFailed: the body is truncated or malformed.
            EndpointTimeout: the body did not go on in time.
        """
        if timeout <= 0 and self._is_overdue:
            raise _make_timeout()
        self._is_overdue = timeout <= 0
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
                if trailer_seconds is None:
                    raise _make_timeout()
                self._connection.give_up_trailer()
                return b''
        return self._connection.read_available(self._read_timeout)


def _make_timeout():
    return errors.EndpointTimeout('no further part of the body came in time')
