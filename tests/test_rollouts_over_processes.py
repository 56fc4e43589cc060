"""Rollouts over VMs in processes of their own."""

import time

import pytest
import rollout_site

RAMP_SECONDS = 6
FAILURE_SHARE = 0.4
# What callers of a bad version are promised.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


@pytest.fixture(name='site')
def _site(tmp_path):
    with rollout_site.RolloutSite(tmp_path) as site:
        yield site


def _order(site, failure_share=0.0):
    """Order the rollout, start its endpoints; return when that was."""
    began_at = time.monotonic()
    reply = site.order(rollout_site.TARGET, RAMP_SECONDS)
    assert reply.status == 200
    site.add_endpoints(rollout_site.TARGET, failure_share)
    return began_at


def _check_bounds(site, began_at):
    """Check the exposure of a bad version since its order."""
    exposed = site.count_requests(rollout_site.TARGET, began_at)
    former = site.count_requests(rollout_site.FORMER, began_at)
    allowed = EXPOSURE_SHARE * (exposed + former) + EXPOSURE_SLACK
    assert exposed <= allowed


def test_a_sound_version_gets_all_requests_and_no_caller_notices(site):
    began_at = _order(site)
    assert site.await_end() == 'succeeded'
    ended_at = time.monotonic()
    site.stop_endpoints(rollout_site.FORMER)
    site.await_answers(100)
    assert site.count_requests(rollout_site.FORMER, ended_at) == 0
    assert site.count_failed(began_at) == 0


def test_a_bad_version_is_rolled_back_within_its_exposure(site):
    began_at = _order(site, FAILURE_SHARE)
    assert site.await_end() == 'rolled_back'
    site.await_followed('rolled-back')
    followed_at = time.monotonic()
    site.await_answers(100)
    assert site.count_requests(rollout_site.TARGET, followed_at) == 0
    _check_bounds(site, began_at)


@pytest.mark.parametrize('failure_share', [0.0, FAILURE_SHARE])
def test_a_rollout_ends_as_it_should_though_its_owner_is_killed(
    site, failure_share
):
    began_at = _order(site, failure_share)
    site.await_answers(100)
    site.kill([site.find_leader()])
    state = site.await_end()
    if failure_share:
        assert state == 'rolled_back'
        _check_bounds(site, began_at)
    else:
        assert state == 'succeeded'


def test_an_order_outlives_the_kill_of_all_vms(site):
    began_at = _order(site, FAILURE_SHARE)
    site.kill(list(site.processes.vms_by_id.values()))
    assert site.read_state() in ('running', 'rolled_back')
    assert site.await_end() == 'rolled_back'
    _check_bounds(site, began_at)


def test_entry_vms_that_are_cut_off_use_no_old_right(site):
    _order(site)
    site.await_exposed(rollout_site.TARGET)
    control_vms = site.processes.control_vms
    with site.frozen(control_vms):
        # Longer than a grant lasts.
        time.sleep(2.0)
        frozen_since = time.monotonic()
        site.await_answers(100)
        assert site.count_requests(rollout_site.TARGET, frozen_since) == 0
    assert site.await_end() == 'succeeded'
