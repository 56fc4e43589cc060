"""Tests of the usage of a group of VMs."""

from carobwood_daemon.relay import group_usage
from carobwood_daemon.relay import usage_reports
import relay_builders as builders


def _group(clock=None):
    return group_usage.GroupUsage(8.0, clock or builders.Clock())


def _usage(total, acknowledged=0):
    return {'bole': usage_reports.Usage(total, 0, (), acknowledged)}


def test_the_total_adds_what_members_have_admitted():
    group = _group()
    group.add_report('vm1', 1, _usage(300))
    group.add_report('vm2', 1, _usage(100))
    group.add_report('vm1', 1, _usage(350))
    assert group.usage()['bole'] == usage_reports.Usage(450, 450)


def test_a_member_that_moves_is_counted_once():
    first, second = _group(), _group()
    first.add_report('vm1', 1, _usage(300))
    second.add_report('vm1', 1, _usage(360, acknowledged=300))
    total = first.usage()['bole'].total + second.usage()['bole'].total
    assert total == 360


def test_a_member_that_returns_is_counted_once():
    group = _group()
    group.add_report('vm1', 1, _usage(300))
    # Another aggregator has counted 100 units meanwhile.
    group.add_report('vm1', 1, _usage(420, acknowledged=400))
    assert group.usage()['bole'].total == 320
    assert group.units_of('vm1') == {'bole': 320}


def test_a_repeated_report_is_counted_once():
    group = _group()
    for _ in range(3):
        group.add_report('vm1', 1, _usage(300))
    assert group.usage()['bole'].total == 300


def test_a_restarted_member_adds_to_what_it_had_admitted():
    group = _group()
    group.add_report('vm1', 1, _usage(300))
    group.add_report('vm1', 2, _usage(50))
    group.add_report('vm1', 1, _usage(400))
    assert group.usage()['bole'].total == 350


def test_units_leave_the_window_but_not_the_total():
    clock = builders.Clock()
    group = _group(clock)
    group.add_report('vm1', 1, _usage(300))
    clock.advance(5.0)
    group.add_report('vm1', 1, _usage(400))
    assert group.units_by_second()['bole'][0] == 100
    assert group.units_by_second()['bole'][5] == 300
    clock.advance(4.0)
    assert group.usage()['bole'] == usage_reports.Usage(400, 100)


def test_members_that_no_longer_report_are_not_counted():
    clock = builders.Clock()
    group = _group(clock)
    group.add_report('vm1', 1, {})
    clock.advance(group_usage.MEMBER_TIMEOUT_SECONDS + 0.1)
    group.add_report('vm2', 1, {})
    assert group.member_ids() == ['vm2']
