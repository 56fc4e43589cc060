"""Tests of the evidence on endpoints."""

import relay_builders as build

from carobwood import events
from carobwood_daemon.relay import health


def _health():
    clock = build.Clock()
    return clock, health.Health(clock), build.endpoint()


def test_failures_raise_the_rate_and_time_lowers_it():
    clock, evidence, endpoint = _health()
    for _ in range(6):
        evidence.note_result(endpoint, True)
    high = evidence.failure_rate(endpoint)
    assert high > 0.7
    clock.pass_seconds(health.HALF_LIFE_SECONDS)
    assert abs(evidence.failure_rate(endpoint) - high / 2) < 0.01


def test_successes_lower_the_rate():
    _, evidence, endpoint = _health()
    evidence.note_result(endpoint, True)
    before = evidence.failure_rate(endpoint)
    evidence.note_result(endpoint, False)
    assert evidence.failure_rate(endpoint) < before


def test_an_unreachable_endpoint_is_left_out_until_a_probe_reaches_it():
    clock, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    assert evidence.is_avoided(endpoint)
    assert evidence.take_due_for_probe() == []
    clock.pass_seconds(health.FIRST_PAUSE_SECONDS + 0.01)
    assert evidence.take_due_for_probe() == [endpoint]
    assert evidence.take_due_for_probe() == []
    assert evidence.is_avoided(endpoint)
    evidence.note_reachable(endpoint)
    assert not evidence.is_avoided(endpoint)
    assert evidence.take_due_for_probe() == []


def test_requests_find_out_if_no_probe_comes_back():
    clock, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    wait = health.FIRST_PAUSE_SECONDS + health.PROBE_GRACE_SECONDS
    clock.pass_seconds(wait - 0.01)
    assert evidence.is_avoided(endpoint)
    clock.pass_seconds(0.02)
    assert not evidence.is_avoided(endpoint)


def test_requests_that_fail_side_by_side_make_one_pause():
    clock, evidence, endpoint = _health()
    for _ in range(5):
        evidence.note_unreachable(endpoint)
    clock.pass_seconds(health.FIRST_PAUSE_SECONDS + 0.01)
    assert evidence.take_due_for_probe() == [endpoint]


def test_an_endpoint_that_stays_away_is_probed_less_and_less():
    clock, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    pauses = []
    for _ in range(7):
        began_at = clock.now
        while not evidence.take_due_for_probe():
            assert evidence.is_avoided(endpoint)
            clock.pass_seconds(0.05)
        pauses.append(clock.now - began_at)
        evidence.note_still_unreachable(endpoint)
    assert pauses == sorted(pauses)
    assert pauses[-1] < health.MAX_PAUSE_SECONDS + 0.1
    evidence.note_reachable(endpoint)
    evidence.note_unreachable(endpoint)
    clock.pass_seconds(health.FIRST_PAUSE_SECONDS + 0.05)
    assert evidence.take_due_for_probe() == [endpoint]


def test_an_answer_ends_the_pause():
    _, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    evidence.note_result(endpoint, True)
    assert evidence.is_avoided(endpoint)
    evidence.note_result(endpoint, False)
    assert not evidence.is_avoided(endpoint)


def test_a_refusal_does_not_end_the_pause():
    clock, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    evidence.note_refused(endpoint)
    clock.pass_seconds(health.REFUSED_SECONDS + 0.05)
    assert evidence.is_avoided(endpoint)
    assert evidence.take_due_for_probe() == [endpoint]


def test_a_refusal_says_nothing_of_failures():
    clock, evidence, endpoint = _health()
    evidence.note_refused(endpoint)
    assert evidence.is_avoided(endpoint)
    assert evidence.failure_rate(endpoint) == 0.0
    clock.pass_seconds(health.REFUSED_SECONDS + 0.01)
    assert not evidence.is_avoided(endpoint)


def test_a_new_incarnation_starts_without_evidence():
    _, evidence, endpoint = _health()
    evidence.note_unreachable(endpoint)
    reborn = build.endpoint(incarnation=2)
    assert not evidence.is_avoided(reborn)
    assert evidence.failure_rate(reborn) == 0.0


def test_each_pause_is_told_with_its_cause_and_evidence(monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    clock, evidence, endpoint = _health()
    evidence.note_result(endpoint, True)
    clock.pass_seconds(2.0)
    evidence.note_refused(endpoint)
    evidence.note_unreachable(endpoint)
    assert [event for event, _ in lines] == 2 * [events.ENDPOINT_PAUSED]
    refused, unreachable = (fields for _, fields in lines)
    assert refused['cause'] == 'refused'
    assert refused['evidence_age'] == 2.0
    assert refused['failure_rate'] == health.NEWEST_WEIGHT
    assert unreachable['cause'] == 'unreachable'
    assert unreachable['seconds'] == health.FIRST_PAUSE_SECONDS
