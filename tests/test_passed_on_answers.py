"""Tests of whole answers that a VM without memory passes on as they come."""

import http.client

from carobwood import addresses
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import caller_request
from carobwood_daemon.relay import http_server
from carobwood_daemon.relay import whole_answer
import pytest
import relay_test_fleet

# More than a message has free.
PARTS = (bytes(buffer_budget.FREE_BYTES), b'the end')


class _Reader:
    """Reads a body whose length the endpoint did not declare."""

    declared_length = None

    def __init__(self):
        self._parts = list(PARTS)

    @property
    def has_ended(self):
        """Whether all parts have been read."""
        return not self._parts

    def read(self, timeout):
        """Return the next part."""
        return self._parts.pop(0)


class _Gateway:
    """Answers with the status that the path names."""

    def __init__(self, parsed):
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Pass an answer on."""
        with self._caller as caller:
            status = int(caller.path[1:])
            answer = whole_answer.WholeAnswer(
                caller, status, {}, buffer_budget.BufferBudget(0)
            )
            answer.forward(_Reader(), lambda: 1.0, lambda: None)
            assert answer.is_passed_on


@pytest.fixture
def server():
    """Run a listener whose VM has no memory left for answers."""
    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0), _Gateway, 2
    )
    listener.start()
    yield listener
    listener.stop()


# The body of an answer that should have none was sent without framing on a
# connection that was kept: the caller took it for the next answer.
@pytest.mark.parametrize('status', (200, 205, 404, 413))
def test_the_end_of_an_answer_of_any_status_is_told(server, status):
    connection = http.client.HTTPConnection(
        '127.0.0.1', server.port, timeout=relay_test_fleet.WAIT_SECONDS
    )
    connection.request('GET', f'/{status}')
    response = connection.getresponse()
    is_told = (
        response.chunked
        or response.length is not None
        or response.getheader('Connection') == 'close'
    )
    assert is_told, response.getheaders()
    assert response.read() == b''.join(PARTS)
    connection.close()
