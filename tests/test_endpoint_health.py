"""Tests of failure rates and ejections of endpoints."""

import relay_builders as builders

from carobwood import events
from carobwood_daemon.relay import endpoint_health


def _tracker():
    clock = builders.Clock()
    return clock, endpoint_health.EndpointHealth(clock), builders.endpoint()


def test_failures_raise_the_rate_and_time_lowers_it():
    clock, tracker, endpoint = _tracker()
    for _ in range(6):
        tracker.note_result(endpoint, True)
    high = tracker.failure_rate(endpoint)
    assert high > 0.7
    clock.advance(endpoint_health.HALF_LIFE_SECONDS)
    assert abs(tracker.failure_rate(endpoint) - high / 2) < 0.01


def test_successes_lower_the_rate():
    _, tracker, endpoint = _tracker()
    tracker.note_result(endpoint, True)
    before = tracker.failure_rate(endpoint)
    tracker.note_result(endpoint, False)
    assert tracker.failure_rate(endpoint) < before


def test_an_unreachable_endpoint_is_ejected_until_a_probe_reaches_it():
    clock, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    assert tracker.is_ejected(endpoint)
    assert tracker.pop_due_probes() == []
    clock.advance(endpoint_health.FIRST_PROBE_DELAY_SECONDS + 0.01)
    assert tracker.pop_due_probes() == [endpoint]
    assert tracker.pop_due_probes() == []
    assert tracker.is_ejected(endpoint)
    tracker.note_reachable(endpoint)
    assert not tracker.is_ejected(endpoint)
    assert tracker.pop_due_probes() == []


def test_an_ejection_ends_if_a_probe_returns_no_result():
    clock, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    wait = (
        endpoint_health.FIRST_PROBE_DELAY_SECONDS
        + endpoint_health.PROBE_GRACE_SECONDS
    )
    clock.advance(wait - 0.01)
    assert tracker.is_ejected(endpoint)
    clock.advance(0.02)
    assert not tracker.is_ejected(endpoint)


def test_requests_that_fail_concurrently_cause_one_ejection():
    clock, tracker, endpoint = _tracker()
    for _ in range(5):
        tracker.note_unreachable(endpoint)
    clock.advance(endpoint_health.FIRST_PROBE_DELAY_SECONDS + 0.01)
    assert tracker.pop_due_probes() == [endpoint]


def test_the_probe_delay_of_an_unreachable_endpoint_backs_off():
    clock, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    delays = []
    for _ in range(7):
        began_at = clock.now
        while not tracker.pop_due_probes():
            assert tracker.is_ejected(endpoint)
            clock.advance(0.05)
        delays.append(clock.now - began_at)
        tracker.note_still_unreachable(endpoint)
    assert delays == sorted(delays)
    assert delays[-1] < endpoint_health.MAX_PROBE_DELAY_SECONDS + 0.1
    tracker.note_reachable(endpoint)
    tracker.note_unreachable(endpoint)
    clock.advance(endpoint_health.FIRST_PROBE_DELAY_SECONDS + 0.05)
    assert tracker.pop_due_probes() == [endpoint]


def test_a_successful_result_ends_the_ejection():
    _, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    tracker.note_result(endpoint, True)
    assert tracker.is_ejected(endpoint)
    tracker.note_result(endpoint, False)
    assert not tracker.is_ejected(endpoint)


def test_a_refusal_does_not_end_the_ejection():
    clock, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    tracker.note_refused(endpoint)
    clock.advance(endpoint_health.REFUSAL_EJECTION_SECONDS + 0.05)
    assert tracker.is_ejected(endpoint)
    assert tracker.pop_due_probes() == [endpoint]


def test_a_refusal_does_not_raise_the_failure_rate():
    clock, tracker, endpoint = _tracker()
    tracker.note_refused(endpoint)
    assert tracker.is_ejected(endpoint)
    assert tracker.failure_rate(endpoint) == 0.0
    clock.advance(endpoint_health.REFUSAL_EJECTION_SECONDS + 0.01)
    assert not tracker.is_ejected(endpoint)


def test_a_new_incarnation_starts_without_a_record():
    _, tracker, endpoint = _tracker()
    tracker.note_unreachable(endpoint)
    restarted = builders.endpoint(incarnation=2)
    assert not tracker.is_ejected(restarted)
    assert tracker.failure_rate(restarted) == 0.0


def test_each_ejection_is_logged_with_its_cause_and_record(monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    clock, tracker, endpoint = _tracker()
    tracker.note_result(endpoint, True)
    clock.advance(2.0)
    tracker.note_refused(endpoint)
    tracker.note_unreachable(endpoint)
    assert [event for event, _ in lines] == 2 * [events.ENDPOINT_PAUSED]
    refused, unreachable = (fields for _, fields in lines)
    assert refused['cause'] == 'refused'
    assert refused['evidence_age'] == 2.0
    assert refused['failure_rate'] == endpoint_health.NEWEST_WEIGHT
    assert unreachable['cause'] == 'unreachable'
    assert unreachable['seconds'] == endpoint_health.FIRST_PROBE_DELAY_SECONDS
