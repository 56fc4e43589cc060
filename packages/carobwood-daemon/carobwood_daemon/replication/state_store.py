"""This VM's copy of the fleet's state."""

import collections
import threading

import msgspec

from carobwood import clocks
from carobwood import listeners

from . import commands
from . import fleet_state
from . import stored_values

# Commands kept to update other VMs that are slightly behind.
MAX_DELTAS = 1000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(fleet_state.FleetState)


class StateStore:
    """Holds the newest known fleet state and the commands up to it.

    The state comes from this VM's replica or from another VM. A state
    that is not newer than the current one is ignored.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._fleet = fleet_state.FleetState()
        self._deltas = collections.deque()
        self._deltas_base_version = 0
        self._leader_contact_at = None
        self._listeners = listeners.Listeners('fleet state')

    @property
    def fleet(self):
        """The current ``FleetState``."""
        return self._fleet

    @property
    def version(self):
        """Version of the current state."""
        return self._fleet.version

    @property
    def failed_listener_calls(self):
        """Number of times that a part could not take over a new state."""
        return self._listeners.failed_calls

    def add_change_listener(self, listener):
        """Call ``listener(fleet)`` whenever the state is replaced."""
        self._listeners.add(listener)

    def update(self, fleet, deltas):
        """Replace the current state by a newer one.

        Args:
            fleet: the ``FleetState``; it is ignored if it is not newer.
            deltas: (version, encoded command) pairs that lead from an
                earlier state to it; empty if it came as a snapshot.

        Returns:
            Whether the state was replaced.
        """
        with self._changed:
            if fleet.version <= self._fleet.version:
                return False
            newer_deltas = [d for d in deltas if d[0] > self._fleet.version]
            if newer_deltas:
                self._deltas.extend(newer_deltas)
                self._trim_deltas()
            else:
                self._deltas.clear()
                self._deltas_base_version = fleet.version
            self._fleet = fleet
            self._changed.notify_all()
        self._listeners.notify(fleet)
        return True

    def update_by_deltas(self, deltas):
        """Apply (version, encoded command) pairs from another VM.

        Returns:
            Whether the state was replaced.
        """
        with self._changed:
            fleet = self._fleet
            for version, payload in deltas:
                if version > fleet.version:
                    command = commands.decode_command(payload)
                    fleet, _ = fleet.apply(version, command)
            return self.update(fleet, deltas)

    def update_by_snapshot(self, data):
        """Replace the current state by an encoded one if that is newer.

        Returns:
            Whether the state was replaced.

        Raises:
            LogDamaged: it cannot be decoded.
        """
        with stored_values.decoding('the snapshot of another VM'):
            fleet = _decoder.decode(data)
        return self.update(fleet, ())

    def snapshot(self):
        """Return the encoded current state."""
        return _encoder.encode(self._fleet)

    def deltas_after(self, version):
        """Return the (version, encoded command) pairs after a version.

        Returns None if some of them have been dropped.
        """
        with self._changed:
            if version < self._deltas_base_version:
                return None
            return [delta for delta in self._deltas if delta[0] > version]

    def wait_for_newer(self, version, timeout):
        """Wait until the state is newer than a version.

        Args:
            version: the version to exceed.
            timeout: seconds to wait.

        Returns:
            The current version, which is not newer after a timeout.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._fleet.version > version, timeout
            )
            return self._fleet.version

    def record_contact(self, age):
        """Record that a leader was known to be alive ``age`` seconds ago."""
        with self._changed:
            contact_at = clocks.now() - age
            if (
                self._leader_contact_at is None
                or contact_at > self._leader_contact_at
            ):
                self._leader_contact_at = contact_at

    def contact_age(self):
        """Return the seconds since a leader was last known to be alive.

        It is infinite before the first contact.
        """
        with self._changed:
            if self._leader_contact_at is None:
                return float('inf')
            return clocks.now() - self._leader_contact_at

    def _trim_deltas(self):
        while len(self._deltas) > MAX_DELTAS:
            self._deltas_base_version = self._deltas.popleft()[0]
