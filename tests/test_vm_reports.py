"""Tests of the sums of what entry VMs report of a rollout."""

from carobwood_daemon.rollouts import vm_reports
import pytest
import rollout_builders as builders

TARGET = vm_reports.VersionRoute('v2', 'checks')
FORMER = vm_reports.VersionRoute('v1', 'checks')


def _report(number, target=(), former=(), **changes):
    fields = {
        'vm_id': 'front-0',
        'incarnation': 1,
        'number': number,
        'wanted': 3,
        'results_by_key': {
            TARGET: builders.results(target),
            FORMER: builders.results(former),
        },
        'received_at': 1000.0,
        'phase': 'settling',
    }
    return vm_reports.VmReport(**{**fields, **changes})


def _has_left(reports, since, vms):
    return reports.has_left_others('settling', since, vms)


@pytest.fixture
def reports():
    """Return a table without reports."""
    return vm_reports.VmReports('v2')


def test_only_what_is_new_in_a_report_is_news(reports):
    reports.add(_report(1, [0.1], [0.1, 0.1]))
    [(target, others)] = reports.add(_report(2, [0.1, 0.2], [0.1])).values()
    assert target == builders.results([0.2])
    assert others.succeeded == 0


@pytest.mark.parametrize('number', [1, 2])
def test_a_report_that_comes_twice_or_late_counts_once(reports, number):
    reports.add(_report(2, [0.1], [0.1]))
    assert reports.add(_report(number, [0.1], [0.1] * 9)) == {}
    assert reports.sent() == 2


def test_what_a_lost_vm_has_sent_still_counts(reports):
    reports.add(_report(9, [0.1], [0.1]))
    reports.add(_report(1, [0.1], [], incarnation=2))
    assert reports.sent() == 3
    target, others = reports.totals()
    assert (target.sent, others.sent) == (2, 1)


def test_vms_that_have_not_reported_lately_want_nothing(reports):
    reports.add(_report(1))
    reports.add(_report(1, vm_id='front-1', received_at=1001.5))
    assert reports.wanted(1001.9) == 6
    assert reports.wanted(1003.0) == 3


def test_a_version_is_left_once_each_live_vm_has_said_so(reports):
    vms = [builders.vm('front-0'), builders.vm('front-1')]
    reports.add(_report(1))
    assert not _has_left(reports, 1000.0, vms)
    reports.add(_report(1, vm_id='front-1'))
    assert _has_left(reports, 1000.0, vms)
    assert not _has_left(reports, 1000.1, vms)
    busy = {FORMER: builders.results(in_flight=1)}
    reports.add(_report(2, results_by_key=busy))
    assert not _has_left(reports, 1000.0, vms)


def test_a_vm_that_has_started_again_has_not_reported(reports):
    reports.add(_report(1))
    restarted = [builders.vm('front-0', incarnation=2)]
    assert not _has_left(reports, 1000.0, restarted)
    assert reports.oldest_age(1001.0, restarted) == float('inf')


# A VM that stood still between counting and sending reported nothing in
# flight, and sent to the former version as it went on.
def test_a_report_from_before_a_vm_knew_of_the_phase_does_not_count(reports):
    vms = [builders.vm('front-0')]
    reports.add(_report(1, phase='shifting', received_at=1009.0))
    assert not _has_left(reports, 1000.0, vms)
    reports.add(_report(2, phase='settling', received_at=1009.0))
    assert _has_left(reports, 1000.0, vms)
