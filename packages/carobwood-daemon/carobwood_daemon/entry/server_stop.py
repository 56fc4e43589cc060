"""How a cheroot server and its workers end when it stops."""

import functools
import threading

from cheroot.workers import threadpool

from carobwood import clocks
from carobwood import threads

from . import lingering_close
from . import listener_connections

# Time beyond that for answers in which a server notices the stop; cheroot
# looks for it every 0.5 s.
CLOSE_SECONDS = 0.5
# Period of checking whether callers may still be sending requests.
CHECK_PERIOD_SECONDS = 0.05
# Least time for which an idle connection is kept.
MIN_KEPT_SECONDS = 30.0


class Worker(threads.BoundedStart, threadpool.WorkerThread):
    """A worker whose start does not hold its listener up for ever."""


class WorkerPool(threadpool.ThreadPool):
    """A thread pool whose ``stop`` returns within its timeout.

    The reads of its connections must have been ended before.
    """

    @property
    def is_busy(self):
        """Whether a worker serves a connection."""
        return any(worker.conn is not None for worker in list(self._threads))

    def stop(self, timeout=5):
        """Tell the workers to end; those that still write go on.

        Args:
            timeout: seconds to wait for them.
        """
        stop = functools.partial(super().stop, timeout)
        ending = threads.StepThread(stop, 'workers-stop')
        ending.start()
        ending.join(timeout)

    def _spawn_worker(self):
        """Start a worker and return it; see ``ThreadPool``."""
        worker = Worker(self.server)
        worker.name = f'CP Server {worker.name}'
        worker.start()
        return worker

    @staticmethod
    def _force_close(conn):
        """Leave a connection as it is; see ``ThreadPool``.

        To end its reads would look as if the caller had left.
        """


class StoppingServer:
    """Base of a cheroot server whose requests are ``StoppingRequest``.

    Attributes:
        idle_seconds: time for which an idle connection is kept.
        head_seconds: time within which the head of a request must end, or
            None for the timeout of connections.
        lingering_closes: the ``LingeringCloses``, once it is prepared.
    """

    idle_seconds = MIN_KEPT_SECONDS
    head_seconds = None

    def prepare(self):
        """Bind the listener; see ``HTTPServer``."""
        super().prepare()
        self._connections.close()
        self._connections = listener_connections.ListenerConnections(self)
        self.lingering_closes = lingering_close.LingeringCloses()

    def serve(self):
        """Serve until the stop; see ``HTTPServer``.

        cheroot would start another thread first, for connections beyond the
        queue of the workers, which has no bound here.
        """
        threads.repeat(self._serve_next)

    def _serve_next(self):
        if self.ready:
            self._connections.run(self.expiration_interval)
        return self.ready

    def put_conn(self, conn):
        """Watch a connection that a worker gives back; see ``HTTPServer``."""
        if self.ready or not self._connections.last_handshakes.add(conn):
            super().put_conn(conn)

    @property
    def can_add_keepalive_connection(self):
        """Return True, as the requests decide; see ``HTTPServer``.

        cheroot would close a connection on which the next request has come.
        """
        return True

    @property
    def has_room(self):
        """Whether a connection may be kept for requests to come."""
        return super().can_add_keepalive_connection

    @property
    def awaits_requests(self):
        """Whether a connection is served, or was kept a moment ago."""
        return self.requests.is_busy or self._connections.awaits_requests


def stop_together(servers, ends_at, least_seconds):
    """Stop listeners side by side, as each takes part of a second.

    Their connections are closed once no caller may be sending a request on
    one that was kept a moment ago.

    Args:
        servers: the listeners.
        ends_at: monotonic time until which answers may still be given.
        least_seconds: time for them if that has passed.
    """
    _await_last_requests(servers, ends_at)
    seconds = max(least_seconds, ends_at - clocks.now())
    stops = [threads.StepThread(server.stop, 'stop') for server in servers]
    for server in servers:
        server.set_stop_seconds(seconds)
    closed_at = clocks.now() + seconds + CLOSE_SECONDS
    for stop in stops:
        stop.start()
    for stop in stops:
        # Bounded, as a server answers what has come last before it closes.
        stop.join(max(0.0, closed_at - clocks.now()))


def _await_last_requests(servers, ends_at):
    """Go on reading while callers may be sending requests, in bounds."""
    last_at = clocks.now() + listener_connections.MIN_IDLE_SECONDS
    last_at = min(last_at, ends_at)
    never_set = threading.Event()
    while clocks.now() < last_at:
        if not any(server.awaits_requests for server in servers):
            return
        never_set.wait(CHECK_PERIOD_SECONDS)
