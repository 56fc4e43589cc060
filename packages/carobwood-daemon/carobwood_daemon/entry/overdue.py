"""Requests whose engine has not begun to answer for a while."""

import contextlib
import dataclasses
import socket
import threading
import time

from carobwood import events

from ..membership import probe

PERIOD = 0.25
OVERDUE_SECONDS = 1.0
PROBE_TIMEOUT = 1.0
PROBES = 2


@dataclasses.dataclass(eq=False)
class Wait:
    """A request that waits for the head of its answer.

    Attributes:
        endpoint: the engine.
        sock: socket of its connection.
        asked_at: when it began, or when the engine last answered a
            probe, on the monotonic clock.
        is_given_up: whether the connection was closed for it.
    """

    endpoint: object
    sock: object
    asked_at: float
    is_given_up: bool = False

    def give_up(self):
        """Close the connection, which wakes the thread that waits."""
        self.is_given_up = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class OverdueWatch:
    """Asks engines that keep requests waiting whether they live.

    A process that is frozen keeps its connections open, and without a
    question its callers would wait until their deadlines. An engine that
    does not answer twice on new connections loses the requests that wait
    for it; they are tried elsewhere.
    """

    def __init__(self, breakers, clock=time.monotonic):
        self._breakers = breakers
        self._clock = clock
        self._lock = threading.Lock()
        self._waits = set()
        self._probed_ids = set()

    def start(self, timer):
        """Check the waiting requests periodically."""
        timer.subscribe(PERIOD, self._check)

    @contextlib.contextmanager
    def watch(self, endpoint, sock):
        """Watch a request while it waits; yields its ``Wait``."""
        wait = Wait(endpoint, sock, self._clock())
        with self._lock:
            self._waits.add(wait)
        try:
            yield wait
        finally:
            with self._lock:
                self._waits.discard(wait)

    def _check(self):
        for endpoint in self._overdue_endpoints():
            threading.Thread(
                target=self._probe,
                args=(endpoint,),
                name=f'overdue-{endpoint.id}',
                daemon=True,
            ).start()

    def _overdue_endpoints(self):
        limit = self._clock() - OVERDUE_SECONDS
        with self._lock:
            overdue = {
                wait.endpoint.id: wait.endpoint
                for wait in self._waits
                if wait.asked_at < limit
                and wait.endpoint.id not in self._probed_ids
            }
            self._probed_ids |= set(overdue)
        return list(overdue.values())

    def _probe(self, endpoint):
        try:
            is_alive = any(
                probe.is_alive(endpoint, PROBE_TIMEOUT) for _ in range(PROBES)
            )
            self._conclude(endpoint, is_alive)
        finally:
            with self._lock:
                self._probed_ids.discard(endpoint.id)

    def _conclude(self, endpoint, is_alive):
        now = self._clock()
        with self._lock:
            waits = [w for w in self._waits if w.endpoint.id == endpoint.id]
            overdue = [w for w in waits if now - w.asked_at > OVERDUE_SECONDS]
            if is_alive:
                for wait in overdue:
                    wait.asked_at = now
                return
            for wait in overdue:
                wait.give_up()
        self._breakers.note_failure(endpoint, 'overdue')
        events.emit(
            events.ENDPOINT_OVERDUE,
            endpoint=endpoint.id,
            given_up=len(overdue),
        )
