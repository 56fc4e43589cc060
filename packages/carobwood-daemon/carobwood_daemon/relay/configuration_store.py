"""The parsed configuration in force on this VM."""

import threading
import zlib

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood import listeners


class ConfigurationStore:
    """Follows the replicated state of the fleet for the relay.

    Keeps the configuration parsed and passes the wanted weights on. The
    version of the replicated state never decreases within a process, so
    the configuration is never replaced by an older one.

    Attributes:
        configuration: the ``Configuration`` in force, or None before the
            first one.
        changed_at: monotonic time at which it came into force, or None.
    """

    def __init__(self, store, dialect, weights):
        """Subscribe to the replicated state.

        Args:
            store: the ``StateStore``.
            dialect: the ``Dialect`` that parses configurations.
            weights: the ``EngineWeights``, to which the wanted
                versions are passed.
        """
        self._dialect = dialect
        self._weights = weights
        self._preparations = listeners.Listeners('configuration to come')
        self._listeners = listeners.Listeners('configuration')
        self.configuration = None
        self.changed_at = None
        # Held while a state is parsed and taken over.
        self._lock = threading.RLock()
        self._first_listeners = listeners.Listeners('first configuration')
        self._is_configured = threading.Event()
        store.add_change_listener(self._apply_fleet_state)

    @property
    def failed_listener_calls(self):
        """Number of times that a part could not take over a configuration."""
        return self._preparations.failed_calls + self._listeners.failed_calls

    def add_preparation(self, listener):
        """Call ``listener(configuration)`` before each newer one is in force.

        Requests are admitted under it as soon as it is.
        """
        self._preparations.add(listener)

    def add_change_listener(self, listener):
        """Call ``listener(configuration)`` for each newer configuration."""
        self._listeners.add(listener)

    def on_first_configuration(self, listener):
        """Call ``listener()`` once, after the first configuration."""
        self._first_listeners.add(listener)

    def await_configuration(self, seconds):
        """Wait for the first configuration.

        Args:
            seconds: longest wait.

        Returns:
            The configuration in force, or None if none arrives in time.
        """
        if self.configuration is None:
            self._is_configured.wait(seconds)
        return self.configuration

    def _apply_fleet_state(self, fleet):
        """Take over a fleet's state, unless a newer one has been.

        Several threads receive states, and a large one is parsed for long.
        """
        with self._lock:
            self._take_over(fleet)

    def _take_over(self, fleet):
        self._weights.raise_targets(fleet.weights_by_model)
        stored = fleet.configuration
        if stored.version <= self._current_version():
            return
        try:
            configuration, faults = (
                self._dialect.parse_committed_configuration(
                    zlib.decompress(stored.content_zlib)
                )
            )
        except errors.ConfigurationInvalid as error:
            events.emit(
                events.CONFIGURATION_UNREADABLE,
                version=stored.version,
                faults=error.faults,
            )
            return
        if faults:
            events.emit(
                events.CONFIGURATION_PARTLY_READ,
                version=stored.version,
                faults=faults,
            )
        current_version = self._current_version()
        if stored.version <= current_version:
            return
        self._preparations.notify(configuration)
        self.configuration = configuration
        self.changed_at = clocks.now()
        self._listeners.notify(configuration)
        if not self._is_configured.is_set():
            self._is_configured.set()
            self._first_listeners.notify()
        events.emit(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            before=current_version,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )

    def _current_version(self):
        return self.configuration.version if self.configuration else 0
