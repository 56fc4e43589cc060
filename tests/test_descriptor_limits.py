"""Listeners of a process that has used up its descriptors."""

import contextlib
import http.client
import json
import pathlib
import subprocess
import sys

from carobwood import addresses
from carobwood_daemon.entry import listener_connections
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server
import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Descriptors of the process of a listener.
LIMIT = 64
# More connections than it can accept.
CONNECTIONS = 2 * LIMIT
TIMEOUT_SECONDS = 20.0
# Serves until its input ends; then it stops. A request for "/held" is answered
# once a line of input has come.
PROGRAM = """
import logging
import os
import resource
import sys
import threading

sys.path.insert(0, 'tests')
import conftest
from carobwood import addresses
from carobwood import clocks
from carobwood_daemon.entry import server_stop
from carobwood_daemon.observe import logs
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server

released = threading.Event()


def answer(request):
    if request.path == '/held':
        print('held', flush=True)
        released.wait()
    return gateway.ApiResponse(200, 'OK', b'answer')


logs.set_up('info')
limit = int(sys.argv[1])
server = http_server.HttpServer(
    addresses.Address('127.0.0.1', 0), gateway.make_api_gateway(answer), 8
)
server.start()
resource.setrlimit(
    resource.RLIMIT_NOFILE,
    (limit, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
)
print(server.port, flush=True)
sys.stdin.readline()
threading.Timer(0.2, released.set).start()
server_stop.stop_together([server], clocks.now(), 5.0)
logging.shutdown()
os._exit(0)
"""


class _Listener:
    """A listener in a process of its own; a context manager."""

    def __init__(self, limit):
        self._process = subprocess.Popen(
            [sys.executable, '-c', PROGRAM, str(limit)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.events = []
        self.port = int(self._read_word())

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._process.kill()
        self._process.communicate()

    def connect(self, path=None):
        """Return a connection, on which a path is asked for if given."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.port, timeout=TIMEOUT_SECONDS
        )
        connection.connect()
        if path:
            connection.request('GET', path)
        return connection

    def open_idle(self, count, stack):
        """Open connections that send nothing, until a stack is left."""
        for _ in range(count):
            stack.enter_context(contextlib.closing(self.connect()))

    def keep_open(self, stack):
        """Keep connections after an answer, until no descriptor is left."""
        folder = pathlib.Path(f'/proc/{self._process.pid}/fd')
        for _ in range(LIMIT - len(list(folder.iterdir()))):
            connection = stack.enter_context(
                contextlib.closing(self.connect('/now'))
            )
            connection.getresponse().read()

    def await_word(self, word):
        """Read the output until a word comes that is no line of the log."""
        assert self._read_word() == word

    def stop(self):
        """Tell the listener to stop."""
        self._process.stdin.write('\n')
        self._process.stdin.flush()

    def end(self):
        """Wait for the end of the process; return its exit code."""
        for line in self._process.stdout:
            self._note(line)
        return self._process.wait(TIMEOUT_SECONDS)

    def _read_word(self):
        for line in self._process.stdout:
            if not self._note(line):
                return line.strip()
        raise EOFError('the process has ended')

    def _note(self, line):
        if not line.startswith('{'):
            return False
        self.events.append(json.loads(line))
        return True


@pytest.fixture
def stack():
    """Connections that are closed at the end of a test."""
    with contextlib.ExitStack() as exit_stack:
        yield exit_stack


# Callers that came after idle connections had used up the descriptors got no
# answer, however long they waited; and the log grew by each turn of the loop.
def test_a_caller_is_answered_although_idle_connections_use_up_descriptors(
    stack,
):
    with _Listener(LIMIT) as listener:
        listener.open_idle(CONNECTIONS, stack)
        connection = stack.enter_context(
            contextlib.closing(listener.connect('/now'))
        )
        assert connection.getresponse().read() == b'answer'
        listener.stop()
        assert listener.end() == 0
    names = [event['name'] for event in listener.events]
    assert 'descriptors-short' in names
    assert len(names) < CONNECTIONS


# A stop ended at the first connection that could not be accepted: requests in
# flight got no answer.
def test_a_stop_answers_although_descriptors_are_used_up(stack):
    with _Listener(LIMIT) as listener:
        held = stack.enter_context(
            contextlib.closing(listener.connect('/held'))
        )
        listener.await_word('held')
        listener.keep_open(stack)
        listener.open_idle(CONNECTIONS, stack)
        listener.stop()
        assert held.getresponse().read() == b'answer'
        assert listener.end() == 0
    assert 'thread-failed' not in [event['name'] for event in listener.events]


# Connections that a balancer opens ahead of requests took a thread each until
# they were closed; with as many as there are threads, no request was answered.
def test_a_caller_is_answered_beside_connections_that_send_nothing(stack):
    with _Listener(1024) as listener:
        listener.open_idle(LIMIT, stack)
        connection = stack.enter_context(
            contextlib.closing(listener.connect('/now'))
        )
        assert connection.getresponse().read() == b'answer'


# A request on a kept connection crossed its close, as new ones made it room.
def test_a_connection_used_just_now_makes_no_room(stack, monkeypatch):
    module = listener_connections
    monkeypatch.setattr(module, '_is_reserved', lambda sock: True)
    monkeypatch.setattr(module, 'MIN_IDLE_SECONDS', 3600.0, raising=False)
    response = gateway.ApiResponse(200, 'OK', b'answer')
    server = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        gateway.make_api_gateway(lambda request: response),
        8,
    )
    server.start()
    stack.callback(server.stop)
    kept = [
        stack.enter_context(
            contextlib.closing(
                http.client.HTTPConnection(
                    '127.0.0.1', server.port, timeout=TIMEOUT_SECONDS
                )
            )
        )
        for _ in range(4)
    ]
    for connection in kept:
        connection.connect()
    for connection in kept:
        connection.auto_open = False
        connection.request('GET', '/now')
        assert connection.getresponse().read() == b'answer'
