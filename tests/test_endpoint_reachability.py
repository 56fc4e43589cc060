"""Tests of the decision whether a VM reaches any endpoint."""

import random
import statistics

from carobwood_daemon.relay import endpoint_reachability
import pytest
import relay_builders as builders

# Endpoints that have lost power, of 45.
DARK_COUNT = 11


def _endpoints(count):
    return [
        builders.endpoint(f'engine-{n}', address=f'10.0.0.{n}:1')
        for n in range(count)
    ]


def _table(endpoints):
    changes = []
    table = endpoint_reachability.EndpointReachability(
        lambda: endpoints, builders.Clock()
    )
    table.on_change(changes.append)
    return table, changes


def test_a_vm_is_cut_off_once_no_endpoint_accepts_a_connection():
    endpoints = _endpoints(3)
    table, changes = _table(endpoints)
    for endpoint in endpoints:
        assert not table.is_cut_off
        table.note(endpoint.address, False)
    assert table.is_cut_off
    assert changes == [True]


def test_endpoints_of_one_service_that_end_cut_no_vm_off():
    endpoints = _endpoints(6)
    table, changes = _table(endpoints)
    for _ in range(5):
        for endpoint in endpoints[:5]:
            table.note(endpoint.address, False)
    assert not table.is_cut_off
    assert changes == []


def test_one_connection_ends_it_and_a_new_endpoint_does_not():
    endpoints = _endpoints(2)
    table, changes = _table(endpoints)
    for endpoint in list(endpoints):
        table.note(endpoint.address, False)
    endpoints.append(builders.endpoint('new', address='10.0.1.1:1'))
    assert table.is_cut_off
    assert [e.id for e in table.pop_unproven_endpoints()] == ['new']
    table.note('10.0.1.1:1', True)
    assert not table.is_cut_off
    assert changes == [True, False]


@pytest.mark.parametrize('count', [9, 65])
def test_a_few_failures_in_a_row_have_the_others_probed_once(count):
    endpoints = _endpoints(count)
    table, _ = _table(endpoints)
    table.note(endpoints[0].address, False)
    assert table.pop_unproven_endpoints() == []
    table.note(endpoints[1].address, False)
    assert table.pop_unproven_endpoints() == endpoints[2:]
    assert table.pop_unproven_endpoints() == []
    for endpoint in endpoints[2:]:
        table.note(endpoint.address, False)
    assert table.is_cut_off


def _count_probes(seed):
    """Return how many probes others get while 11 of 45 endpoints are dark.

    Returns:
        The numbers for the first time that the dark ones are tried, and for
        19 further times together.
    """
    endpoints = _endpoints(45)
    table = endpoint_reachability.EndpointReachability(
        lambda: endpoints,
        builders.Clock(),
        probes_few=True,
        source=random.Random(seed),
    )
    dark, others = endpoints[:DARK_COUNT], endpoints[DARK_COUNT:]
    counts = []
    for _ in range(20):
        probed = []
        for endpoint in dark:
            table.note(endpoint.address, False)
            found = table.pop_unproven_endpoints()
            probed += found
            for other in found:
                table.note(other.address, other in others)
        counts.append(sum(endpoint in others for endpoint in probed))
    assert not table.is_cut_off
    return counts[0], sum(counts[1:])


# Each VM probed all endpoints again and again while a dozen were dark, until
# idle connections of probes filled the limits of the others.
def test_endpoints_that_stay_dark_have_others_probed_a_few_times_only():
    counts = [_count_probes(seed) for seed in range(50)]
    assert statistics.mean(first for first, _ in counts) <= DARK_COUNT
    assert max(first for first, _ in counts) <= 2 * DARK_COUNT
    assert not any(later for _, later in counts)


def test_all_endpoints_are_probed_in_three_rounds_if_none_is_reached():
    endpoints = _endpoints(45)
    table = endpoint_reachability.EndpointReachability(
        lambda: endpoints, builders.Clock(), probes_few=True
    )
    for endpoint in endpoints[:2]:
        table.note(endpoint.address, False)
    for _ in range(3):
        for endpoint in table.pop_unproven_endpoints():
            table.note(endpoint.address, False)
    assert table.is_cut_off


def test_failures_between_connections_raise_no_suspicion():
    endpoints = _endpoints(9)
    table, _ = _table(endpoints)
    for endpoint in endpoints[:8]:
        table.note(endpoint.address, False)
        table.note(endpoints[8].address, True)
        assert table.pop_unproven_endpoints() == []


def test_a_vm_that_knows_no_endpoint_is_not_cut_off():
    table, changes = _table([])
    assert table.pop_unproven_endpoints() == []
    # An endpoint that was removed while a connection to it was made.
    table.note('10.0.0.9:1', False)
    assert not table.is_cut_off
    assert changes == []


# Probes that were due at endpoints that had gone held up all others.
def test_probes_of_endpoints_that_have_gone_are_not_waited_for():
    endpoints = _endpoints(20)
    table = endpoint_reachability.EndpointReachability(
        lambda: endpoints, builders.Clock(), probes_few=True
    )
    for endpoint in endpoints[:2]:
        table.note(endpoint.address, False)
    for endpoint in table.pop_unproven_endpoints():
        endpoints.remove(endpoint)
    assert table.pop_unproven_endpoints()
