"""Tests of circuit breakers and of the budget for retries."""

import dataclasses

from carobwood_daemon.membership import directory
from carobwood_daemon.routing import breakers
from carobwood_daemon.routing import retry_budget
import pytest

ENDPOINT = directory.Endpoint(
    'engine-1', 1, 1, '', 'bole', 'engines', 'production', '1'
)


class Setting:
    """Breakers on a clock of their own."""

    def __init__(self):
        self.now = 100.0
        self.breakers = breakers.Breakers(lambda: self.now)

    def pause(self):
        """Fail once and return how long the endpoint is avoided."""
        self.breakers.note_failure(ENDPOINT, 'test')
        started = self.now
        while self.breakers.is_open(ENDPOINT):
            self.now += 0.1
        return self.now - started


def test_pauses_grow_up_to_a_bound_and_a_success_ends_them():
    setting = Setting()
    pauses = [setting.pause() for _ in range(8)]
    expected = [1, 2, 4, 8, 16, 30, 30, 30]
    spread = breakers.JITTER
    assert pauses == pytest.approx(expected, rel=spread, abs=0.15)
    setting.breakers.note_success(ENDPOINT)
    assert setting.pause() == pytest.approx(1, rel=spread, abs=0.15)


def test_failures_of_one_moment_count_once():
    setting = Setting()
    for _ in range(50):
        setting.breakers.note_failure(ENDPOINT, 'test')
    setting.now += breakers.FIRST_PAUSE * (1 + breakers.JITTER) + 0.1
    assert not setting.breakers.is_open(ENDPOINT)


def test_a_new_incarnation_is_not_avoided():
    setting = Setting()
    setting.breakers.note_failure(ENDPOINT, 'test')
    reborn = dataclasses.replace(ENDPOINT, incarnation=2)
    assert setting.breakers.is_open(ENDPOINT)
    assert not setting.breakers.is_open(reborn)


def test_retries_are_a_share_of_requests():
    budget = retry_budget.RetryBudget()
    while budget.take():
        pass
    taken = 0
    for _ in range(1000):
        budget.note_request()
        taken += budget.take()
    assert taken <= 1000 * retry_budget.SHARE
    assert taken > 1000 * retry_budget.SHARE - 2
