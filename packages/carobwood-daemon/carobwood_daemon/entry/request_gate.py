"""Counts and limits the requests in flight, and drains them on shutdown."""

import contextlib
import dataclasses
import threading

from carobwood import clocks
from carobwood import errors


@dataclasses.dataclass(frozen=True, eq=False)
class TrackedRequest:
    """A request in flight with the key that authenticated it.

    Attributes:
        key_digest: digest of the caller's key.
        withdrawn: set if the key is withdrawn during the request.
    """

    key_digest: str
    withdrawn: threading.Event


class RequestGate:
    """Counts and limits the requests in flight of a VM, and drains them."""

    def __init__(self, max_in_flight):
        self._max_in_flight = max_in_flight
        self._changed = threading.Condition()
        self._tracked_requests = set()
        self._in_flight_count = 0
        self._is_stopping = False
        self._is_draining = False
        self._is_interrupted = False
        self._interruptions = set()
        self._ends_at = float('inf')

    @property
    def is_ready(self):
        """Whether the load balancer should send new connections."""
        return not self._is_stopping

    @property
    def is_draining(self):
        """Whether new requests are refused."""
        return self._is_draining

    @property
    def is_interrupted(self):
        """Whether the time for requests in flight has ended."""
        return self._is_interrupted

    @property
    def stage(self):
        """Name of the stage of a stop, for log lines."""
        if self._is_interrupted:
            return 'interrupted'
        if self._is_draining:
            return 'draining'
        return 'stopping' if self._is_stopping else 'serving'

    @property
    def stop_seconds_left(self):
        """Seconds until requests in flight are interrupted."""
        return self._ends_at - clocks.now()

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return self._in_flight_count

    def admit(self):
        """Count a request as in flight.

        Raises:
            Stopping: the VM is draining.
            Saturated: the maximum number of requests is in flight.
        """
        with self._changed:
            if self._is_draining:
                raise errors.Stopping('this VM is shutting down')
            if self._in_flight_count >= self._max_in_flight:
                raise errors.Saturated(
                    'this VM has too many requests in flight'
                )
            self._in_flight_count += 1

    def release(self):
        """Count a request as finished."""
        with self._changed:
            self._in_flight_count -= 1
            self._changed.notify_all()

    @contextlib.contextmanager
    def track(self, key_digest):
        """Register a request by the digest of its key while it runs.

        Yields:
            The ``TrackedRequest``.
        """
        request = TrackedRequest(key_digest, threading.Event())
        with self._changed:
            self._tracked_requests.add(request)
        try:
            yield request
        finally:
            with self._changed:
                self._tracked_requests.discard(request)

    def mark_withdrawn(self, digests):
        """Mark the registered requests whose keys were withdrawn."""
        with self._changed:
            for request in self._tracked_requests:
                if request.key_digest in digests:
                    request.withdrawn.set()

    def mark_not_ready(self, stop_seconds=float('inf')):
        """Report not ready, but continue to accept requests.

        The load balancer needs time to notice that the VM is not ready.

        Args:
            stop_seconds: time until requests in flight are interrupted.
        """
        self._ends_at = clocks.now() + stop_seconds
        self._is_stopping = True

    @contextlib.contextmanager
    def interruptible(self, interrupt):
        """Call a function if the stop's time ends within the context."""
        with self._changed:
            self._interruptions.add(interrupt)
            is_interrupted = self._is_interrupted
        if is_interrupted:
            interrupt()
        try:
            yield
        finally:
            with self._changed:
                self._interruptions.discard(interrupt)

    def interrupt(self):
        """Interrupt the requests in flight, which are then answered."""
        with self._changed:
            self._is_interrupted = True
            interruptions = list(self._interruptions)
        for interrupt in interruptions:
            interrupt()

    def wait_until_idle(self, timeout):
        """Wait until no request is in flight, while accepting new ones.

        Returns:
            Whether no request was in flight within ``timeout`` seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight_count == 0, timeout
            )

    def drain(self, timeout):
        """Refuse new requests and wait for those in flight to finish.

        Returns:
            Whether all have finished within ``timeout`` seconds.
        """
        with self._changed:
            self._is_stopping = True
            self._is_draining = True
            return self._changed.wait_for(
                lambda: self._in_flight_count == 0, timeout
            )
