"""Which endpoints are known to be awake."""

import threading
import types

from carobwood import errors
from carobwood_daemon.entry import engine_liveness
from carobwood_daemon.entry import liveness
import pytest
import relay_builders as builders

WAIT_SECONDS = 30.0


class _Site:
    """A table, its clock, and endpoints that answer once they may.

    Attributes:
        asked_ids: ids of the endpoints that were asked.
        may_answer: set once the checks that wait get their answers.
        silent_ids: ids of endpoints that do not answer.
        failing_ids: ids of endpoints whose check raises an error.
        unready_ids: ids of endpoints that answer with an error.
    """

    def __init__(self):
        self.clock = builders.Clock()
        self.asked_ids = []
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.silent_ids = set()
        self.failing_ids = set()
        self.unready_ids = set()
        self.checks = liveness.LivenessChecks(self._ask, self.clock)
        self.engines = engine_liveness.EngineLiveness(self.checks)

    def _ask(self, endpoint, _subject):
        self.asked_ids.append(endpoint.id)
        self.may_answer.wait(WAIT_SECONDS)
        if endpoint.id in self.failing_ids:
            raise errors.EngineCallFailed('no answer')
        if endpoint.id in self.unready_ids:
            error = errors.EngineCallFailed('HTTP status 503')
            error.has_answered = True
            raise error
        return endpoint.id not in self.silent_ids

    def check(self, endpoint_id='engine-1', **arguments):
        """Ask an endpoint and return its ``Liveness``."""
        check = self.checks.check(_endpoint(endpoint_id), **arguments)
        assert check.wait(WAIT_SECONDS)
        return check.liveness

    def find_awake(self, count, has_resumed=lambda: False):
        """Return the id of the first of some engines that is awake."""
        endpoints = [_endpoint(f'engine-{n + 1}') for n in range(count)]
        found = self.engines.find_awake(endpoints, has_resumed)
        return found and found.id


def _endpoint(endpoint_id):
    return types.SimpleNamespace(id=endpoint_id)


@pytest.fixture
def site():
    """Return an empty table whose endpoints answer at once."""
    return _Site()


def test_an_endpoint_that_answers_is_awake(site):
    assert site.check() is liveness.Liveness.AWAKE


def test_an_endpoint_whose_check_fails_counts_as_silent(site):
    site.failing_ids.add('engine-1')
    assert site.check() is liveness.Liveness.SILENT
    assert site.checks.last_failed_at(_endpoint('engine-1')) == site.clock()


# An answer that names an error counted as silence.
def test_an_endpoint_that_answers_with_an_error_is_not_silent(site):
    site.unready_ids.add('engine-1')
    found = site.check()
    assert found is liveness.Liveness.UNREADY
    assert found.has_answered
    assert site.checks.silent_ids() == set()


def test_an_engine_that_is_not_ready_is_found_if_no_other_is_awake(site):
    site.unready_ids = {'engine-1'}
    assert site.find_awake(1) == 'engine-1'
    site.clock.advance(2 * liveness.VALID_SECONDS)
    assert site.find_awake(2) == 'engine-2'
    site.silent_ids = {'engine-2'}
    site.clock.advance(2 * liveness.VALID_SECONDS)
    assert site.find_awake(2) == 'engine-1'


# One that is not ready kept engines from being asked that may be awake.
def test_an_engine_that_is_not_ready_leaves_the_next_look_to_others(site):
    count = engine_liveness.MAX_ASKED + 1
    site.unready_ids = {f'engine-{n}' for n in range(1, count)}
    assert site.find_awake(count) is None
    site.clock.advance(2 * liveness.VALID_SECONDS)
    assert site.find_awake(count) == f'engine-{count}'


def test_requests_share_one_question_to_an_endpoint(site):
    site.may_answer.clear()
    checks = {site.checks.check(_endpoint('engine-1')) for _ in range(24)}
    assert len(checks) == 1
    site.may_answer.set()
    assert site.check() is liveness.Liveness.AWAKE
    assert site.asked_ids == ['engine-1']


def test_an_old_answer_does_not_count(site):
    site.check()
    site.clock.advance(2 * liveness.VALID_SECONDS)
    site.silent_ids.add('engine-1')
    assert site.check() is liveness.Liveness.SILENT


def test_an_answer_from_before_the_request_does_not_count(site):
    site.check()
    site.clock.advance(liveness.VALID_SECONDS / 2)
    site.silent_ids.add('engine-1')
    assert site.check(since=site.clock()) is liveness.Liveness.SILENT


def test_the_first_engine_that_is_awake_is_found(site):
    site.silent_ids = {'engine-1', 'engine-2'}
    assert site.find_awake(4) == 'engine-3'


def test_the_search_ends_if_the_silent_engine_goes_on(site):
    site.may_answer.clear()
    looks = iter([False, True])
    assert site.find_awake(2, lambda: next(looks)) is None
    site.may_answer.set()


# The same engines were asked again and again, although another one was awake.
def test_each_engine_gets_its_turn_to_be_asked(site):
    count = 2 * engine_liveness.MAX_ASKED + 1
    site.silent_ids = {f'engine-{n}' for n in range(1, count)}
    found_ids = []
    for _ in range(3):
        found_ids.append(site.find_awake(count))
        site.clock.advance(2 * liveness.VALID_SECONDS)
    assert found_ids == [None, None, f'engine-{count}']
