"""Connections that answer what has arrived on them when their listener stops.

A listener that stops closes its connections. What has come on them by then is
answered, and what is half read then is refused as not run. So is what may be
on its way: nothing of it is read any more, and a caller that has sent it takes
the refusal for its answer.
"""

import selectors

from cheroot import server as cheroot_server

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
            self.conn.log_refusal()
            self.refuse_unread()

    def _is_awaited_at_stop(self):
        """Whether the reads ended before the first byte of a connection."""
        is_new = not self.conn.rfile.received_bytes
        return is_new and self.server.request_reads.is_ended

    def refuse_unread(self):
        """Refuse a request that may be on its way, and is not read."""
        self.simple_response(
            '503 Service Unavailable',
            errors.Stopping('this VM is shutting down'),
        )

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
        lingers: whether its descriptor may be kept for a moment once it has
            been closed at a stop.
        is_shaking_hands: whether a TLS handshake goes on.
        has_decrypted_input: whether TLS holds bytes that were read from the
            socket.
        awaited_event: the ``selectors`` event that it is watched for.
    """

    RequestHandlerClass = StoppingRequest

    last_request_id = ''
    lingers = True
    is_shaking_hands = False
    has_decrypted_input = False
    awaited_event = selectors.EVENT_READ

    _is_refused = False
    _is_ended = False
    _is_kept = True

    @property
    def is_kept(self):
        """Whether another request may follow."""
        return self._is_kept

    def communicate(self):
        """Serve a request, and at a stop those that have come behind it."""
        self._communicate_once()
        while self._is_kept and self._has_input_at_stop():
            self._communicate_once()
        return self._is_kept

    def _communicate_once(self):
        # After a fault within, neither a request nor an answer may follow.
        self._is_kept = False
        self._is_kept = super().communicate()

    def _has_input_at_stop(self):
        return not self.server.ready and self.has_input

    def log_refusal(self):
        """Log that the first request is refused before a byte has come."""
        events.emit(
            events.CONNECTION_REFUSED, peer=connection_log.peer_of(self)
        )

    def close(self):
        """Answer what has arrived if the listener stops, and close.

        Nothing is raised: on the thread that stops the server it would end
        the stop, and on a worker the listener.
        """
        _log_fault(self._end)
        _log_fault(self._close_after_end)

    def note_end(self):
        """Log a connection on which a request may get no answer.

        Returns:
            The ``ConnectionEnd``.
        """
        end = connection_log.describe_end(self, not self.server.ready)
        self.server.connection_log.note(end)
        return end

    def close_at_once(self):
        """Close the connection, whatever may still come."""
        # ``StrictConnection`` would wait for it.
        cheroot_server.HTTPConnection.close(self)

    def _close_after_end(self):
        if not self._is_refused:
            super().close()
        elif self.lingers:
            self.server.lingering_closes.add(self)
        else:
            self.close_at_once()

    def _end(self):
        if self._is_ended:
            return
        self._is_ended = True
        if self._is_kept and not self.server.ready:
            self._answer_last()
        end = self.note_end()
        if end.cause == 'stop' and end.may_cross_request:
            self._refuse_next()

    def _answer_last(self):
        """Answer what has come, or refuse the first request unread."""
        if self.has_input:
            # Nothing is waited for: the listener has ended its reads.
            self.communicate()
        elif not self.rfile.received_bytes:
            self.log_refusal()
            self._refuse_next()

    def _refuse_next(self):
        """Refuse the next request, which may be on its way."""
        self._is_kept = False
        self._is_refused = True
        # A caller that does not read must not hold the stop up.
        self.socket.settimeout(0)
        self.RequestHandlerClass(self.server, self).refuse_unread()


def _log_fault(step):
    """Take a step of a connection's end; log what fails in it."""
    try:
        step()
    except Exception as error:
        events.emit(events.REQUEST_CRASHED, error=repr(error))
