"""The configuration and the weights in force on this VM."""

import threading
import zlib

from carobwood import errors
from carobwood import events


class RelayState:
    """Follows the fleet's state and keeps what the relay needs parsed.

    The fleet's state never goes back within a process, and neither does
    what is kept here.
    """

    def __init__(self, store, dialect, weights):
        self._dialect = dialect
        self._weights = weights
        self._listeners = []
        self.configuration = None
        self._first_listeners = []
        self._is_configured = threading.Event()
        store.on_change(self._adopt)

    def on_change(self, listener):
        """Call ``listener(configuration)`` after each newer one."""
        self._listeners.append(listener)

    def on_first(self, listener):
        """Call ``listener()`` after the first configuration."""
        self._first_listeners.append(listener)

    def await_configuration(self, seconds):
        """Return the configuration, or None if none comes in time."""
        if self.configuration is None:
            self._is_configured.wait(seconds)
        return self.configuration

    def _adopt(self, fleet):
        self._weights.note_wanted(fleet.weights_by_model)
        held = fleet.configuration
        known = self.configuration.version if self.configuration else 0
        if held.version <= known:
            return
        try:
            configuration = self._dialect.parse_configuration(
                zlib.decompress(held.content_zlib)
            )
        except errors.ConfigurationInvalid as error:
            events.emit(
                events.CONFIGURATION_UNREADABLE,
                version=held.version,
                faults=error.faults,
            )
            return
        self.configuration = configuration
        for listener in self._listeners:
            listener(configuration)
        self._is_configured.set()
        while self._first_listeners:
            self._first_listeners.pop()()
        events.emit(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=known,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
