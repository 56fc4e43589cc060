"""The stop of a VM of the relay, within the stop time of its settings."""

import threading

from carobwood import clocks
from carobwood import events
from carobwood import threads

from .entry import server_stop
from .relay import http_server

# Part of the stop time that is reserved for closing servers and threads after
# the requests have finished.
CLOSE_RESERVE_SECONDS = 1.0
# Part of the stop time in which requests that have not finished are answered.
ANSWER_RESERVE_SECONDS = 0.25
# Longest time for which late requests are still accepted after the balancer
# has taken this VM out. Requests accepted later might outlast the stop.
LATE_REQUEST_SECONDS = 0.4


class RelayStop:
    """Drains the requests in flight and closes the parts of a VM."""

    def __init__(
        self, settings, gate, servers, replica_runner, data_folder, close
    ):
        """Prepare the stop.

        Args:
            settings: the ``RelaySettings``.
            gate: the ``RequestGate``.
            servers: the ``HttpServer`` objects.
            replica_runner: the ``ReplicaRunner``, or None.
            data_folder: the ``DataFolder``, or None.
            close: closes all other parts; called with the time by
                ``clocks.now`` until which traces may be exported.
        """
        self._settings = settings
        self._gate = gate
        self._servers = servers
        self._replica_runner = replica_runner
        self._data_folder = data_folder
        self._close = close

    def run(self, asked_at=None):
        """Stop the VM; see ``RelayVm.stop``."""
        started_at = clocks.now()
        asked_at = started_at if asked_at is None else asked_at
        events.emit(
            events.DAEMON_STOPPING,
            vm=self._settings.vm_id,
            late=round(started_at - asked_at, 3),
            allowed=self._settings.fleet_limits.shutdown_seconds,
        )
        ends_at = asked_at + self._settings.fleet_limits.shutdown_seconds
        ends_at -= CLOSE_RESERVE_SECONDS + ANSWER_RESERVE_SECONDS
        self._gate.mark_not_ready(max(0.0, ends_at - started_at))
        replica_stop = self._start_replica_stop()
        self._wait_for_balancer(asked_at)
        drained = self._drain(ends_at)
        # A disk that hangs may hold it up beyond the time of the stop.
        replica_stop.join(max(0.0, ends_at - clocks.now()))
        server_stop.stop_together(
            self._servers, ends_at, http_server.MIN_ANSWER_SECONDS
        )
        self._close(ends_at + CLOSE_RESERVE_SECONDS / 2)
        if self._data_folder is not None and not replica_stop.is_alive():
            self._data_folder.close()
        events.emit(
            events.DAEMON_STOPPED,
            vm=self._settings.vm_id,
            seconds=round(clocks.now() - asked_at, 3),
            drained=drained,
        )
        return drained

    def _wait_for_balancer(self, asked_at):
        """Go on serving until the balancer has noticed the stop."""
        if self._settings.caller_listen is not None:
            served_until = asked_at + self._settings.balancer_delay_seconds
            threading.Event().wait(max(0.0, served_until - clocks.now()))

    def _drain(self, ends_at):
        """Wait for the requests in flight, and end those that take longer.

        Returns:
            Whether all of them have finished.
        """
        self._gate.wait_until_idle(LATE_REQUEST_SECONDS)
        drained = self._gate.drain(max(0.0, ends_at - clocks.now()))
        if not drained:
            events.emit(events.DRAIN_TIMED_OUT, in_flight=self._gate.in_flight)
            # What is still in flight gets an answer that says what is known.
            self._gate.interrupt()
            for server in self._servers:
                server.end_reads()
            self._gate.wait_until_idle(ANSWER_RESERVE_SECONDS)
        return drained

    def _start_replica_stop(self):
        """Stop the replica, if there is one, beside the drain."""
        stop = threads.StepThread(self._stop_replica, 'replica-stop')
        stop.start()
        return stop

    def _stop_replica(self):
        if self._replica_runner is not None:
            self._replica_runner.stop()
