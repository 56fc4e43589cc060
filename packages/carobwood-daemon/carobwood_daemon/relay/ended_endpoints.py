"""Which endpoints have ended, as another instance answers at their address.

Load pattern: the host of an endpoint loses power with dozens of streams in
flight, and runs another instance a second later, while no control VM is there
to tell of it. Nothing closes the connections of the streams, which cannot go
on; their callers would wait until they leave.

Only the answer of another instance counts. An endpoint that accepts no
connection may go on with those that it has: its backlog is full, or it is
partitioned from this VM in a way that refuses new ones only.
"""

import collections
import threading

from carobwood import events

from ..entry import liveness
from ..entry import silence

# Ended endpoints that are remembered.
MAX_ENDED = 1024


class EndedEndpoints:
    """Asks silent endpoints who they are, and remembers which have ended."""

    def __init__(self, dialect, directory, **options):
        """Create the table.

        Args:
            dialect: the ``Dialect``, through which endpoints are asked.
            directory: the ``Directory``, which drops those that have ended.
            **options: further arguments of ``LivenessChecks``.
        """
        self._dialect = dialect
        self._directory = directory
        self._checks = liveness.LivenessChecks(self._ask, **options)
        self._lock = threading.Lock()
        # ``Endpoint.instance`` as keys, oldest first.
        self._ended = collections.OrderedDict()

    def has_ended(self, endpoint, service):
        """Tell whether an endpoint is known to have ended.

        Unless it is, it is asked who it is. The answer is not awaited: it
        counts for the next call.

        Args:
            endpoint: the ``Endpoint``.
            service: the ``Service`` that it belongs to, or None if the
                configuration does not name it.
        """
        if self._is_leaving(endpoint):
            return False
        with self._lock:
            if endpoint.instance in self._ended:
                return True
        if service is not None and service.health_path:
            self._checks.check(endpoint, service)
        return False

    def note_answer(self, endpoint, instance_id):
        """Record which instance has answered at an endpoint's address.

        Args:
            endpoint: the ``Endpoint``.
            instance_id: id that the answer names, or empty.
        """
        if instance_id in ('', endpoint.id) or self._is_leaving(endpoint):
            return
        if self._add(endpoint):
            events.emit(
                events.ENDPOINT_REPLACED,
                endpoint=endpoint.id,
                incarnation=endpoint.incarnation,
                found=instance_id,
            )
        # A late announcement may have brought it back.
        self._directory.drop_replaced(endpoint, instance_id)

    def note_own_answer(self, endpoint):
        """Record that an endpoint itself has answered a request."""
        with self._lock:
            self._ended.pop(endpoint.instance, None)

    def _is_leaving(self, endpoint):
        """Tell whether an endpoint has announced that it leaves.

        It may go on with what it has while the next one listens already.
        """
        known = self._directory.find_endpoint(endpoint.id)
        return (
            known is not None
            and known.instance == endpoint.instance
            and known.leaving
        )

    def _add(self, endpoint):
        """Remember that an endpoint has ended; return whether that is new."""
        with self._lock:
            is_new = endpoint.instance not in self._ended
            self._ended[endpoint.instance] = True
            while len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
        return is_new

    def _ask(self, endpoint, service):
        instance_id = self._dialect.read_instance_id(
            endpoint.address,
            endpoint.id,
            service.health_path,
            silence.TRIAL_SECONDS,
        )
        self.note_answer(endpoint, instance_id)
        return True
