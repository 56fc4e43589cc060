"""TLS connections of callers, which shake hands in steps.

The bytes of a handshake come when the caller sends them. A worker takes a
step with those that have come; meanwhile the connection is watched like an
idle one, so that a caller that sends nothing takes no thread.
"""

import selectors
import ssl

from cheroot import errors
from cheroot import makefile as cheroot_makefile
from cheroot.ssl import builtin

from carobwood import clocks

from . import stopping_connection


class SteppedSslAdapter(builtin.BuiltinSSLAdapter):
    """Leaves the handshake to the ``TlsConnection``."""

    def wrap(self, sock):
        """Return the socket without a handshake; see ``Adapter``."""
        try:
            wrapped = self.context.wrap_socket(
                sock, do_handshake_on_connect=False, server_side=True
            )
        except OSError as error:
            # The caller has left; cheroot expects this error then.
            raise errors.FatalSSLAlert(*error.args) from error
        return wrapped, {}


class TlsConnection(stopping_connection.StoppingConnection):
    """A connection that begins with a TLS handshake.

    Attributes:
        is_shaking_hands: whether the handshake goes on.
        can_respond: whether it has ended well.
        awaited_event: what its next step waits for.
    """

    is_shaking_hands = True
    can_respond = False

    def __init__(self, server, sock, makefile=cheroot_makefile.MakeFile):
        """See ``cheroot.server.HTTPConnection``."""
        super().__init__(server, sock, makefile)
        self._handshake_ends_at = clocks.now() + server.timeout

    @property
    def has_input(self):
        """Whether bytes have come that are not yet read as a request."""
        return super().has_input or self.has_decrypted_input

    @property
    def has_decrypted_input(self):
        """Whether TLS holds bytes that were read from the socket."""
        return self.socket.pending() > 0

    def communicate(self):
        """Go on with the handshake; serve a request that has come.

        Returns:
            Whether the connection is to be kept.
        """
        if not self.is_shaking_hands:
            return super().communicate()
        self._shake_hands()
        if self.is_shaking_hands:
            return True
        if not self.can_respond:
            return False
        # A stop refuses what has not come.
        awaits_request = self.server.ready and not self.has_input
        return awaits_request or super().communicate()

    def close(self):
        """Close the connection; see ``StoppingConnection``."""
        if self.can_respond:
            super().close()
            return
        if self.is_shaking_hands:
            self.is_shaking_hands = False
            self.note_end()
        self.close_at_once()

    def _shake_hands(self):
        """Take the step for which the bytes have come."""
        self.socket.settimeout(0)
        self.awaited_event = selectors.EVENT_READ
        try:
            if clocks.now() >= self._handshake_ends_at:
                raise TimeoutError('the handshake did not end in time')
            self.socket.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLWantWriteError:
            self.awaited_event = selectors.EVENT_WRITE
            return
        except OSError as error:
            self.is_shaking_hands = False
            self.server.error_log(
                f'TLS handshake with {self.remote_addr}:{self.remote_port} '
                f'failed: {error!r}'
            )
            return
        self.socket.settimeout(self.server.timeout)
        self.ssl_env = self.server.ssl_adapter.get_environ(self.socket)
        self.can_respond = True
        self.is_shaking_hands = False
