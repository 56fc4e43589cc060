"""Which endpoints are known to have ended without closing connections."""

import dataclasses
import threading
import types

from carobwood import errors
from carobwood_daemon.relay import configuration
from carobwood_daemon.relay import ended_endpoints
import pytest
import relay_builders as builders
import relay_test_fleet

ORDERS = configuration.Service('orders', 100, None, '', '/health')
UNASKED = configuration.Service('orders', 100, None, '')
ENDPOINT = builders.endpoint('engine-1')


class _Site:
    """A table whose endpoints answer once the test lets them.

    Attributes:
        table: the ``EndedEndpoints``.
        calls: (address, id) pairs of the questions.
        dropped: the endpoints that the directory has dropped.
        known: the ``Endpoint`` that the directory knows, or None.
        instance_id: id that the answers name, or None for no answer.
        may_answer: set once the questions get their answers.
    """

    def __init__(self):
        self.calls = []
        self.dropped = []
        self.known = ENDPOINT
        self.instance_id = ENDPOINT.id
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.clock = builders.Clock()
        self.table = ended_endpoints.EndedEndpoints(
            self,
            types.SimpleNamespace(
                drop_replaced=self._drop_replaced,
                find_endpoint=lambda _endpoint_id: self.known,
            ),
            clock=self.clock,
        )

    def _drop_replaced(self, endpoint, found_id):
        assert found_id not in ('', endpoint.id)
        self.dropped.append(endpoint)

    def read_instance_id(self, address, endpoint_id, path, timeout):
        """See ``Dialect``."""
        self.calls.append((address, endpoint_id))
        self.may_answer.wait(relay_test_fleet.WAIT_SECONDS)
        if self.instance_id is None:
            raise errors.EngineCallFailed('no answer')
        return self.instance_id

    def ask(self):
        """Ask the endpoint and wait until the question has ended."""
        self.clock.advance(1.0)
        self.table.has_ended(ENDPOINT, ORDERS)
        check = self.table._checks.check(ENDPOINT, ORDERS)
        assert check.wait(relay_test_fleet.WAIT_SECONDS)

    @property
    def has_ended(self):
        """Whether the endpoint is known to have ended."""
        return self.table.has_ended(ENDPOINT, UNASKED)


@pytest.fixture
def site():
    """Return a table that knows of no ended endpoint."""
    return _Site()


@pytest.mark.parametrize('instance_id', [ENDPOINT.id, '', None])
def test_only_the_answer_of_another_instance_tells_of_an_end(
    site, instance_id
):
    site.instance_id = instance_id
    site.ask()
    assert site.calls == [(ENDPOINT.address, ENDPOINT.id)]
    assert not site.has_ended
    assert site.dropped == []


def test_an_endpoint_whose_address_another_instance_has_is_dropped(site):
    site.instance_id = 'engine-2'
    site.ask()
    assert site.has_ended
    assert site.dropped == [ENDPOINT]


def test_an_endpoint_that_has_ended_is_not_asked_again(site):
    site.instance_id = 'engine-2'
    site.ask()
    assert site.table.has_ended(ENDPOINT, ORDERS)
    assert len(site.calls) == 1


def test_the_next_start_of_an_endpoint_has_not_ended(site):
    site.table.note_answer(ENDPOINT, 'engine-2')
    again = dataclasses.replace(ENDPOINT, incarnation=2)
    assert site.has_ended
    assert not site.table.has_ended(again, UNASKED)


def test_requests_share_one_question_and_do_not_await_it(site):
    site.may_answer.clear()
    found = {site.table.has_ended(ENDPOINT, ORDERS) for _ in range(24)}
    site.may_answer.set()
    site.ask()
    assert found == {False}
    assert len(site.calls) <= 2


@pytest.mark.parametrize('service', [UNASKED, None])
def test_an_endpoint_without_health_checks_is_not_asked(site, service):
    assert not site.table.has_ended(ENDPOINT, service)
    assert site.calls == []


# An ended endpoint that a late announcement had brought back got requests
# again and again, as it was dropped only once.
def test_an_ended_endpoint_that_comes_back_is_dropped_again(site):
    for _ in range(2):
        site.table.note_answer(ENDPOINT, 'engine-2')
    assert site.dropped == [ENDPOINT, ENDPOINT]


# One that had announced that it leaves counted as ended once the next instance
# listened at its address, though it went on with what it had.
def test_an_endpoint_that_leaves_has_not_ended(site):
    site.known = dataclasses.replace(ENDPOINT, leaving=True, sequence=2)
    site.table.note_answer(ENDPOINT, 'engine-2')
    assert not site.table.has_ended(ENDPOINT, ORDERS)
    assert site.calls == site.dropped == []


def test_the_next_start_that_leaves_tells_nothing_of_the_one_before(site):
    site.known = dataclasses.replace(ENDPOINT, incarnation=2, leaving=True)
    site.table.note_answer(ENDPOINT, 'engine-2')
    assert site.has_ended


def test_an_endpoint_that_answers_a_request_has_not_ended(site):
    site.table.note_answer(ENDPOINT, 'engine-2')
    site.table.note_own_answer(ENDPOINT)
    assert not site.has_ended
