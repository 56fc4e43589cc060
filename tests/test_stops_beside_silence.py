"""A stop of a VM that runs as a process, while its endpoint is silent."""

import dataclasses
import json
import signal
import threading

import control_processes
import fake_endpoint
import fleet as fleets
import pytest
import relay_builders as builders
import relay_test_fleet

EVENT_COUNT = 29
PACE_SECONDS = 0.1
SILENCE_SECONDS = 1.3
# Pause between two callers.
PERIOD_SECONDS = 0.1
# Callers beyond which the VM counts as one that does not stop.
MAX_CALLERS = int(relay_test_fleet.WAIT_SECONDS / PERIOD_SECONDS)
PATH = f'/captions/paced-{EVENT_COUNT}'


@pytest.fixture
def engine():
    """Yield an engine that is stopped at the end."""
    started = fake_endpoint.FakeEngine('engine-0', 'engines')
    started.pause_seconds = PACE_SECONDS
    yield started
    started.stop()


@dataclasses.dataclass(frozen=True)
class _Stream:
    """A stream that a caller asked for.

    Attributes:
        request_id: its id.
        reply: the ``Reply``.
    """

    request_id: str
    reply: relay_test_fleet.Reply

    @property
    def is_whole(self):
        """Whether its caller has all of it."""
        name = self.request_id
        return self.reply.status == 200 and self.reply.body == b''.join(
            f'id: {number}\ndata: {name}/{number}\n\n'.encode()
            for number in range(1, EVENT_COUNT + 1)
        )


class _Callers:
    """Callers that each ask for one stream on a connection of their own.

    Attributes:
        streams: the ``_Stream`` of each caller.
    """

    def __init__(self, vm):
        host, _, port = vm.fields['listen']['front'].partition(':')
        self.streams = []
        self._address = (host, int(port))
        self._threads = []

    def start_one(self):
        """Start a caller."""
        request_id = f'r-{len(self._threads)}'
        thread = threading.Thread(target=self._ask, args=(request_id,))
        self._threads.append(thread)
        thread.start()

    def join(self):
        """Wait until all have got their answer or none."""
        for thread in self._threads:
            thread.join()

    def _ask(self, request_id):
        host, port = self._address
        headers = relay_test_fleet.caller_headers(
            X_Carobwood_Request_Id=request_id, X_Carobwood_Deadline_Ms='15000'
        )
        reply = relay_test_fleet.ask(
            port, 'POST', PATH, b'prompt', headers, host=host
        )
        self.streams.append(_Stream(request_id, reply))


def _announce(fleet, engine):
    for path, body in (
        ('/v1/config', builders.configuration_fields(1)),
        (f'/v1/instances/{engine.name}', engine.announcement()),
    ):
        host, _, port = (
            fleet.control_vms[0].fields['listen']['control'].partition(':')
        )
        fleets.wait_until(
            lambda body=body, path=path, host=host, port=port: (
                relay_test_fleet.ask(
                    int(port),
                    'PUT',
                    path,
                    json.dumps(body).encode(),
                    host=host,
                ).status
                == 200
            ),
            f'an acknowledgement of {path}',
        )


def _await_whole_stream(vm):
    """Wait until the engine is in use, and then for a whole stream.

    The route's slowest answer is then one that did not wait.
    """
    host, _, port = vm.fields['listen']['front'].partition(':')
    relay_test_fleet.await_reply(
        lambda: relay_test_fleet.ask(
            int(port),
            'POST',
            '/checks/x',
            b'prompt',
            relay_test_fleet.caller_headers(),
            host=host,
        ),
        lambda reply: reply.status == 200,
    )
    callers = _Callers(vm)
    callers.start_one()
    callers.join()
    assert callers.streams[0].is_whole


# A stream that was taken late in a stop was interrupted at its end, as its
# endpoint had been silent for a second.
def test_what_a_stopping_vm_takes_ends_whole_beside_a_silence(
    tmp_path, engine
):
    never_set = threading.Event()
    with control_processes.ProcessFleet(tmp_path, 3) as fleet:
        vm = fleet.entry_vm
        _announce(fleet, engine)
        _await_whole_stream(vm)
        engine.requests.clear()
        engine.on_run = lambda *request: never_set.wait(SILENCE_SECONDS)
        callers = _Callers(vm)
        vm.process.send_signal(signal.SIGTERM)
        for _ in range(MAX_CALLERS):
            if vm.process.poll() is not None:
                break
            callers.start_one()
            never_set.wait(PERIOD_SECONDS)
        assert vm.process.poll() is not None, vm.read_log()[-1]
        callers.join()
    ran = {headers['x-carobwood-request-id'] for headers in engine.requests}
    whole = {
        stream.request_id for stream in callers.streams if stream.is_whole
    }
    refused = {
        stream.request_id
        for stream in callers.streams
        if stream.reply.status == 503
    }
    assert ran and refused
    assert ran - whole == set()
