"""Which endpoints are known to answer."""

import threading

from carobwood import errors
from carobwood_daemon.entry import liveness
from carobwood_daemon.relay import configuration
from carobwood_daemon.relay import endpoint_activity
from carobwood_daemon.relay import endpoint_liveness
import pytest
import relay_builders as builders

ENGINES = configuration.Service(
    'engines', 100, configuration.EngineCapacity(64, 100_000, ('m',)), ''
)
ORDERS = configuration.Service('orders', 100, None, '', '/health')
UNASKED = configuration.Service('orders', 100, None, '')
WAIT_SECONDS = 30.0


class _Dialect:
    """Endpoints that answer once the test lets them, or never.

    Attributes:
        calls: (name, address) pairs of the calls.
        may_answer: set once the calls that wait get their answers.
        is_silent: whether they fail then.
    """

    def __init__(self):
        self.calls = []
        self.may_answer = threading.Event()
        self.is_silent = False

    def read_engine_report(self, address, timeout):
        """See ``Dialect``."""
        self._answer('report', address)

    def request_health(self, address, endpoint_id, path, timeout):
        """See ``Dialect``."""
        self._answer(path, address)

    def _answer(self, name, address):
        self.calls.append((name, address))
        self.may_answer.wait(WAIT_SECONDS)
        if self.is_silent:
            raise errors.EngineCallFailed('no answer')


class _Site:
    """A table, its clock and the endpoints that it asks."""

    def __init__(self):
        self.clock = builders.Clock()
        self.dialect = _Dialect()
        self.activity = endpoint_activity.EndpointActivity(self.clock)
        self.liveness = endpoint_liveness.EndpointLiveness(
            self.dialect, self.activity, clock=self.clock
        )
        self.endpoint = builders.endpoint('engine-1')

    def check(self, service=ENGINES):
        """Ask the endpoint and return its ``Liveness``."""
        check = self.liveness.check(self.endpoint, service)
        assert check.wait(WAIT_SECONDS)
        return check.liveness


@pytest.fixture
def site():
    """Return an empty table whose endpoints answer at once."""
    site = _Site()
    site.dialect.may_answer.set()
    return site


def test_an_endpoint_that_answers_is_awake(site):
    assert site.check() is liveness.Liveness.AWAKE
    assert site.liveness.silent_ids() == set()


def test_an_endpoint_that_does_not_answer_is_silent_for_a_while(site):
    site.dialect.is_silent = True
    assert site.check() is liveness.Liveness.SILENT
    assert site.liveness.silent_ids() == {'engine-1'}
    site.clock.advance(2 * liveness.VALID_SECONDS)
    assert site.liveness.silent_ids() == set()


def test_an_endpoint_of_a_plain_service_is_asked_for_its_health(site):
    assert site.check(ORDERS) is liveness.Liveness.AWAKE
    assert site.dialect.calls == [('/health', site.endpoint.address)]


@pytest.mark.parametrize('service', [UNASKED, None])
def test_an_endpoint_that_cannot_be_asked_is_not_known(site, service):
    assert site.check(service) is liveness.Liveness.UNKNOWN
    assert site.dialect.calls == []


def test_an_endpoint_that_sends_events_is_not_asked(site):
    site.activity.begin('engine-1')
    assert site.check() is liveness.Liveness.AWAKE
    assert site.dialect.calls == []


def test_requests_share_one_question_to_an_endpoint(site):
    site.dialect.may_answer.clear()
    checks = {site.liveness.check(site.endpoint, ENGINES) for _ in range(24)}
    assert len(checks) == 1
    site.dialect.may_answer.set()
    assert site.check() is liveness.Liveness.AWAKE
    assert len(site.dialect.calls) == 1


def test_an_old_answer_does_not_count(site):
    site.check()
    site.clock.advance(2 * liveness.VALID_SECONDS)
    site.dialect.is_silent = True
    assert site.check() is liveness.Liveness.SILENT
