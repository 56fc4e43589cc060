"""Tells a stop that waits for a further request from one that closes."""

import re
import select

from carobwood_daemon.entry import listener_connections
import relay_test_fleet

# Looks of a stop at its connections that find one to wait for.
LOOKS = 2


class WaitingStops:
    """Stops of the listeners of this process, and what they wait for."""

    def __init__(self, monkeypatch):
        """Watch the stops until the end of a test."""
        self._wait_count = 0
        awaits = listener_connections.ListenerConnections.awaits_requests.fget

        def look(connections):
            is_awaiting = awaits(connections)
            self._wait_count += is_awaiting
            return is_awaiting

        monkeypatch.setattr(
            listener_connections.ListenerConnections,
            'awaits_requests',
            property(look),
        )

    def ask(self, client, request, stopping):
        """Send a request once a stop waits for it.

        Args:
            client: a caller's connection, all answers read.
            request: bytes of the request.
            stopping: the thread of the stop.

        Returns:
            All that comes to the end.

        Raises:
            AssertionError: the stop has closed or refused before.
        """
        count = self._wait_count + LOOKS
        relay_test_fleet.await_reply(
            lambda: (
                self._wait_count >= count
                or _has_input(client)
                or not stopping.is_alive()
            ),
            bool,
        )
        assert not _has_input(client), 'the stop did not wait'
        client.sendall(request)
        with client.makefile('rb') as answers:
            return answers.read()


def read_body(client, head):
    """Read the body of an answer whose head has been read."""
    length = int(re.search(rb'content-length: (\d+)', head.lower())[1])
    while length:
        data = client.recv(length)
        assert data, 'the connection ended within the answer'
        length -= len(data)


def _has_input(client):
    poller = select.poll()
    poller.register(client, select.POLLIN)
    return bool(poller.poll(0))
