"""Tests of circuit breakers and of the retry budget."""

import dataclasses

from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import circuit_breakers
from carobwood_daemon.routing import retry_budget
import pytest

ENDPOINT = endpoint_table.Endpoint(
    'engine-1', 1, 1, '', 'bole', 'engines', 'production', '1'
)


class Fixture:
    """Circuit breakers with a clock that tests advance."""

    def __init__(self):
        self.now = 100.0
        self.circuit_breakers = circuit_breakers.CircuitBreakers(
            lambda: self.now
        )

    def open_seconds(self):
        """Record a failure and return how long the breaker stays open."""
        self.circuit_breakers.record_failure(ENDPOINT, 'test')
        started = self.now
        while self.circuit_breakers.is_open(ENDPOINT):
            self.now += 0.1
        return self.now - started


def test_backoff_grows_up_to_a_bound_and_a_success_resets_it():
    fixture = Fixture()
    backoffs = [fixture.open_seconds() for _ in range(8)]
    expected = [1, 2, 4, 8, 16, 30, 30, 30]
    jitter = circuit_breakers.JITTER_FRACTION
    assert backoffs == pytest.approx(expected, rel=jitter, abs=0.15)
    fixture.circuit_breakers.record_success(ENDPOINT)
    assert fixture.open_seconds() == pytest.approx(1, rel=jitter, abs=0.15)


def test_simultaneous_failures_count_once():
    fixture = Fixture()
    for _ in range(50):
        fixture.circuit_breakers.record_failure(ENDPOINT, 'test')
    fixture.now += (
        circuit_breakers.INITIAL_BACKOFF_SECONDS
        * (1 + circuit_breakers.JITTER_FRACTION)
        + 0.1
    )
    assert not fixture.circuit_breakers.is_open(ENDPOINT)


def test_a_new_incarnation_has_a_closed_breaker():
    fixture = Fixture()
    fixture.circuit_breakers.record_failure(ENDPOINT, 'test')
    restarted = dataclasses.replace(ENDPOINT, incarnation=2)
    assert fixture.circuit_breakers.is_open(ENDPOINT)
    assert not fixture.circuit_breakers.is_open(restarted)


def test_retries_are_limited_to_a_fraction_of_requests():
    budget = retry_budget.RetryBudget()
    while budget.try_spend():
        pass
    taken = 0
    for _ in range(1000):
        budget.add_request()
        taken += budget.try_spend()
    assert taken <= 1000 * retry_budget.RETRIES_PER_REQUEST
    assert taken > 1000 * retry_budget.RETRIES_PER_REQUEST - 2
