"""Tests of the retry budget."""

import relay_builders as builders

from carobwood_daemon.relay import fleet_retry_budget


def _budget(clock, vms=8):
    return fleet_retry_budget.FleetRetryBudget(
        0.2, 56, 10.0, lambda: vms, clock
    )


def test_all_vms_together_keep_to_the_bound():
    retry_count = 0
    for _ in range(8):
        clock = builders.Clock()
        budget = _budget(clock)
        for _ in range(100):
            budget.note_request('engines')
        while budget.try_spend('engines'):
            retry_count += 1
    assert retry_count <= 0.2 * 800 + 56


def test_the_window_slides():
    clock = builders.Clock()
    budget = _budget(clock)
    while budget.try_spend('engines'):
        pass
    clock.advance(10.1)
    assert budget.try_spend('engines')


def test_each_service_has_its_own_budget():
    budget = _budget(builders.Clock())
    while budget.try_spend('engines'):
        pass
    assert budget.try_spend('orders')


def test_a_vm_that_knows_no_entry_vms_has_some_budget():
    assert _budget(builders.Clock(), vms=0).try_spend('engines')
