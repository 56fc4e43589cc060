"""Tests of what is counted for the versions of a service."""

import pytest
import relay_builders
import version_builders as builders

from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.rollouts import crash_counter
from carobwood_daemon.rollouts import entry_rollouts
from carobwood_daemon.rollouts import evidence
from carobwood_daemon.rollouts import evidence_collector

KEY = evidence_collector.ResultKey(builders.SERVICE, builders.TARGET, 'checks')


class CollectorHarness:
    """The rollouts of an entry VM with a canary that may get requests."""

    def __init__(self, own_id=builders.VM_ID, vm_ids=()):
        self.policy_harness = builders.PolicyHarness(builders.Phase.CANARY)
        self.clock = self.policy_harness.clock
        self.collector = evidence_collector.EvidenceCollector(self.clock)
        self.collector.set_rollouts({builders.SERVICE: builders.ROLLOUT})
        self.rollouts = entry_rollouts.EntryRollouts(
            self.policy_harness.policy,
            self.collector,
            metric_clients.PrometheusMetrics(),
            lambda: None,
            builders.crash_counter(own_id, vm_ids),
        )
        self.policy_harness.grant(100, seconds=1000)

    def begin(self, incarnation=1, **changes):
        """Begin an attempt at the target and return its assignment."""
        assignment = builders.assignment(incarnation=incarnation)
        self.rollouts.begin_attempt(builders.request(**changes), assignment)
        return assignment

    def results(self, key=KEY):
        """Return the results of the target on the route."""
        return self.collector.results().get(key, evidence.RouteResults())


def test_an_attempt_counts_once():
    harness = CollectorHarness()
    assignment = harness.begin()
    assert harness.results().in_flight == 1
    harness.clock.advance(0.3)
    harness.rollouts.note_answered(assignment, 200)
    harness.rollouts.note_failed(assignment, is_spoiled=False)
    harness.rollouts.end_attempt(assignment)
    results = harness.results()
    assert (results.sent, results.succeeded, results.failed) == (1, 1, 0)
    assert results.times[evidence.bucket_of(0.3)] == 1
    assert sum(results.pauses) == 0
    assert results.in_flight == 0


def test_a_stream_counts_by_its_first_event_and_its_longest_pause():
    harness = CollectorHarness()
    assignment = harness.begin()
    for seconds in (0.1, 0.02, 0.7, 0.02):
        harness.clock.advance(seconds)
        harness.rollouts.note_event(assignment)
    harness.rollouts.note_answered(assignment, 200)
    results = harness.results()
    assert results.times[evidence.bucket_of(0.1)] == 1
    assert results.pauses[evidence.bucket_of(0.7)] == 1


def test_failures_count_and_what_the_caller_caused_does_not():
    harness = CollectorHarness()
    for status in (500, 502, 404, 422):
        harness.rollouts.note_answered(harness.begin(), status)
    results = harness.results()
    assert (results.sent, results.succeeded, results.failed) == (4, 0, 2)


def test_a_spoiled_failure_is_left_out():
    harness = CollectorHarness()
    harness.rollouts.note_failed(harness.begin(), is_spoiled=True)
    assert harness.results().sent == 1
    assert harness.results().failed == 0


# One crash of an endpoint with many requests rolled a sound version back.
@pytest.mark.parametrize('vm_count', [1, 8, 75, 200])
def test_a_crash_counts_as_few_failures_of_the_fleet(vm_count):
    vm_ids = [f'front-{number}' for number in range(vm_count)]
    harnesses = [CollectorHarness(vm_id, vm_ids) for vm_id in vm_ids]
    attempts = [harness.begin() for harness in harnesses for _ in range(60)]
    for number, assignment in enumerate(attempts):
        harnesses[number // 60].rollouts.note_failed(
            assignment, is_spoiled=False, has_crashed=True
        )
    failed = sum(harness.results().failed for harness in harnesses)
    assert failed == min(vm_count, crash_counter.MAX_COUNTING_VMS)


def test_crashes_that_repeat_count_each_time():
    harness = CollectorHarness()
    for incarnation in range(5):
        assignment = harness.begin(incarnation=incarnation)
        for _ in range(2):
            harness.rollouts.note_failed(
                assignment, is_spoiled=False, has_crashed=True
            )
    assert harness.results().failed == 5


def test_an_attempt_whose_caller_left_counts_as_sent_only():
    harness = CollectorHarness()
    assignment = harness.begin()
    harness.rollouts.end_attempt(assignment)
    harness.rollouts.note_answered(assignment, 200)
    assert harness.results() == evidence.RouteResults(sent=1)


def test_attempts_of_before_the_rollout_are_in_flight_but_no_evidence():
    harness = CollectorHarness()
    harness.collector.set_rollouts({})
    assignment = harness.begin()
    harness.collector.set_rollouts({builders.SERVICE: builders.ROLLOUT})
    assert harness.results() == evidence.RouteResults(in_flight=1)
    harness.rollouts.note_failed(assignment, is_spoiled=False)
    harness.rollouts.end_attempt(assignment)
    assert harness.results() == evidence.RouteResults()


def test_totals_begin_anew_with_each_rollout():
    harness = CollectorHarness()
    assignment = harness.begin()
    harness.rollouts.note_answered(assignment, 500)
    harness.rollouts.end_attempt(assignment)
    harness.collector.set_rollouts({builders.SERVICE: builders.ROLLOUT + 1})
    assert harness.collector.results() == {}


def test_routes_and_versions_are_counted_apart():
    harness = CollectorHarness()
    former = builders.assignment(builders.FORMER)
    harness.rollouts.begin_attempt(builders.request(), former)
    harness.rollouts.note_answered(former, 200)
    harness.rollouts.note_answered(harness.begin(), 500)
    key = evidence_collector.ResultKey(
        builders.SERVICE, builders.FORMER, 'checks'
    )
    assert harness.results(key).succeeded == 1
    assert harness.results().failed == 1


def test_endpoints_are_grouped_by_what_their_versions_may_get():
    harness = CollectorHarness()
    endpoints = [
        relay_builders.endpoint(name, software_version=version)
        for name, version in (
            ('a', builders.FORMER),
            ('b', builders.TARGET),
            ('c', builders.FORMER),
        )
    ]
    harness.policy_harness.follow(builders.Phase.SETTLING)
    request = builders.request()
    possible = harness.rollouts.find_possible(request, endpoints)
    groups = harness.rollouts.find_groups(request, possible, frozenset())
    assert [[each.id for each in group] for group in groups] == [['b']]
