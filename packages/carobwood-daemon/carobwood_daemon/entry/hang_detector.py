"""Detects engines that hang, by health checks while requests wait for them."""

import contextlib
import dataclasses
import socket
import threading
import time

from carobwood import events
from carobwood import threads

from ..membership import probe

CHECK_PERIOD_SECONDS = 0.25
OVERDUE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0
MAX_PROBES = 2


@dataclasses.dataclass(eq=False)
class PendingResponse:
    """A request that waits for the status line of its response.

    Attributes:
        endpoint: the engine.
        sock: socket of its connection.
        last_alive_at: time on the monotonic clock of the start of the wait
            or of the last successful health check, if later.
        keeps_connection: whether the connection stays open if the engine
            hangs, as the request waits for its response and may go on
            elsewhere.
        is_silent: whether the engine failed its last health checks.
        is_aborted: whether the connection was shut down because the
            engine hangs.
    """

    endpoint: object
    sock: object
    last_alive_at: float
    keeps_connection: bool = False
    is_silent: bool = False
    is_aborted: bool = False

    def note_silence(self):
        """Note that the engine hangs.

        Unless the connection is kept, it is shut down, which wakes the
        waiting thread.
        """
        self.is_silent = True
        if self.keeps_connection:
            return
        self.is_aborted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class HangDetector:
    """Checks the health of engines whose responses are overdue.

    A process that hangs keeps its connections open, so that without a
    health check its callers would wait until their deadlines. If an engine
    fails two health checks on new connections, its overdue requests go on
    at other engines. Those that cannot stay, as the engine may be sound and
    only silent for a moment. A connection on which a request or a head has
    come to a halt is shut down.
    """

    def __init__(self, circuit_breakers, clock=time.monotonic):
        self._circuit_breakers = circuit_breakers
        self._clock = clock
        self._lock = threading.Lock()
        self._pending_responses = set()
        self._probed_ids = set()

    def start(self, timer):
        """Check the pending responses periodically.

        Args:
            timer: the ``Timer`` that runs the check.
        """
        timer.subscribe(CHECK_PERIOD_SECONDS, self._probe_overdue_endpoints)

    @contextlib.contextmanager
    def watch(self, endpoint, sock):
        """Watch a request while it waits for its response.

        Args:
            endpoint: the engine.
            sock: socket of the connection to it.

        Yields:
            The ``PendingResponse``.
        """
        pending_response = PendingResponse(endpoint, sock, self._clock())
        with self._lock:
            self._pending_responses.add(pending_response)
        try:
            yield pending_response
        finally:
            with self._lock:
                self._pending_responses.discard(pending_response)

    def _probe_overdue_endpoints(self):
        for endpoint in self._overdue_endpoints():
            threads.BoundedThread(
                target=self._probe,
                args=(endpoint,),
                name=f'overdue-{endpoint.id}',
                daemon=True,
            ).start()

    def _overdue_endpoints(self):
        limit = self._clock() - OVERDUE_SECONDS
        with self._lock:
            overdue = {
                pending_response.endpoint.id: pending_response.endpoint
                for pending_response in self._pending_responses
                if pending_response.last_alive_at < limit
                and pending_response.endpoint.id not in self._probed_ids
            }
            self._probed_ids |= set(overdue)
        return list(overdue.values())

    def _probe(self, endpoint):
        try:
            is_alive = any(
                probe.is_healthy(endpoint, PROBE_TIMEOUT_SECONDS)
                for _ in range(MAX_PROBES)
            )
            self._apply_probe_result(endpoint, is_alive)
        finally:
            with self._lock:
                self._probed_ids.discard(endpoint.id)

    def _apply_probe_result(self, endpoint, is_alive):
        now = self._clock()
        with self._lock:
            pending = [
                p
                for p in self._pending_responses
                if p.endpoint.id == endpoint.id
            ]
            overdue = [
                p for p in pending if now - p.last_alive_at > OVERDUE_SECONDS
            ]
            if is_alive:
                for pending_response in overdue:
                    pending_response.last_alive_at = now
                    pending_response.is_silent = False
                return
            for pending_response in overdue:
                pending_response.note_silence()
        self._circuit_breakers.record_failure(endpoint, 'overdue')
        events.emit(
            events.ENDPOINT_OVERDUE,
            endpoint=endpoint.id,
            given_up=sum(p.is_aborted for p in overdue),
        )
