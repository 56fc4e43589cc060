"""An HTTP server on cheroot, the server that CherryPy is built on.

Relayed requests are opaque, so that CherryPy's application layer is not
used. Worker threads are started on demand and kept until the server stops.
"""

import threading

from cheroot import server as cheroot_server

from carobwood import events

from ..entry import connection_log
from ..entry import request_reads
from ..entry import server_stop
from ..entry import stopping_connection
from ..entry import strict_request
from ..limits import buffer_budget

# Worker threads that are started with the server.
MIN_THREADS = 2
# Connections that the kernel queues until they are accepted.
BACKLOG = 512
# Timeout of each read from and write to a client connection.
SOCKET_TIMEOUT_SECONDS = 30.0
# Largest head and body of a request until others are set.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# Least time for the answers that are still being given at a stop.
MIN_ANSWER_SECONDS = 0.5


class RelayHeaderReader(strict_request.StrictHeaderReader):
    """A strict header reader that keeps cookies, which are forwarded."""

    keeps_cookies = True


class RelayRequest(stopping_connection.StoppingRequest):
    """A strictly parsed request that keeps cookies."""

    header_reader = RelayHeaderReader()


class RelayConnection(stopping_connection.StoppingConnection):
    """A connection whose requests are ``RelayRequest``."""

    RequestHandlerClass = RelayRequest


class DynamicThreadPool(server_stop.WorkerPool):
    """A thread pool that starts a worker when no idle one is left."""

    def __init__(self, server, min_threads, max_threads):
        """See ``ThreadPool``."""
        super().__init__(server, min_threads, max_threads)
        self._counting = threading.Lock()
        # Number of workers that ask for a connection, less that of the
        # connections that no worker has asked for yet. A worker that has just
        # taken one looks idle to cheroot.
        self._free_count = 0
        # ``ThreadPool`` sets it so, too.
        self.get = self._take

    def _take(self):
        """Wait for a connection to serve, and return it."""
        with self._counting:
            self._free_count += 1
        return self._queue.get()

    def put(self, connection):
        """Queue a connection, and start a worker if none is idle for it."""
        with self._counting:
            self._free_count -= 1
            needs_worker = self._free_count < 0
        super().put(connection)
        if needs_worker:
            self._start_worker()

    def grow(self, amount):
        """Start workers up to the limit, without waiting for them.

        Args:
            amount: number of workers to start.
        """
        budget = min(amount, self.max - len(self._threads))
        for _ in range(max(0, budget)):
            self._threads.append(self._spawn_worker())

    def _start_worker(self):
        try:
            self.grow(1)
        except (RuntimeError, MemoryError) as error:
            # The connection is served when another worker is idle.
            events.emit(events.WORKER_REFUSED, error=repr(error))


class _Server(server_stop.StoppingServer, cheroot_server.HTTPServer):
    """The server of a listener."""


class HttpServer:
    """An HTTP listener whose requests are handled by a gateway."""

    def __init__(
        self, address, gateway, max_threads, describe_vm=dict, buffers=None
    ):
        """Bind the listener.

        Args:
            address: the ``Address`` to bind.
            gateway: called with the ``cheroot.server.HTTPRequest``; returns
                an object whose ``respond()`` handles it.
            max_threads: limit of worker threads, and so of the requests
                that are handled at once.
            describe_vm: function without arguments that returns fields of
                log lines that tell what this VM is doing.
            buffers: the ``BufferBudget`` for the bodies of requests, or None.
        """
        self._server = _Server(
            (address.host, address.port), gateway, minthreads=MIN_THREADS
        )
        self._server.requests = DynamicThreadPool(
            self._server, MIN_THREADS, max_threads
        )
        self._server.ConnectionClass = RelayConnection
        self._server.request_queue_size = BACKLOG
        self._server.timeout = SOCKET_TIMEOUT_SECONDS
        self._server.shutdown_timeout = MIN_ANSWER_SECONDS
        # No limit: cheroot would close connections beyond one after their
        # response instead of keeping them open for the next request.
        self._server.keep_alive_conn_limit = None
        self._server.error_log = _log_error
        self._connection_log = connection_log.ConnectionLog(describe_vm)
        self._server.connection_log = self._connection_log
        self._server.buffers = buffers or buffer_budget.unlimited()
        self._server.request_reads = request_reads.RequestReads()
        self.set_limits(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='http-server', daemon=True
        )

    def set_limits(self, header_bytes, body_bytes):
        """Set the size limits of requests.

        Args:
            header_bytes: largest head of a request.
            body_bytes: largest body of a request that is read; one of
                a byte is read in any case.
        """
        # For cheroot, 0 is no limit.
        self._server.max_request_header_size = max(1, header_bytes)
        self._server.max_request_body_size = max(1, body_bytes)

    def set_head_seconds(self, seconds):
        """Set the time within which the head of a request must come.

        Args:
            seconds: the time, or 0 for the timeout of connections.
        """
        self._server.head_seconds = seconds or None

    def set_idle_seconds(self, seconds):
        """Set the time for which an idle connection is kept at least."""
        self._server.idle_seconds = max(server_stop.MIN_KEPT_SECONDS, seconds)

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._server.bind_addr[1]

    def start(self):
        """Start serving."""
        self._thread.start()

    @property
    def awaits_requests(self):
        """Whether a caller may be sending a request on a connection."""
        return self._server.awaits_requests

    def set_stop_seconds(self, seconds):
        """Set the time of ``stop`` for the answers still being given."""
        self._server.shutdown_timeout = seconds

    def end_reads(self):
        """Wait no longer for requests that have not arrived in full."""
        self._server.request_reads.end()

    def stop(self):
        """Close the listener and its connections."""
        self.end_reads()
        self._server.stop()
        self._connection_log.note_stopped(self.port)


def _log_error(msg='', level=0, traceback=False):
    """Log an error; replaces ``cheroot.server.HTTPServer.error_log``."""
    events.emit(events.CONNECTION_FAILED, error=str(msg)[:500])
