"""Silences of all endpoints, in which no VM is accepted a connection."""

from concurrent import futures
import contextlib
import socket
import threading

from carobwood import errors
import pytest
import relay_test_fleet

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
DEADLINE_MS = '15000'


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet with one engine and one plain endpoint."""
    fleet = relay_test_fleet.RelayTestFleet(tmp_path, ('v1',))
    fleet.keep_announcing()
    yield fleet
    fleet.stop()


class _FullBacklogs:
    """Has endpoints accept nothing from the first request on."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._endpoints = (fleet.engines[0], fleet.plain_endpoint)
        self._waiting = []
        self.have_begun = threading.Event()
        fleet.engines[0].on_run = self._begin

    def _begin(self, *_request):
        if self.have_begun.is_set():
            return
        for endpoint in self._endpoints:
            server = endpoint._server
            server.shutdown()
            server.socket.listen(0)
            with contextlib.suppress(TimeoutError):
                while True:
                    self._waiting.append(
                        socket.create_connection(server.server_address, 0.2)
                    )
        self.have_begun.set()

    def end(self):
        """Accept connections again."""
        for waiting in self._waiting:
            waiting.close()
        for endpoint in self._endpoints:
            threading.Thread(
                target=endpoint._server.serve_forever, daemon=True
            ).start()


# A request at a silent endpoint was handed to a VM that reached no endpoint
# either, and failed although its endpoint went on.
def test_a_silence_of_all_endpoints_ends_no_request_of_a_vm(fleet):
    backlogs = _FullBacklogs(fleet)
    with futures.ThreadPoolExecutor() as callers:
        asked = callers.submit(
            fleet.fleet.ask,
            '/captions/pause-3500-late-0',
            X_Carobwood_Deadline_Ms=DEADLINE_MS,
        )
        assert backlogs.have_begun.wait(relay_test_fleet.WAIT_SECONDS)
        _connect_in_vain(fleet)
        reply = asked.result()
    backlogs.end()
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 1


def _connect_in_vain(fleet):
    """Have the first entry VM try a connection to each endpoint.

    The other one keeps none from its last requests.
    """
    vm, other_vm = fleet.fleet.vms[len(fleet.fleet.control_ports) :]
    for endpoint in (fleet.engines[0], fleet.plain_endpoint):
        other_vm.pool.close_idle(endpoint.address)
        with pytest.raises(errors.EndpointUnreachable):
            vm.pool.acquire(endpoint.address, False)
    assert vm.reachability.is_cut_off
