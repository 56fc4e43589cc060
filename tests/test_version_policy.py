"""Tests of the choice between software versions, without a network."""

import pytest
import version_builders as builders

from carobwood_daemon.rollouts import exposure_grants
from carobwood_daemon.rollouts import version_history
from carobwood_daemon.rollouts import version_policy

FORMER = builders.FORMER
TARGET = builders.TARGET
Phase = builders.Phase
TRIAL_PHASES = (Phase.CANARY, Phase.SHIFTING)


def _new_version_appears(harness):
    harness.policy.note_version(builders.SERVICE, FORMER)
    harness.clock.advance(version_history.START_SECONDS + 1)
    return harness.policy.note_version(builders.SERVICE, TARGET)


def test_without_a_rollout_all_versions_get_requests():
    harness = builders.PolicyHarness()
    assert not harness.policy.decides_on(builders.SERVICE)
    assert harness.groups() == (builders.BOTH,)
    assert harness.take()


@pytest.mark.parametrize('phase', TRIAL_PHASES)
def test_the_target_gets_nothing_without_a_grant(phase):
    harness = builders.PolicyHarness(phase)
    assert harness.groups() == (frozenset({FORMER}),)
    assert not harness.take()
    assert harness.take(FORMER)


def test_each_request_to_a_canary_uses_a_unit():
    harness = builders.PolicyHarness(Phase.CANARY)
    harness.grant(2)
    assert [harness.take() for _ in range(3)] == [True, True, False]
    assert not harness.allows(TARGET)


@pytest.mark.parametrize('phase', TRIAL_PHASES)
def test_a_grant_that_has_run_out_counts_for_nothing(phase):
    harness = builders.PolicyHarness(phase)
    harness.grant(5)
    harness.grant_share(1.0)
    harness.clock.advance(1.0)
    assert not harness.allows(TARGET)
    assert not harness.take()


@pytest.mark.parametrize('phase', TRIAL_PHASES)
def test_a_vm_that_is_cut_off_does_not_use_its_grants(phase):
    harness = builders.PolicyHarness(phase)
    harness.grant(5)
    harness.grant_share(1.0)
    harness.is_in_touch = False
    assert not harness.allows(TARGET)
    assert not harness.take()


def test_a_grant_of_another_rollout_is_void():
    harness = builders.PolicyHarness(Phase.CANARY)
    harness.policy.add_grants(
        [builders.count_grant(5, harness.clock.now + 1, rollout=6)]
    )
    assert not harness.take()


def test_a_request_chosen_before_the_rollback_is_not_sent_after_it():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    harness.grant_share(1.0)
    assert harness.allows(TARGET)
    harness.follow(Phase.ROLLED_BACK)
    assert not harness.take()


def test_a_version_that_is_rolled_back_gets_nothing_even_alone():
    harness = builders.PolicyHarness(Phase.ROLLED_BACK)
    harness.grant(5)
    assert not harness.allows(TARGET)
    assert not harness.allows(TARGET, {TARGET})
    assert not harness.allows(TARGET, bound_version=TARGET)
    assert not harness.take()


def test_the_share_decides_while_the_traffic_shifts():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    harness.grant_share(0.4)
    target, former = frozenset({TARGET}), frozenset({FORMER})
    assert harness.groups(draw=0.39) == (target, former)
    assert harness.groups(draw=0.41) == (former,)


def test_a_share_of_0_takes_the_rights_back():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    harness.grant(5)
    harness.grant_share(1.0)
    assert harness.allows(TARGET)
    harness.grant_share(0.0, seconds=1.1)
    assert not harness.allows(TARGET)
    assert not harness.allows(TARGET, {TARGET})
    assert not harness.allows(TARGET, bound_version=TARGET)
    assert not harness.take()


def test_without_a_former_endpoint_the_target_takes_what_it_is_granted():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    harness.grant_share(0.4)
    assert harness.allows(TARGET, {TARGET}, draw=0.9)
    harness.clock.advance(1.0)
    assert not harness.allows(TARGET, {TARGET}, draw=0.9)


def _lose_former(harness):
    """Look without an endpoint of the former version until it is missed."""
    assert not harness.allows(TARGET, {TARGET})
    harness.clock.advance(version_policy.MISSING_FORMER_SECONDS)


# Callers were refused until the canary ended, though the target served.
@pytest.mark.parametrize('phase', [Phase.CANARY, Phase.SHIFTING])
def test_the_target_serves_once_no_former_version_is_left(phase):
    harness = builders.PolicyHarness(phase)
    _lose_former(harness)
    assert harness.allows(TARGET, {TARGET})
    assert harness.take()
    assert harness.policy.is_alone(builders.SERVICE)
    assert not harness.allows(TARGET)
    assert not harness.take()


def test_a_gap_between_two_requests_is_no_loss_of_the_former_version():
    harness = builders.PolicyHarness(Phase.CANARY)
    assert not harness.allows(TARGET)
    harness.clock.advance(60.0)
    assert not harness.allows(TARGET, {TARGET})


def test_a_vm_that_is_cut_off_does_not_try_the_target_for_want_of_others():
    harness = builders.PolicyHarness(Phase.CANARY)
    _lose_former(harness)
    harness.is_in_touch = False
    assert not harness.allows(TARGET, {TARGET})
    assert not harness.take()


def test_a_target_found_bad_does_not_serve_for_want_of_others():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    _lose_former(harness)
    harness.grant_share(0.0)
    assert not harness.allows(TARGET, {TARGET})
    assert not harness.take()


@pytest.mark.parametrize('phase', [Phase.SETTLING, Phase.SUCCEEDED])
def test_after_the_shift_only_the_target_gets_new_requests(phase):
    harness = builders.PolicyHarness(phase)
    assert harness.groups() == (frozenset({TARGET}),)
    assert harness.groups({FORMER}) == (frozenset({FORMER}),)


def test_a_stream_of_the_former_version_goes_on_there_until_the_end():
    harness = builders.PolicyHarness(Phase.SETTLING)
    assert harness.allows(FORMER, bound_version=FORMER)
    harness.follow(Phase.SUCCEEDED)
    assert not harness.allows(FORMER, bound_version=FORMER)


def test_a_request_chosen_before_the_settling_is_not_sent_to_the_former():
    harness = builders.PolicyHarness(Phase.SHIFTING)
    assert harness.allows(FORMER)
    harness.follow(Phase.SETTLING)
    assert not harness.take(FORMER)
    assert harness.take(FORMER, bound_version=FORMER)
    assert harness.allows(FORMER, {FORMER})
    assert harness.take(FORMER)


def test_a_stream_of_a_canary_waits_for_a_unit():
    harness = builders.PolicyHarness(Phase.CANARY)
    bound = builders.query(bound_version=TARGET)
    assert TARGET in harness.policy.find_possible(bound, builders.BOTH)
    assert not harness.allows(TARGET, bound_version=TARGET)
    assert harness.policy.needs_grant(bound)
    assert not harness.policy.needs_grant(builders.query())
    harness.grant(1)
    assert harness.allows(TARGET, draw=0.99, bound_version=TARGET)


def test_a_request_that_failed_at_the_target_goes_to_the_former_first():
    harness = builders.PolicyHarness(Phase.CANARY)
    harness.grant(5)
    groups = harness.groups(tried_versions=frozenset({TARGET}))
    assert groups[0] == frozenset({FORMER})


def test_releases_after_a_rollout_are_served_again():
    harness = builders.PolicyHarness(Phase.SUCCEEDED)
    harness.clock.advance(version_policy.FORMER_EXCLUDED_SECONDS + 1)
    assert harness.allows('v3', {TARGET, 'v3'})


def test_a_phase_of_a_newer_build_needs_grants():
    harness = builders.PolicyHarness()
    record = builders.record(phase=Phase.CANARY)
    newer = type(record)(
        record.index, record.service, record.target_version, 1, 'resting'
    )
    harness.policy.follow({builders.SERVICE: newer})
    assert not harness.allows(TARGET)


def test_an_older_record_does_not_replace_a_newer_one():
    harness = builders.PolicyHarness(Phase.ROLLED_BACK)
    harness.follow(Phase.SUCCEEDED, index=builders.ROLLOUT - 1)
    assert not harness.allows(TARGET)


def test_a_new_rollout_does_not_inherit_grants():
    harness = builders.PolicyHarness(Phase.CANARY)
    harness.grant(5)
    harness.follow(Phase.CANARY, index=builders.ROLLOUT + 1)
    assert not harness.take()


def test_a_version_that_was_rolled_back_gets_nothing_in_the_next_rollout():
    harness = builders.PolicyHarness(Phase.ROLLED_BACK)
    next_fields = {'index': builders.ROLLOUT + 1, 'target_version': 'v3'}
    harness.follow(Phase.CANARY, **next_fields)
    all_versions = {FORMER, TARGET, 'v3'}
    assert not harness.allows(TARGET, all_versions)
    assert not harness.take(TARGET)
    assert harness.allows(FORMER, all_versions)
    harness.follow(Phase.CANARY, index=builders.ROLLOUT + 2)
    harness.policy.add_grants(
        [
            builders.count_grant(
                1, harness.clock.now + 1, rollout=builders.ROLLOUT + 2
            )
        ]
    )
    assert harness.allows(TARGET)


def test_a_version_that_is_new_to_the_vm_is_held_back_for_a_moment():
    harness = builders.PolicyHarness()
    assert _new_version_appears(harness)
    assert harness.groups() == (frozenset({FORMER}),)
    possible = harness.policy.find_possible(builders.query(), builders.BOTH)
    assert possible == builders.BOTH
    harness.clock.advance(version_history.HOLD_SECONDS)
    assert harness.groups() == (builders.BOTH,)


def test_a_new_version_is_not_held_back_if_nothing_else_serves():
    harness = builders.PolicyHarness()
    _new_version_appears(harness)
    assert harness.groups({TARGET}) == (frozenset({TARGET}),)


def test_versions_that_a_starting_vm_finds_are_not_held_back():
    harness = builders.PolicyHarness()
    harness.policy.note_version(builders.SERVICE, FORMER)
    harness.clock.advance(version_history.START_SECONDS / 2)
    assert not harness.policy.note_version(builders.SERVICE, TARGET)
    assert harness.groups() == (builders.BOTH,)


# An entry VM that knew endpoints of a new version, but couldn't hear of the
# order of its rollout any more, sent them a usual share of its requests.
@pytest.mark.parametrize('seconds_before', [0.7, 5.0])
def test_a_version_whose_order_may_be_missed_is_held_until_there_is_contact(
    seconds_before,
):
    harness = builders.PolicyHarness()
    harness.policy.note_version(builders.SERVICE, FORMER)
    harness.clock.advance(seconds_before)
    harness.policy.note_version(builders.SERVICE, TARGET)
    harness.lose_contact()
    harness.clock.advance(version_history.HOLD_SECONDS)
    assert harness.policy.decides_on(builders.SERVICE)
    assert harness.groups() == (frozenset({FORMER}),)
    # Nothing else serves.
    assert harness.groups({TARGET}) == (frozenset({TARGET}),)
    harness.is_in_touch = True
    assert harness.groups() == (builders.BOTH,)


def test_a_version_that_was_known_before_contact_was_lost_goes_on():
    harness = builders.PolicyHarness()
    harness.policy.note_version(builders.SERVICE, FORMER)
    harness.clock.advance(0.7)
    harness.policy.note_version(builders.SERVICE, TARGET)
    harness.clock.advance(version_history.SETTLE_SECONDS)
    harness.lose_contact()
    assert not harness.policy.decides_on(builders.SERVICE)
    assert harness.groups() == (builders.BOTH,)


def test_units_are_spread_over_the_time_of_their_grant():
    grants = exposure_grants.ExposureGrants()
    grants.add(builders.count_grant(4, 101.0))
    assert grants.share(100.0, rate=40.0) == pytest.approx(0.1)
    assert grants.share(100.9, rate=40.0) == pytest.approx(1.0)


def test_the_rate_follows_the_requests():
    meter = exposure_grants.RateMeter()
    for step in range(400):
        meter.note(step / 20)
    assert meter.rate(20.0) == pytest.approx(20.0, rel=0.1)
    assert meter.rate(40.0) < 0.01
