"""Connections that answer what has arrived on them when their listener stops.

A listener that stops closes its connections. What has come on them by then is
answered, and what is half read then is refused as not run, as is the request
for which a connection was opened and of which nothing has come.
"""

from carobwood import errors
from carobwood import events

from . import connection_log
from . import strict_request


class StoppingRequest(strict_request.StrictRequest):
    """A request whose reads end when its listener stops."""

    def parse_request(self):
        """Read the head; see ``StrictRequest``."""
        with self.server.request_reads.track(self.conn):
            super().parse_request()
        if self._is_awaited_at_stop():
            self._refuse_unread()

    def _is_awaited_at_stop(self):
        """Whether the reads ended before the first byte of a connection."""
        is_new = not self.conn.rfile.received_bytes
        return is_new and self.server.request_reads.is_ended

    def _refuse_unread(self):
        """Refuse the request for which the connection was opened.

        It may be on its way, and is not read any more.
        """
        events.emit(
            events.CONNECTION_REFUSED, peer=connection_log.peer_of(self.conn)
        )
        self.simple_response('503 Service Unavailable')

    def send_headers(self):
        """Send the head of the response; see ``StrictRequest``."""
        with self.server.request_reads.track(self.conn):
            super().send_headers()

    def simple_response(self, status, msg=''):
        """Refuse a request; see ``StrictRequest``."""
        is_fault = str(status).startswith('500')
        if self.server.request_reads.is_ended and not is_fault:
            msg = errors.Stopping('this VM is shutting down')
        super().simple_response(status, msg)


class StoppingConnection(strict_request.StrictConnection):
    """A connection whose requests are of class ``StoppingRequest``.

    Attributes:
        last_request_id: id of the request that was read last, or empty.
    """

    RequestHandlerClass = StoppingRequest

    last_request_id = ''

    _is_ended = False
    _is_kept = True

    @property
    def is_kept(self):
        """Whether another request may follow."""
        return self._is_kept

    def communicate(self):
        """Serve a request, and at a stop those that have come behind it."""
        self._is_kept = super().communicate()
        while self._is_kept and self._has_input_at_stop():
            self._is_kept = super().communicate()
        return self._is_kept

    def _has_input_at_stop(self):
        return not self.server.ready and self.has_input

    def _is_answered_at_stop(self):
        """Whether a request has come, or the first one may be on its way."""
        is_new = not self.rfile.received_bytes
        return not self.server.ready and (is_new or self.has_input)

    def close(self):
        """Answer what has arrived if the listener stops, and close."""
        try:
            self._end()
        except Exception as error:
            # cheroot closes idle connections on the thread that stops the
            # server; an exception would end the stop there.
            events.emit(events.REQUEST_CRASHED, error=repr(error))
        finally:
            super().close()

    def note_end(self):
        """Log a connection on which a request may get no answer."""
        self.server.connection_log.note(
            connection_log.describe_end(self, not self.server.ready)
        )

    def _end(self):
        if self._is_ended:
            return
        self._is_ended = True
        # Nothing is waited for: the listener has ended its reads.
        if self._is_kept and self._is_answered_at_stop():
            self.communicate()
        self.note_end()
