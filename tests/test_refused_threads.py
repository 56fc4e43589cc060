"""Starts and stops of VMs whose process gets no more threads."""

import contextlib
import http.client
import threading

import pytest
import relay_test_fleet

from carobwood import addresses
from carobwood import threads
from carobwood_daemon.entry import listener
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server

ANSWER_TIMEOUT_SECONDS = 10.0


def _refuse(thread):
    raise RuntimeError("can't start new thread")


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own with two entry VMs."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


# A stop ended with an exception at the first thread that the system refused:
# the process neither drained nor ended, and was killed with its requests.
@pytest.mark.parametrize('number', (0, 3))
def test_a_vm_stops_although_the_system_refuses_threads(
    fleet, monkeypatch, number
):
    vm = fleet.fleet.vms[number]
    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, 'start', _refuse)
        assert vm.stop()
    ports = fleet.fleet.control_ports + fleet.fleet.entry_ports
    reply = relay_test_fleet.ask(ports[number], 'GET', '/v1/config')
    assert reply.status == 0


def _make_http_server(address):
    response = gateway.ApiResponse(200, 'OK', b'answer')
    api = gateway.make_api_gateway(lambda request: response)
    return http_server.HttpServer(address, api, 2)


def _make_listener(address):
    return listener.Listener(address, lambda: b'answer', 2)


# The thread of a listener ended as it was refused another one. The VM lived
# on, said that it was ready, and answered nobody.
@pytest.mark.parametrize('make_server', (_make_http_server, _make_listener))
def test_a_listener_serves_with_the_threads_that_it_has(
    monkeypatch, make_server
):
    server = make_server(addresses.Address('127.0.0.1', 0))
    start = threading.Thread.start

    def start_from_here(thread):
        if threading.current_thread() is not threading.main_thread():
            _refuse(thread)
        start(thread)

    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, 'start', start_from_here)
        server.start()
        reply = relay_test_fleet.ask(
            server.port, 'GET', '/', timeout=ANSWER_TIMEOUT_SECONDS
        )
    server.stop()
    assert (reply.status, reply.body) == (200, b'answer')


def _ask(port, path, stack):
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=ANSWER_TIMEOUT_SECONDS
    )
    stack.callback(connection.close)
    connection.request('GET', path)
    return connection


# A new worker ended for want of memory before it had begun. The listener
# waited for it for ever, and the VM, which said that it was ready, answered
# nobody any more.
def test_a_listener_goes_on_beside_a_thread_that_never_begins(monkeypatch):
    released = threading.Event()

    def answer(request):
        if request.path == '/held':
            released.wait(ANSWER_TIMEOUT_SECONDS)
        return gateway.ApiResponse(200, 'OK', b'answer')

    server = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0), gateway.make_api_gateway(answer), 8
    )
    server.start()
    with contextlib.ExitStack() as stack:
        held = [
            _ask(server.port, '/held', stack)
            for _ in range(http_server.MIN_THREADS)
        ]
        with monkeypatch.context() as patch:
            patch.setattr(threading, '_start_new_thread', lambda *_: 0)
            waiting = _ask(server.port, '/now', stack)
            released.set()
            asked = [*held, waiting, _ask(server.port, '/now', stack)]
            answers = [x.getresponse().read() for x in asked]
    server.stop()
    assert answers == [b'answer'] * len(asked)


def test_a_step_is_taken_once_although_its_thread_never_begins(monkeypatch):
    steps = []
    step = threads.StepThread(lambda: steps.append(1), 'step')
    monkeypatch.setattr(threading, '_start_new_thread', lambda *_: 0)
    step.start()
    step.join()
    step.run()
    assert steps == [1]
